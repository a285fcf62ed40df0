#!/bin/sh
# Ranks the rules of the pick on real processes: four noisy servers of one service, eight doors, the
# same load for each rule in turn. The baselines run without bounces, hedges and probes, with a long
# queue at the owner, as they would behind a plain balancer.
set -eu
cd "$(dirname "$0")/.."
rate=${1:-800}
for policy in random round-robin least-in-flight two-choices valetrack; do
    POLICY=$policy RATE=$rate sh scripts/rank_one.sh
done
