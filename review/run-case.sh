# Sourced by each run.sh with the number of its case and TROUBLE: runs the stand-ins of the case, which start the gateway with the
# deploy file's command, and ends them.
# shellcheck shell=sh
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review/case$1
if [ ! -x "$program" ] || [ ! -x "$root/target/release/starlingplank" ]; then
    echo "not built: run the deploy file's build, then review/build.sh" | tee "$here/record.txt"
    exit 2
fi
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if [ -z "$run" ]; then
    echo "the deploy file has no run command" | tee "$here/record.txt"
    exit 2
fi
folder=$(mktemp -d) || exit 2
pid=
finish() {
    [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null
    [ ! -s "$folder/gateway.pid" ] || kill -KILL "$(cat "$folder/gateway.pid")" 2>/dev/null
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
cd "$root" || exit 2
"$program" "$run" "$folder" "$here/record.txt" "$2" &
pid=$!
waited=0
while kill -0 "$pid" 2>/dev/null; do
    if [ "$waited" -ge 110 ]; then
        echo "the case took over 110 s" | tee -a "$here/record.txt"
        exit 2
    fi
    sleep 1
    waited=$((waited + 1))
done
wait "$pid"
code=$?
pid=
[ "$code" -le 2 ] || code=2
exit "$code"
