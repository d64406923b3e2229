# Invariants of every run, checked with the records of callers and targets. Each check gives one object:
# {name, ok, found}. Callers and targets identify a request by the digest of its content.

# Requests/s admitted to a region are averaged over windows of this length, and a token bucket may
# admit one second's worth of the cap at once.
def window_s: 5;
def burst_s: 1;

def invariant(name; ok; found): {name: name, ok: ok, found: found};

# The number of items for each value of a field.
def counts(field): reduce .[] as $item ({}; .[$item | field] += 1);

# The largest number of executions in any window that begins with an execution.
def most_in_window:
  (map(.started_ms) | sort) as $times
  | reduce $times[] as $time ({first: 0, last: 0, most: 0};
      .last += 1
      | until($times[.first] > $time - window_s * 1000; .first += 1)
      | .most = ([.most, .last - .first] | max))
  | .most;

# The time from the start of the first request to the end of the last one.
def span($records): {from: ($records | map(.started_ms) | min),
                     until: ($records | map(.started_ms + .duration_ms) | max)};

# The most executions in a region during a time, against its cap. $zone: zones by name; $target_zone:
# zone of each target.
def cap_held($executed; $zone; $target_zone; $region; $cap; $time; $when):
  ($executed | map(select($zone[$target_zone[.target]].region == $region
                          and .started_ms >= $time.from and .started_ms <= $time.until))
   | most_in_window) as $most
  | ($cap * (window_s + burst_s)) as $allowed
  | invariant("cap of \($region) (\($cap) requests/s, \($when))"; $most <= $allowed;
              "at most \($most) in \(window_s) s, \($allowed) allowed");

# What holds for requests, whatever fails.
def request_invariants($records; $executions):
  $executions.executions as $executed
  | ($executed | counts(.digest)) as $runs
  | ($records | map(select(.method == "POST"))) as $posts
  | ($executed | map(select(.method == "POST" and .ticket == ""))) as $unticketed
  | ($executed | map(select(.method == "POST" and .ticket != "")) | counts(.ticket)) as $ticket_runs
  | [
    invariant("the record of the targets is complete"; $executions.unrecorded == 0;
              "\($executed | length) executions"),

    ($records | map(select(.outcome == "wrong"))
     | invariant("each answer is whole and the caller's own"; length == 0;
                 "\(length) wrong of \($records | length)" + (if length == 0 then "" else
                   " (\(map(.detail) | unique | join(", ")))" end))),

    ($ticket_runs | to_entries | map(select(.value > 1))
     | invariant("each ticket is executed at most once"; length == 0;
                 "\(length) of \($ticket_runs | length) executed again")),

    invariant("no POST is executed without a ticket"; $unticketed == [];
              "\($unticketed | length) executed"),

    ($posts | map(select(($runs[.digest] // 0) > 1))
     | invariant("each POST is executed at most once"; length == 0;
                 "\(length) of \($posts | length) executed again")),

    ($posts | map(select(.outcome == "answered" and $runs[.digest] != 1))
     | invariant("each answered POST is executed once"; length == 0;
                 "\(length) of \($posts | map(select(.outcome == "answered")) | length) not")),

    ($records | map(select(.outcome == "refused" and $runs[.digest] != null))
     | invariant("no request refused as not-run is executed"; length == 0;
                 "\(length) of \($records | map(select(.outcome == "refused")) | length) executed"))
  ];
