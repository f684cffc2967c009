#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are Python scripts that need the standard library
# only, so this checks that the interpreter runs them.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 8); sys.path.insert(0, "review/lib2"); sys.dont_write_bytecode = True; import cell2'
