#!/bin/sh
# The stand-ins are in review/common and need no build; this checks that they load.
set -e
cd "$(dirname "$0")"
node -e "require('./common/harness')"
