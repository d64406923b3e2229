#!/usr/bin/env bash
# Tests scripts/demo-check.jq: a sound record passes, and each kind of fault breaks its invariant. A
# check that can't fail would let the demo pass with a broken system.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."

folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
faults=0

# A booking that was answered and a read; one execution each; caps of 10 requests/s.
reset() {
  cat >"$folder/failures.jsonl" <<'END'
{"method":"POST","digest":"d1","outcome":"answered","detail":"","lost_at":["k:1"],"started_ms":1000,"duration_ms":20}
{"method":"GET","digest":"d2","outcome":"answered","detail":"","lost_at":[],"started_ms":1000,"duration_ms":20}
END
  cat >"$folder/low_cap.jsonl" <<'END'
{"method":"GET","digest":"d3","outcome":"refused","detail":"region-cap","lost_at":[],"started_ms":5000,"duration_ms":20}
END
  cat >"$folder/executions.json" <<'END'
{"unrecorded":0,"executions":[
  {"target":"t","ticket":"x","method":"POST","digest":"d1","started_ms":1010},
  {"target":"t","ticket":"","method":"GET","digest":"d2","started_ms":1010}]}
END
  drained_status=0
}

# Prints the names of the broken invariants.
broken() {
  jq -n -L scripts/lib -f scripts/demo-check.jq \
    --slurpfile failures "$folder/failures.jsonl" --slurpfile low_cap "$folder/low_cap.jsonl" \
    --slurpfile executions "$folder/executions.json" \
    --slurpfile zones <(echo '[{"zone":"z","region":"r","cap":10}]') \
    --slurpfile target_zones <(echo '{"t":"z"}') --arg low_cap_region r --argjson low_cap_rps 1 \
    --arg drained_address d:1 --argjson drained_status "$drained_status" |
    jq -r '.[] | select(.ok | not) | .name'
}

expect() {
  local found
  found=$(broken)
  if [[ $found != "$2" ]]; then
    printf '%s: expected "%s", found "%s"\n' "$1" "$2" "$found" >&2
    faults=$((faults + 1))
  fi
  reset
}

# Changes the executions by a jq program.
change_executions() {
  jq "$1" "$folder/executions.json" >"$folder/changed.json"
  mv "$folder/changed.json" "$folder/executions.json"
}

reset
expect "sound record" ""
change_executions '.executions += [.executions[0]]'
expect "POST executed twice" "each ticket is executed at most once
each POST is executed at most once
each answered POST is executed once"
change_executions '.executions[0].ticket = ""'
expect "POST without a ticket" "no POST is executed without a ticket"
change_executions '.executions |= .[1:]'
expect "answered, not executed" "each answered POST is executed once"
change_executions '.executions += [{target: "t", method: "GET", ticket: "", digest: "d3", started_ms: 5010}]'
expect "refused, but executed" "no request refused as not-run is executed"
change_executions '.executions += [range(61) | {target: "t", method: "GET", ticket: "", digest: "n\(.)", started_ms: 1010}]'
expect "cap exceeded" "cap of r (10 requests/s, first part)"
change_executions '.executions += [range(7) | {target: "t", method: "GET", ticket: "", digest: "n\(.)", started_ms: 5010}]'
expect "low cap exceeded" "cap of r (1 requests/s, second part)"
change_executions '.unrecorded = 1'
expect "record incomplete" "the record of the targets is complete"
sed -i 's/k:1/d:1/' "$folder/failures.jsonl"
expect "answer lost at the drained entry VM" "the drained entry VM cuts nothing and exits with 0"
drained_status=1
expect "drained entry VM failed" "the drained entry VM cuts nothing and exits with 0"
sed -i 's/"d2","outcome":"answered"/"d2","outcome":"unknown"/' "$folder/failures.jsonl"
expect "read not answered" "99% of idempotent requests are answered in the first part"
sed -i 's/"d2","outcome":"answered"/"d2","outcome":"wrong"/' "$folder/failures.jsonl"
expect "wrong answer" "each answer is whole and the caller's own
99% of idempotent requests are answered in the first part"
exit "$((faults > 0))"
