#!/bin/sh
# Builds the stand-ins that the scripts start. They are one Python module without dependencies: building it means
# checking that this machine's interpreter can run it. No stand-in of the project itself is started.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed"; exit 1; }
for file in standins/*.py [0-9]/*.py; do
    [ ! -e "$file" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/release/valetrack || echo "target/release/valetrack is missing: run the build of the deploy file"
