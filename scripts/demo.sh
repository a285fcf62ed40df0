#!/bin/sh
# Brings up a store, a VM list, servers and nodes as separate processes, rolls a bundle, drives
# load and shows the result and the time line. It stops everything it started, also on Ctrl-C.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --quiet --workspace
bin=target/release
run=$(mktemp -d)
pids=""
stop() {
    trap - EXIT INT TERM
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$run"
}
trap stop EXIT
trap 'exit 130' INT TERM

store=127.0.0.1:21000
list=127.0.0.1:21001
$bin/standin store --listen $store & pids="$pids $!"
$bin/standin list --listen $list & pids="$pids $!"

mkdir "$run/keys"
$bin/valetrack keys authority --dir "$run/keys"
rows=""
doors=""
admins=""
n=0
for service in intake standings; do
    for domain in kranj skofja-loka radovljica; do
        n=$((n + 1))
        vm="$domain-$service"
        $bin/valetrack keys node --dir "$run/keys" --vm "$vm"
        $bin/standin server --listen 127.0.0.1:$((21100 + n)) --noise-every-ms 500 --seed $n & pids="$pids $!"
        $bin/valetrack node --vm "$vm" --domain $domain --service $service --server 127.0.0.1:$((21100 + n)) \
            --caller-listen 127.0.0.1:$((21200 + n)) --link-listen 127.0.0.1:$((21300 + n)) \
            --admin-listen 127.0.0.1:$((21400 + n)) --store $store --list $list --keys "$run/keys" \
            --log-level debug 2>"$run/$vm.log" & pids="$pids $!"
        row="{\"vm\":\"$vm\",\"domain\":\"$domain\",\"service\":\"$service\",\"link_addr\":\"127.0.0.1:$((21300 + n))\"}"
        rows="$rows${rows:+,}$row"
        doors="$doors --door 127.0.0.1:$((21200 + n))"
        admins="$admins --admin 127.0.0.1:$((21400 + n))"
    done
done
sleep 0.3
curl --silent --fail --request PUT --data "[$rows]" http://$list/vms

echo "== rolling a bundle"
version=$($bin/valetrack bundle write scripts/shop.toml --operator ana --store $store)
$bin/valetrack bundle approve "$version" --operator bor --store $store
$bin/valetrack bundle roll "$version" --operator ana --store $store
for i in 1 2 3 4 5 6; do
    tries=0
    until curl --silent --fail "http://127.0.0.1:$((21400 + i))/ready" >/dev/null; do
        tries=$((tries + 1))
        [ $tries -lt 50 ] || { echo "node $i is not ready"; exit 1; }
        sleep 0.1
    done
done
echo "all nodes are ready"
sleep 1.5

echo "== reads, 5 s at 600 calls/s over all doors"
# shellcheck disable=SC2086
$bin/standin load $doors --service intake --rate 600 --seconds 5 --name reads
echo "== bookings with keys, 5 s at 100 calls/s"
# shellcheck disable=SC2086
$bin/standin load $doors --service intake --rate 100 --seconds 5 --keyed-percent 100 --seed 9 --name bookings

echo "== the time line of one booking"
curl --silent --request POST --header 'valetrack-service: intake' --header 'idempotency-key: demo-1' \
    --header 'valetrack-call: demo-call' --data pickup http://127.0.0.1:21204/pickups --output /dev/null
# shellcheck disable=SC2086
$bin/valetrack timeline $admins --call demo-call
