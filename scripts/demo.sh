#!/bin/sh
# Brings up a store, a VM list, servers and nodes as separate processes, rolls a bundle, drives
# load and shows the result and the time line. It stops everything it started, also on Ctrl-C.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
log_level=debug
start_platform
for service in intake standings; do
    for domain in kranj skofja-loka radovljica; do
        start_vm "$domain-$service" $domain $service --noise-every-ms 500
    done
done
echo "== rolling a bundle"
roll scripts/shop.toml
wait_ready
echo "all nodes are ready"

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
