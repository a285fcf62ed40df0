#!/bin/sh
# Plays every day of deploy/days on a site of the users' bench and prints a row a kind.
# usage: scripts/kinds.sh BENCH SITE [DAYS_AT_ONCE]
set -eu
bench=$1
site=$2
at_once=${3:-4}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
ls deploy/days/*.toml | xargs -P "$at_once" -I DAY sh -c \
    'name=$(basename DAY .toml); "$0" run "$1" DAY --no-cpu --why "kind $name alone, twice" >"$2/$name" 2>&1 || true' \
    "$bench" "$site" "$out"
echo "| kind | worth | served | refused | failed | rules |"
echo "|---|---|---|---|---|---|"
for day in "$out"/*; do
    name=$(basename "$day")
    row=$(grep "^$name " "$day" | head -1 || true)
    rules=$(echo "$row" | grep -o 'BROKEN:.*' || echo kept)
    if [ -z "$row" ]; then
        echo "| $name | not played | | | | $(tail -1 "$day" | cut -c1-80) |"
        continue
    fi
    echo "$row" | awk -v rules="$rules" '{ print "| " $1 " | " $4 " | " $5 " | " $6 " | " $7 " | " rules " |" }'
done
