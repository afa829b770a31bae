#!/bin/sh
# Installs the libraries and a compiled copy of the package under target/.
# Nothing is replaced while it is current, so that running processes keep
# their files.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
if [ ! -e target/deps.stamp ] ||
    [ -n "$(find deploy/requirements.txt constraints.txt -newer target/deps.stamp)" ]
then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check \
        --target target/deps -r deploy/requirements.txt -c constraints.txt
    touch target/deps.stamp
fi
if [ ! -e target/deps/orioleloom ] ||
    [ -n "$(find src/orioleloom -name '*.py' -newer target/package.stamp)" ] ||
    [ "$(cd src && find orioleloom -name '*.py' | sort)" != "$(cat target/package.list)" ]
then
    touch target/package.stamp
    rm -rf target/deps/orioleloom
    cp -r src/orioleloom target/deps/
    python3 -m compileall -q target/deps/orioleloom
    (cd src && find orioleloom -name '*.py' | sort) > target/package.list
fi
