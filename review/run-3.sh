#!/usr/bin/env bash
# Plays a case of review/stand_ins_3: review/run-3.sh CASE FOLDER. Ends what it has started, also if it is ended
# itself or the case takes longer than 115 s. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run.
set -u
cd "$(dirname "$0")/.." || exit 2
[ -x target/review/stand_ins_3 ] || { echo "run review/build-3.sh first" >&2; exit 2; }
[ -x target/release/teaseltrack-site-agent ] || { echo "run the build of the deploy file first" >&2; exit 2; }
case_pid=
CASE_PIDS=$(mktemp) || exit 2
export CASE_PIDS
end_all() {
    while read -r pid; do
        grep -qE 'teaseltrack-site|stand_ins_3' "/proc/$pid/cmdline" 2>/dev/null && kill -KILL "$pid"
    done <"$CASE_PIDS"
    rm -f "$CASE_PIDS"
    [ -n "$case_pid" ] && rm -rf "${TMPDIR:-/tmp}/teaseltrack-review-$case_pid"-*
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
target/review/stand_ins_3 "$1" "review/$2" &
case_pid=$!
echo "$case_pid" >>"$CASE_PIDS"
for _ in $(seq 115); do
    kill -0 "$case_pid" 2>/dev/null || break
    sleep 1 &
    wait $!
done
kill -0 "$case_pid" 2>/dev/null && { echo "the case took too long" >&2; exit 2; }
wait "$case_pid"
status=$?
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
