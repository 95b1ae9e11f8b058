#!/bin/sh
exec "$(dirname "$0")/../run_case-2.sh" long_header "$(dirname "$0")"
