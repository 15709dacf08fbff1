#!/usr/bin/env bash
# Runs a scenario of review/stand_ins_2 for a case: review/run-2.sh SCENARIO CASE. Ends all processes
# that were started, also if the scenario is killed or takes longer than 115 s.
set -u
cd "$(dirname "$0")/.." || exit 2
[ -x target/review-2/rig ] || { echo "run review/build-2.sh first" >&2; exit 2; }
[ -x target/release/teaseltrack-site-agent ] || { echo "run the build of the deploy file first" >&2; exit 2; }
pids=$(mktemp) || exit 2
export PIDS=$pids
rig=
end_all() {
    [ -n "$rig" ] && kill -KILL "$rig" 2>/dev/null
    while read -r pid; do
        grep -q teaseltrack-site "/proc/$pid/cmdline" 2>/dev/null && kill -KILL "$pid" 2>/dev/null
    done <"$pids"
    rm -f "$pids"
    [ -n "$rig" ] && rm -rf "${TMPDIR:-/tmp}/teaseltrack-review-$rig"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
target/review-2/rig "$1" "review/$2" &
rig=$!
for _ in $(seq 115); do
    kill -0 "$rig" 2>/dev/null || break
    sleep 1 &
    wait $!
done
if kill -0 "$rig" 2>/dev/null; then
    echo "the case took too long" >&2
    exit 2
fi
wait "$rig"
status=$?
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
