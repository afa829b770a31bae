#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python scripts that use
# the standard library alone, so that they are only compiled as a check.
set -eu
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import sys; assert sys.version_info >= (3, 11)'
test -d ../target/deps
