#!/usr/bin/env bash
# The open connections to the store go silent; later, a client cancels a job.
# Needs the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-3.sh" silent_store 13
