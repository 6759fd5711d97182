# Functions and settings shared by the demo scripts, which source this file.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
root=$PWD
build=$(realpath "${BUILD:-build}")
state=$root/.demo
zones=(zone-a zone-b zone-c)
# Number of routers; they are assigned to the three zones in turn.
routers=${ROUTERS:-3}
# Number of control instances; 1 if the build has no replicated control.
control=${CONTROL:-3}
# The help text is read into a variable, because grep -q closes a pipe early and
# pipefail would then report a failure as if the option were missing.
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

# wait_for DESCRIPTION COMMAND...: runs a command every 100 ms until it succeeds;
# fails after 30 s.
wait_for() {
  local description=$1 i
  shift
  for ((i = 0; i < 300; ++i)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  fail "timed out after 30 s waiting for: $description; logs are in .demo/log"
}

# Stops the processes that demo-up recorded, each by its id. An id that another
# program has reused since then is skipped.
stop_recorded() {
  [ -f "$state/pids" ] || return 0
  local pid name
  # Routers stop first, because they report their last usage to control.
  stop_matching router
  stop_matching .
  while read -r pid name; do
    if is_recorded "$pid" "$name"; then
      echo "demo: process $pid ($name) did not stop within 30 s of SIGTERM; sending SIGKILL" >&2
      kill -KILL "$pid"
    fi
  done <"$state/pids"
  rm -f "$state/pids"
}

# Sends SIGTERM to the recorded processes whose name matches a regular expression,
# and waits up to 30 s for them to exit.
stop_matching() {
  local pid name running i
  while read -r pid name; do
    [[ $name =~ $1 ]] && is_recorded "$pid" "$name" && kill -TERM "$pid"
  done <"$state/pids"
  for ((i = 0; i < 300; ++i)); do
    running=0
    while read -r pid name; do
      [[ $name =~ $1 ]] && is_recorded "$pid" "$name" && running=1
    done <"$state/pids"
    [ "$running" -eq 0 ] && break
    sleep 0.1
  done
}

# is_recorded PID TEXT: true if the command line of the process contains the text
# that was recorded with its id.
is_recorded() {
  [ -r "/proc/$1/cmdline" ] || return 1
  { tr '\0' ' ' <"/proc/$1/cmdline"; } 2>/dev/null | grep -q -- "$2"
}
