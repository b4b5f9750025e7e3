# Functions that run a fleet as plain processes on 127.0.0.1, sourced by the other
# scripts of this folder. On exit, every process that they started is killed by its
# process ID.

out=${OUT:-out/$name}
base=${BASE:-20000}
store=http://127.0.0.1:$base
zones=(old-town centrs kipsala airport)
declare -A pids=()

# build empties the output directory and builds the two programs there.
build() {
	rm -rf "$out"
	mkdir -p "$out"
	go build -o "$out/magnoliaturn" ./cmd/magnoliaturn
	go build -o "$out/standin" ./cmd/standin
}

# start NAME COMMAND... runs a process in the background and logs to NAME.log.
start() {
	local as=$1
	shift
	"$@" >"$out/$as.log" 2>&1 &
	pids[$as]=$!
}

# end NAME SIGNAL sends a signal to a process that start launched.
end() { kill -s "$2" "${pids[$1]}"; }

# finish kills all processes that are still running, frozen ones included.
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

# port N WHAT prints the port of daemon N for one kind of listener. Relay (TCP) and
# renew (UDP) share a number.
port() {
	local -A offset=([caller]=0 [relay]=1 [renew]=1 [local]=2 [admin]=3 [server]=4 [debug]=5)
	echo $((base + 10 * $1 + offset[$2]))
}

# daemon N runs daemon N; zones are assigned round robin.
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

# server N SERVICE FLAGS... runs the backend server of daemon N.
server() {
	local n=$1 service=$2
	shift 2
	start "s$n" "$out/standin" server -name "s$n" -listen "127.0.0.1:$(port "$n" server)" \
		-daemon "http://127.0.0.1:$(port "$n" local)" -service "ratins/$service" \
		-journal "$out/journal-$n.jsonl" -seed "$n" "$@"
}

# targets N... prints the caller addresses of these daemons, separated by commas.
targets() {
	local n list=
	for n in "$@"; do list+=",http://127.0.0.1:$(port "$n" caller)"; done
	echo "${list:1}"
}

# mark NAME records the start of a phase in marks.jsonl and prints it.
mark() {
	echo "{\"name\":\"$1\",\"at\":\"$(date -u +%Y-%m-%dT%H:%M:%S.%NZ)\"}" >>"$out/marks.jsonl"
	echo "$(date -u +%H:%M:%S) $1"
}

# faults FORM replaces the faults that the store stand-in injects.
faults() { curl -sS -d "$1" "$store/admin/faults" >/dev/null; }

# settle COMMAND... repeats a short load until none of its requests is refused, at
# most 30 times.
settle() {
	local try
	for try in $(seq 1 30); do
		"$@" -records "$out/calls-settle-$try-$RANDOM.jsonl" >"$out/settle.txt"
		if ! awk 'NR > 2 && $2 == "not-run"' "$out/settle.txt" | grep -q .; then return; fi
	done
	echo "the fleet still refuses requests after 30 tries:" >&2
	cat "$out/settle.txt" >&2
	return 1
}
