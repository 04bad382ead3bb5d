#!/bin/sh
# Runs case 2; with TROUBLE=0 without its disruption.
# shellcheck source=../run-case.sh
set -- 2 "${TROUBLE:-1}"
. "$(dirname "$0")/../run-case.sh"
