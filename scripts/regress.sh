#!/bin/sh
# Plays the regression runs on the users' bench: the light days of the large deployment, two at a time
# since each takes some 5 GB, then the standard days and ten hunted ones of each further deployment.
# usage: scripts/regress.sh BENCH LARGE_SITE [SITE...]
set -eu
bench=$1
large=$2
shift 2
"$bench" score "$large" --quick --jobs 2 --why "regression, the large deployment"
for site in "$@"; do
    "$bench" score "$site" --jobs 4 --why "regression, standard days"
    "$bench" hunt "$site" --days 10 --jobs 4 --why "regression, hunted days"
done
