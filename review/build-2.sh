#!/usr/bin/env bash
# Builds what the scripts of this review start besides the build of the deploy file. The stand-ins in
# `review/harness-2` are plain programs for Node.js without a build; this checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/harness-2/store review/harness-2/fleet review/harness-2/engine review/harness-2/client; do
  node --eval "new (require('node:vm').Script)('(function(){' + require('node:fs').readFileSync('$file', 'utf8').replace(/^#!.*/, '') + '})')"
done
test -f target/start.cjs || node deploy/build.mjs
