#!/bin/sh
# Checks the stand-ins and scripts of the second review. They are run from
# their source with the standard library of Python 3.11 or newer, so that
# there is nothing to build and nothing to install.
set -eu
cd "$(dirname "$0")"
python3 - standins-2/standins.py [6-9]/case.py 10/case.py <<'CHECK'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or newer is needed')
for pattern in sys.argv[1:]:
    for path in glob.glob(pattern):
        with open(path, encoding='utf-8') as file:
            compile(file.read(), path, 'exec')
CHECK
