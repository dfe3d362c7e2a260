#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
# there is no disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/scenario ] || [ ! -x target/quetzalhold ]; then
  echo "run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
exec target/scenario silent review/5/record.txt
