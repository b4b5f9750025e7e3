# Functions that run a fleet as plain processes on 127.0.0.1, for drill and
# relaycost. Every process that they start is ended by its id on exit.

out=${OUT:-out/$name}
base=${BASE:-20000}
store=http://127.0.0.1:$base
zones=(old-town centrs kipsala airport)
declare -A pids=()

# build makes the two programs in a fresh directory for output.
build() {
	rm -rf "$out"
	mkdir -p "$out"
	go build -o "$out/magnoliaturn" ./cmd/magnoliaturn
	go build -o "$out/standin" ./cmd/standin
}

# start NAME COMMAND... runs a process in the background with a log of its own.
start() {
	local as=$1
	shift
	"$@" >"$out/$as.log" 2>&1 &
	pids[$as]=$!
}

# end NAME SIGNAL sends a signal to a process that start began.
end() { kill -s "$2" "${pids[$1]}"; }

# finish ends everything that still runs.
finish() {
	local status=$? as
	for as in "${!pids[@]}"; do
		kill -s CONT "${pids[$as]}" 2>/dev/null || true
		kill -s KILL "${pids[$as]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

# port N WHAT prints a port of daemon N.
port() {
	local -A offset=([caller]=0 [relay]=1 [renew]=1 [local]=2 [admin]=3 [server]=4 [debug]=5)
	echo $((base + 10 * $1 + offset[$2]))
}

# daemon N runs daemon N, in the zone that comes in turn.
daemon() {
	local n=$1 seeds="127.0.0.1:$(port 1 relay), 127.0.0.1:$(port 2 relay), 127.0.0.1:$(port 3 relay)"
	cat >"$out/d$n.ini" <<-INI
		[daemon]
		name   = d$n
		zone   = ${zones[$(((n - 1) % ${#zones[@]}))]}
		region = riga
		log    = ${LOG:-info}
		[listen]
		caller = 127.0.0.1:$(port "$n" caller)
		relay  = 127.0.0.1:$(port "$n" relay)
		renew  = 127.0.0.1:$(port "$n" renew)
		local  = 127.0.0.1:$(port "$n" local)
		admin  = 127.0.0.1:$(port "$n" admin)
		[store]
		url = $store
		[peers]
		seeds = $seeds
	INI
	start "d$n" "$out/magnoliaturn" serve -settings "$out/d$n.ini"
}

# server N SERVICE FLAGS... runs the backend server beside daemon N.
server() {
	local n=$1 service=$2
	shift 2
	start "s$n" "$out/standin" server -name "s$n" -listen "127.0.0.1:$(port "$n" server)" \
		-daemon "http://127.0.0.1:$(port "$n" local)" -service "ratins/$service" \
		-journal "$out/journal-$n.jsonl" -seed "$n" "$@"
}

# targets N... prints the addresses for callers of these daemons.
targets() {
	local n list=
	for n in "$@"; do list+=",http://127.0.0.1:$(port "$n" caller)"; done
	echo "${list:1}"
}

# mark NAME begins a phase.
mark() {
	echo "{\"name\":\"$1\",\"at\":\"$(date -u +%Y-%m-%dT%H:%M:%S.%NZ)\"}" >>"$out/marks.jsonl"
	echo "$(date -u +%H:%M:%S) $1"
}

# faults FORM replaces the faults of the store.
faults() { curl -sS -d "$1" "$store/admin/faults" >/dev/null; }

# settle waits until no request of a short load is refused.
settle() {
	local try
	for try in $(seq 1 30); do
		"$@" -records "$out/calls-settle-$try-$RANDOM.jsonl" >"$out/settle.txt"
		if ! awk 'NR > 2 && $2 == "not-run"' "$out/settle.txt" | grep -q .; then return; fi
	done
	echo "the fleet does not answer:" >&2
	cat "$out/settle.txt" >&2
	return 1
}
