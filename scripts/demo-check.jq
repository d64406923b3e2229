# Checks the records of the demo's callers against those of the targets. Prints one object for each
# invariant: {name, ok, found}.
include "invariants";

($failures + $low_cap) as $records
| $executions[0].executions as $executed
| ($zones[0] | map({key: .zone, value: .}) | from_entries) as $zone
| $target_zones[0] as $target_zone
| ($failures | map(select(.method == "GET"))) as $reads

| request_invariants($records; $executions[0]) + [
    ($zones[0] | unique_by(.region)[] | cap_held($executed; $zone; $target_zone; .region; .cap; span($failures); "first part")),

    cap_held($executed; $zone; $target_zone; $low_cap_region; $low_cap_rps; span($low_cap); "second part"),

    ($records | map(.lost_at[] | select(. == $drained_address))
     | invariant("the drained entry VM cuts nothing and exits with 0";
                 length == 0 and $drained_status == 0;
                 "\(length) answers lost, exit status \($drained_status)")),

    ($reads | map(select(.outcome == "answered")) | length) as $answered
    | ($reads | length) as $all
    | invariant("99% of idempotent requests are answered in the first part";
                $all > 0 and $answered >= 0.99 * $all; "\($answered) of \($all)")
  ]
