# Starts a fleet on loopback for other scripts; they source it and call `fleet SERVICES DOMAINS`.
# It sets: bin, run, store, list, doors (all), admins (all), node_pids; everything it started is
# stopped when the script ends, also on Ctrl-C.

bin=target/release
store=127.0.0.1:21000
list=127.0.0.1:21001
pids=""
node_pids=""
rows=""
doors=""
admins=""
count=0

stop_fleet() {
    trap - EXIT INT TERM
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$run"
}

# start_vm NAME DOMAIN SERVICE [flags of the server]
start_vm() {
    name=$1 domain=$2 service=$3
    shift 3
    count=$((count + 1))
    $bin/valetrack keys node --dir "$run/keys" --vm "$name"
    $bin/standin server --listen 127.0.0.1:$((21100 + count)) --seed $count "$@" & pids="$pids $!"
    $bin/valetrack node --vm "$name" --domain "$domain" --service "$service" \
        --server 127.0.0.1:$((21100 + count)) --caller-listen 127.0.0.1:$((21200 + count)) \
        --link-listen 127.0.0.1:$((21300 + count)) --admin-listen 127.0.0.1:$((21400 + count)) \
        --store $store --list $list --keys "$run/keys" --log-level "${log_level:-info}" >"$run/$name.log" 2>&1 &
    pids="$pids $!"
    node_pids="$node_pids $!"
    row="{\"vm\":\"$name\",\"domain\":\"$domain\",\"service\":\"$service\",\"link_addr\":\"127.0.0.1:$((21300 + count))\"}"
    rows="$rows${rows:+,}$row"
    doors="$doors --door 127.0.0.1:$((21200 + count))"
    admins="$admins --admin 127.0.0.1:$((21400 + count))"
}

start_platform() {
    cargo build --release --quiet --workspace
    run=$(mktemp -d)
    trap stop_fleet EXIT
    trap 'exit 130' INT TERM
    $bin/standin store --listen $store & pids="$pids $!"
    $bin/standin list --listen $list & pids="$pids $!"
    mkdir "$run/keys"
    $bin/valetrack keys authority --dir "$run/keys"
}

# roll FILE
roll() {
    version=$($bin/valetrack bundle write "$1" --operator ana --store $store)
    $bin/valetrack bundle approve "$version" --operator bor --store $store
    $bin/valetrack bundle roll "$version" --operator ana --store $store
}

wait_ready() {
    sleep 0.3
    curl --silent --fail --request PUT --data "[$rows]" http://$list/vms
    i=0
    while [ $i -lt $count ]; do
        i=$((i + 1))
        tries=0
        until curl --silent --fail "http://127.0.0.1:$((21400 + i))/ready" >/dev/null; do
            tries=$((tries + 1))
            [ $tries -lt 100 ] || { echo "node $i is not ready"; exit 1; }
            sleep 0.1
        done
    done
    # One exchange of views between all nodes.
    sleep 1.5
}
