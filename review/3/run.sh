#!/bin/sh
# shellcheck source=../run-case.sh
set -- 3
. "$(dirname "$0")/../run-case.sh"
