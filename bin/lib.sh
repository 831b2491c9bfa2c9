# Functions shared by bin/demo, bin/soak, bin/speed and bin/measure, which source this file.
#
# Loopback addresses of a deployment: the second octet identifies the data centre, from base_octet on;
# the platform has the octet before. The third octet is 0 for entry instances and the position of the
# service, from 1, for replicas. The fourth octet numbers the processes. The Java class Topology uses
# the same scheme.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
pids=()

print_line() { printf '%s\n' "$*"; }

# Builds the project if a source file is newer than the last build. A file lock makes sure that only
# one script builds at a time.
build_if_needed() {
  (
    flock 9
    local build_stamp="$root/arbutusspar-bench/target/lib"
    if [ ! -d "$build_stamp" ] || [ -n "$(find "$root"/arbutusspar-*/src/main "$root"/pom.xml -newer "$build_stamp" -print -quit)" ]; then
      print_line "building ..."
      cd "$root" && mvn -q -B package -DskipTests -Dspotless.check.skip -Dcheckstyle.skip && touch "$build_stamp"
    fi
  ) 9>"$root/.build.lock"
}

# Kills the processes in pids, that is those that the script started. SIGCONT comes first, since a
# fault may have stopped a process.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

# Replaces the shell by a Java process; call it in the background or in a subshell.
run_standins() { # simple name of the main class, arguments
  local module="$root/arbutusspar-standins/target" class=$1
  shift
  exec java -Xmx256m -XX:TieredStopAtLevel=1 -cp "$module/classes:$module/lib/*" "org.arbutusspar.standins.$class" "$@"
}

# Sets the variables of a deployment, and exports the settings of its entry instances and of
# arbutusctl. client_delay is the one-way delay between client and instance in milliseconds, base_rate
# and peak_rate are in requests a second.
choose_deployment() { # name
  case $1 in
    cojulun) base_octet=11 data_centres=(antigua xela chimal) instances=6 client_delay=1 base_rate=10 peak_rate=300 ;;
    trentvale) base_octet=21 data_centres=(mids-a mids-b mids-c) instances=8 client_delay=3 base_rate=10 peak_rate=300 ;;
    *) print_line "deployment must be cojulun or trentvale, not '$1'" >&2; exit 2 ;;
  esac
  deployment=$1
  platform_address="127.$((base_octet - 1)).0.1:7000"
  export ARBUTUSSPAR_LOG_URL="http://$platform_address" ARBUTUSSPAR_LIST_URL="http://$platform_address"
  export ARBUTUSSPAR_SECRET="demo-secret-of-a-deployment"
  ARBUTUSSPAR_OPERATOR_KEY_SHA256=$(printf operator-demo-key | sha256sum | cut -d' ' -f1)
  export ARBUTUSSPAR_OPERATOR_KEY_SHA256
  export ARBUTUSCTL_LOG="http://$platform_address" ARBUTUSCTL_OPERATOR_KEY=operator-demo-key
  ARBUTUSCTL_INSTANCES=$(for i in $(seq 1 "$instances"); do printf '%s,' "$(entry_host "$i"):7100"; done | sed 's/,$//')
  export ARBUTUSCTL_INSTANCES
}

# Prints the address of an entry instance. Instances are spread over the data centres in turn.
entry_host() { # number of the instance, from 1
  echo "127.$((base_octet + ($1 - 1) % 3)).0.$((1 + ($1 - 1) / 3))"
}

# Starts one process for the platform and one for the replicas of each data centre.
start_standins() { # extra arguments for the replica stand-ins
  run_standins StandinsMain --deployment "$deployment" --role platform >"$logs/platform.log" 2>&1 &
  pids+=($!)
  local data_centre
  for data_centre in "${data_centres[@]}"; do
    run_standins StandinsMain --deployment "$deployment" --role "$data_centre" "$@" >"$logs/upstream-$data_centre.log" 2>&1 &
    pids+=($!)
  done
}

# Process id of each entry instance, by its number.
declare -A entry_pid
start_entry() { # number of the instance
  local host
  host=$(entry_host "$1")
  "$root/bin/arbutusspar" --instance "entry-$1" --data-centre "${data_centres[$((($1 - 1) % 3))]}" \
    --listen "$host:7100" --links "$host:7200" >>"$logs/entry-$1.log" 2>&1 &
  entry_pid[$1]=$!
  pids+=($!)
}

# Waits until all given instances are ready; fails after the time limit.
wait_ready() { # time limit in seconds, instance numbers
  local deadline_second=$((SECONDS + $1)) i
  shift
  for i in "$@"; do
    until curl -sf -m 1 "http://$(entry_host "$i"):7100/readyz" >/dev/null; do
      if [ $SECONDS -ge $deadline_second ]; then
        print_line "entry-$i is not ready" >&2
        return 1
      fi
      sleep 0.2
    done
  done
}

# Sets a fault of the platform stand-in; the argument is name=value, see PlatformStandin.
platform_fault() { curl -sf -m 2 -X POST "http://$platform_address/admin/fault?$1" >/dev/null; }

# Prints the address of a replica.
replica_host() { # third octet, fourth octet
  echo "127.$((base_octet + ($2 - 1) % 3)).$1.$2"
}

# Sets a fault of a replica; the last argument is name=value, see UpstreamStandin.
replica_fault() { # third octet, fourth octet, replica id, fault
  curl -sf -m 2 -X POST "http://$(replica_host "$1" "$2"):8000/admin/fault?replica=$3&$4" >/dev/null
}
