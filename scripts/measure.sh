#!/bin/sh
# Measures what two hops add on loopback, against the servers called directly in the same run, the
# rate at which one node saturates, memory, and the idle cost of a node. Run it on a quiet machine.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
log_level=warn
start_platform
n=0
# Four servers that answer at once, and doors at twelve nodes of other services: two hops each.
for domain in kranj skofja-loka radovljica kranj; do
    n=$((n + 1))
    start_vm "intake-$n" $domain intake --service-us 0 --jitter-percent 0 --slots 64
done
servers="--door 127.0.0.1:21101 --door 127.0.0.1:21102 --door 127.0.0.1:21103 --door 127.0.0.1:21104"
doors=""
for domain in kranj skofja-loka radovljica kranj skofja-loka radovljica kranj skofja-loka; do
    n=$((n + 1))
    start_vm "standings-$n" $domain standings --service-us 0 --jitter-percent 0 --slots 64
done
sed 's/slots = [0-9]*/slots = 64/' scripts/shop.toml > "$run/bundle.toml"
roll "$run/bundle.toml"
wait_ready

memory() {
    for pid in $node_pids; do awk '/VmRSS/ { print $2 }' /proc/"$pid"/status; done | sort -n | tail -1
}
ticks() {
    for pid in $node_pids; do awk '{ print $14 + $15 }' /proc/"$pid"/stat; done | awk '{ s += $1 } END { print s }'
}
echo "== idle, 12 nodes: most memory of a node, and processor time of all over 10 s"
before=$(ticks)
sleep 10
after=$(ticks)
echo "memory_kb=$(memory) cpu_percent_of_a_core_per_node=$(awk "BEGIN { print ($after - $before) * 100 / $(getconf CLK_TCK) / 10 / 12 }")"

echo "== two hops against direct, 300 calls/s at each of 4 doors, in turn"
four=$(echo "$doors" | awk '{ print $1, $2, $3, $4, $5, $6, $7, $8 }')
for turn in 1 2; do
    # shellcheck disable=SC2086
    $bin/standin load $servers --direct --rate 1200 --seconds 6 --seed $turn --name "direct $turn"
    # shellcheck disable=SC2086
    $bin/standin load $four --service intake --rate 1200 --seconds 6 --seed $turn --name "two hops $turn"
done

echo "== saturation of one node as entry"
one=$(echo "$doors" | awk '{ print $1, $2 }')
for rate in 3000 6000 9000; do
    # shellcheck disable=SC2086
    $bin/standin load $one --service intake --rate $rate --seconds 4 --name "one door at $rate/s"
done
echo "most memory of a node after load: memory_kb=$(memory)"
