#!/bin/sh
# Checks that the stand-ins of the scripts of the second review can be imported and compiles them.
# They need the packages of the deploy file's build and nothing else.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c "import review.stand_ins_2.databases, review.stand_ins_2.deployment"
python3 -m compileall -q review/stand_ins_2
