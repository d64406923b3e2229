# Checks the records of a fault schedule. Prints one object for each invariant: {name, ok, found}.
include "invariants";

# Pairs of successive samples of each group in which the version went back.
def steps_back: map([.[:-1], .[1:]] | transpose | map(select(.[1].version < .[0].version))) | add // [];

$executions[0].executions as $executed
| ($zones[0] | map({key: .zone, value: .}) | from_entries) as $zone
| $target_zones[0] as $target_zone
| $versions[0] as $samples
# A node's new process has no version at first; a process that had one keeps one.
| ($samples | group_by([.node, .start]) | steps_back) as $back_in_process
| ($samples | map(select(.version > 0)) | group_by(.node) | steps_back) as $back_on_node

| request_invariants($records; $executions[0]) + [
    ($zones[0] | unique_by(.region)[]
     | cap_held($executed; $zone; $target_zone; .region; .cap; span($records); "whole run")),

    invariant("versions on nodes never go back";
              ($back_in_process + $back_on_node | length) == 0
              and ($samples | map(.node) | unique | length) == $entry_vms;
              "\($back_in_process + $back_on_node | length) steps back in \($samples | length) " +
              "samples of \($samples | map(.node) | unique | length) nodes, versions up to " +
              "\($samples | map(.version) | max)"),

    $steps[]
  ]
