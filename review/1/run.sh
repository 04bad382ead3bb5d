#!/bin/sh
# Runs case 1; with TROUBLE=0 without its disruption.
# shellcheck source=../run-case.sh
set -- 1 "${TROUBLE:-1}"
. "$(dirname "$0")/../run-case.sh"
