# Shared parts of the demo's scripts; sourced, not run.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
root=$PWD
build=$(realpath "${BUILD:-build}")
state=$root/.demo
zones=(zone-a zone-b zone-c)
# Number of routers; three zones take them in turn.
routers=${ROUTERS:-3}
# Number of control instances. Without replicated control there can be one.
control=${CONTROL:-3}
# The help is read whole: grep -q would end a pipe early, and pipefail would
# take that for a missing option.
daemon_help=$("$build/lycheestandd" --help 2>/dev/null || true)
[[ $daemon_help == *--format* ]] || control=1

peer_of() { echo "127.0.0.1:$((24000 + $1))"; }
control_admin_of() { echo "127.0.0.1:$((24020 + $1))"; }
caller_of() { echo "127.0.0.1:$((24100 + $1))"; }
router_admin_of() { echo "127.0.0.1:$((24200 + $1))"; }
engine_of() { echo "127.0.0.1:$((24300 + $1))"; }
service_of() { echo "127.0.0.1:$((24400 + $1))"; }
platform=127.0.0.1:24500

client() { "$build/lycheestand" "$@" --client "$state/client.json"; }

fail() {
  echo "demo: $*" >&2
  exit 1
}

# Runs a command each 100 ms until it succeeds, for at most 30 s.
wait_for() {
  local what=$1 i
  shift
  for ((i = 0; i < 300; ++i)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  fail "$what did not happen within 30 s; logs are in .demo/log"
}

# Stops the processes that demo-up recorded, each by its id. An id that another
# program has taken since is left alone.
stop_recorded() {
  [ -f "$state/pids" ] || return 0
  local pid name
  # Routers first: they report to control what they spent.
  stop_matching router
  stop_matching .
  while read -r pid name; do
    if is_ours "$pid" "$name"; then
      echo "demo: process $pid ($name) did not stop; it is killed" >&2
      kill -KILL "$pid"
    fi
  done <"$state/pids"
  rm -f "$state/pids"
}

# Asks the recorded processes whose name matches to stop, and waits up to 30 s.
stop_matching() {
  local pid name left i
  while read -r pid name; do
    [[ $name =~ $1 ]] && is_ours "$pid" "$name" && kill -TERM "$pid"
  done <"$state/pids"
  for ((i = 0; i < 300; ++i)); do
    left=0
    while read -r pid name; do
      [[ $name =~ $1 ]] && is_ours "$pid" "$name" && left=1
    done <"$state/pids"
    [ "$left" -eq 0 ] && break
    sleep 0.1
  done
}

# True if the process runs the program that was recorded for its id.
is_ours() {
  [ -r "/proc/$1/cmdline" ] || return 1
  { tr '\0' ' ' <"/proc/$1/cmdline"; } 2>/dev/null | grep -q -- "$2"
}
