# Sourced by scripts that run a deployment of real processes on this machine.
# Set `build`, `work` (a scratch folder) and `base_port` first, and call
# StopAll on exit. Only processes started here are ever stopped, by their pid.

host=127.0.0.1
pids=()
declare -A pid_of call_port_of admin_port_of endpoint_port_of
ports_in_range=100
# Another deployment on this machine may use the range: then a later one is
# chosen.
range_step=2000
highest_base_port=30000

# Whether any process listens on a port of the range that begins at $1.
IsRangeTaken() {
  local first=$1 used
  while read -r used; do
    used=$((16#$used))
    [ "$used" -ge "$first" ] && [ "$used" -lt $((first + ports_in_range)) ] && return 0
  done < <(awk '$4 == "0A" {split($2, address, ":"); print address[2]}' /proc/net/tcp)
  return 1
}

while IsRangeTaken "$base_port"; do
  base_port=$((base_port + range_step))
  if [ "$base_port" -gt "$highest_base_port" ]; then
    echo "no free range of ports" >&2
    exit 69
  fi
done

ports_per_node=5 # call, peer, control, admin, and one for its endpoint
nodes_started=0
# FIXME: Three would be enough once nodes discover others through their seeds.
seed_count=${AUBURNFOLD_SEEDS:-16}
store_port=
# Token of the team that may edit every row of a deployment on this machine.
operator_token=deployment-operator-0123

# Starts "$@" under the name $1, with its output in $work/$1.log.
StartProcess() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
}

# Waits until "$@" succeeds; fails after about $1 tenths of a second.
WaitUntil() {
  local tries=$1
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.1
  done
}

Fetch() {
  curl -sf -m 5 "$@"
}

StartStore() {
  store_port=$base_port
  StartProcess store "$build/Tests/StandIns/stand-in-store" --listen "$host:$store_port"
  WaitUntil 100 Fetch "http://$host:$store_port/test/counts"
}

NodePort() {
  echo $((base_port + 1 + ports_per_node * $1))
}

# The first nodes of the deployment, which every node knows from its settings.
SeedsJson() {
  local i
  for ((i = 0; i < seed_count; i++)); do
    jq -n --arg host "$host" --argjson port "$(NodePort $i)" \
      '{host: $host, peer_port: ($port + 1), control_port: ($port + 2)}'
  done | jq -s -c .
}

# Starts a node named $1 in failure domain $2.
StartNode() {
  local name=$1 domain=$2 port
  port=$(NodePort $nodes_started)
  nodes_started=$((nodes_started + 1))
  call_port_of[$name]=$port
  admin_port_of[$name]=$((port + 3))
  [ -n "${seeds:=$(SeedsJson)}" ]
  jq -n --arg host "$host" --arg domain "$domain" --argjson port "$port" \
    --argjson seeds "$seeds" --argjson store "${store_port:-null}" \
    --arg token "$operator_token" \
    '{host: $host, endpoint_host: $host, domain: $domain, call_port: $port,
      peer_port: ($port + 1), control_port: ($port + 2), admin_port: ($port + 3),
      seeds: $seeds,
      admin: {teams: [{name: "operator", token: $token, services: ["*"]}]}}
     + if $store then {store_host: $host, store_port: $store} else {} end' >"$work/$name.json"
  RunNode "$name"
}

# Starts the node named $1 again with the same settings.
RunNode() {
  StartProcess "$1" "$build/Services/auburnfold-node/auburnfold-node" --settings "$work/$1.json"
}

# Starts an endpoint of service $3 named $1 as the local endpoint of the node
# named $2; the rest are its options.
StartEndpoint() {
  local name=$1 node=$2 service=$3
  local port=$((call_port_of[$node] + 4))
  shift 3
  endpoint_port_of[$name]=$port
  StartProcess "$name" "$build/Tests/StandIns/stand-in-endpoint" --service "$service" \
    --listen "$host:$port" --node "$host:${call_port_of[$node]}" "$@"
}

# Starts $2 endpoints of service $1 with a node each, over $3 failure domains;
# the rest are options of the endpoints.
StartService() {
  local service=$1 count=$2 domains=$3 i
  shift 3
  for ((i = 1; i <= count; i++)); do
    StartNode "$service-$i-node" "domain-$(((i - 1) % domains + 1))"
    StartEndpoint "$service-$i" "$service-$i-node" "$service" --seed "$i" "$@"
  done
}

# Writes a new row for service $2 and class $3 through the node named $1; $4 is
# the row as JSON.
SetRow() {
  AUBURNFOLD_TOKEN=$operator_token "$build/Utilities/auburnfold/auburnfold" \
    --host "$host" --port "${admin_port_of[$1]}" --expected 0 table set "$2" "$3" "$4" >/dev/null
}

# Makes one call of service $2 and class $3 through the node named $1.
CallThrough() {
  Fetch -X POST -H "Auburnfold-Service: $2" -H "Auburnfold-Class: $3" \
    -H 'Auburnfold-Timeout-Ms: 2000' -H "Auburnfold-Request-Id: wait-$RANDOM-$RANDOM" \
    -d wait "http://$host:${call_port_of[$1]}/$3"
}

# The addresses of all nodes' call ports, as a JSON list.
NodesJson() {
  printf '%s\n' "${call_port_of[@]}" | jq -R --arg host "$host" '"\($host):\(.)"' | jq -s -c .
}

# Fails if a process started here has exited by itself.
ExpectAllRun() {
  local name
  for name in "${!pid_of[@]}"; do
    HasEnded "${pid_of[$name]}" || continue
    echo "$name has ended:" >&2
    tail -5 "$work/$name.log" >&2
    return 1
  done
}

# Waits until every node reaches service $1 with class $2.
WaitForService() {
  local name
  ExpectAllRun || return 1
  for name in "${!call_port_of[@]}"; do
    WaitUntil 200 CallThrough "$name" "$1" "$2" || {
      echo "node $name does not reach $1/$2:" >&2
      tail -5 "$work/$name.log" >&2
      return 1
    }
  done
}

# Injects faults $2 (JSON) at the endpoint named $1.
SetFaults() {
  Fetch -X PUT -d "$2" "http://$host:${endpoint_port_of[$1]}/test/faults" >/dev/null
}

# The sum of field $1 over the summaries of the endpoints named by the rest.
SumRecorded() {
  local field=$1 name
  shift
  for name in "$@"; do
    Fetch "http://$host:${endpoint_port_of[$name]}/test/summary"
  done | jq -s --arg field "$field" 'map(.[$field]) | add'
}

# How many names under field $1 (by_key, by_request) were executed more than
# once, counted over the endpoints named by the rest together.
RunTwice() {
  local field=$1 name
  shift
  for name in "$@"; do
    Fetch "http://$host:${endpoint_port_of[$name]}/test/record"
  done | jq -s --arg field "$field" '[.[][$field] | to_entries[]] | group_by(.key)
    | map(select((map(.value.started) | add) > 1)) | length'
}

# Stops every process started here and waits for it.
StopAll() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    # A process that ignores SIGTERM is killed after five seconds.
    WaitUntil 50 HasEnded "$pid" || kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
  pid_of=()
  call_port_of=()
  admin_port_of=()
  endpoint_port_of=()
  nodes_started=0
}

HasEnded() {
  kill -0 "$1" 2>/dev/null || return 0
  # The first thread of a process is a zombie before the last one has ended,
  # and only then are the ports free.
  grep -q '^State:	Z' "/proc/$1/status" 2>/dev/null &&
    [ "$(ls "/proc/$1/task" 2>/dev/null | wc -l)" -le 1 ]
}
