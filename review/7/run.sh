#!/bin/sh
exec "$(dirname "$0")/../run_case-2.sh" relay_freeze "$(dirname "$0")"
