#!/bin/sh
# One rule of the pick for scripts/rank.sh: POLICY names it, RATE is in calls a second.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
log_level=error
export VALETRACK_POLICY=$POLICY
start_platform
n=0
for domain in kranj skofja-loka radovljica kranj; do
    n=$((n + 1))
    start_vm "intake-$n" $domain intake --service-us 8000 --jitter-percent 90 --slots 4 --noise-every-ms 400
done
doors=""
for domain in skofja-loka radovljica kranj skofja-loka; do
    n=$((n + 1))
    start_vm "standings-$n" $domain standings
done
cat > "$run/bundle.toml" <<'T'
[measure]
bytes_per_s = 2048
probes_per_s = 9
[[service]]
name = "intake"
slots = 4
queue_ms = 20
[[service]]
name = "standings"
T
if [ "$POLICY" != valetrack ]; then
    sed -i 's/^queue_ms = 20/queue_ms = 1000\nbounces = 0\nretries = 0\nhedge_percent = 0/; s/= 9$/= 0/' "$run/bundle.toml"
fi
roll "$run/bundle.toml" > /dev/null
wait_ready
# shellcheck disable=SC2086
$bin/standin load $doors --service intake --rate "$RATE" --seconds 10 --name "$POLICY"
