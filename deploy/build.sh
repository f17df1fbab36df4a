#!/bin/sh
# Installs the daemon and its dependencies into target/deps and compiles them.
set -eu
stamp=target/deps/.stamp
if [ ! -e "$stamp" ] || [ constraints.txt -nt "$stamp" ] \
    || [ deploy/requirements.txt -nt "$stamp" ]; then
  python3 -m pip install -q -U --target target/deps \
    -c constraints.txt -r deploy/requirements.txt
  touch "$stamp"
fi
for part in libs/telemetry libs/http libs/model libs/runtime libs/policy \
    libs/sidecar platform deploy/node; do
  cp -R "$part"/src/. target/deps/
done
python3 -m compileall -q target/deps
