// Command reviewtool plays the cases of the review: it starts the daemons as processes, and is the platform around
// them: the store, the application instances and the clients. It is written from the pages of the platform alone.
//
//	reviewtool CASE -program PROGRAM -record FILE [-trouble=false]
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// errCannotRun ends a case that couldn't run.
type errCannotRun struct{ error }

func check(err error) {
	if err != nil {
		panic(errCannotRun{err})
	}
}

// world is all that a case has started.
type world struct {
	log     *record
	program string
	logs    string
	dir     string
	store   *store
	nodes   []*node
	// firstPort is the first port of every machine. Machines have loopback addresses of their own.
	firstPort int
}

// node is a machine: a daemon and an instance.
type node struct {
	world    *world
	name     string
	ip       string
	zone     string
	service  string
	settings string
	front    *front
	instance *instance

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	stopped bool // no restart any more
}

// Offsets of the ports of a machine, from the first port of the run.
const (
	portReady = iota
	portControl
	portOutbound
	portInstance
	portStore
	portPeers
	portLast = portPeers + 15
)

func (n *node) address(port int) string {
	return net.JoinHostPort(n.ip, strconv.Itoa(n.world.firstPort+port))
}

func (n *node) outbound() string { return n.address(portOutbound) }
func (n *node) control() string  { return n.address(portControl) }
func (n *node) ready() string    { return n.address(portReady) }

// freePorts returns the first of as many free ports as a machine needs.
func freePorts(ip string) int {
	for first := 8140 + os.Getpid()%500*20; first < 30000; first += portLast + 1 {
		free := true
		for port := first; free && port <= first+portLast; port++ {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return first
		}
	}
	check(fmt.Errorf("no free ports"))
	return 0
}

// addMachine prepares a machine. The settings are those of deploy/daemon.ini for a site of nine machines.
func (w *world) addMachine(number int, zone, service string, sharded bool) *node {
	pid := os.Getpid()
	n := &node{world: w, name: fmt.Sprintf("sidecar-%s-%d", zone, number), zone: zone, service: service}
	n.ip = fmt.Sprintf("127.%d.%d.%d", 20+pid%200, 1+pid/200%250, 10+number)
	if w.firstPort == 0 {
		w.firstPort = freePorts(n.ip)
	}
	n.front = w.store.serve(n.name, n.address(portStore))
	n.instance = &instance{log: w.log, id: fmt.Sprintf("i-%d-%s", number, service), service: service, zone: zone, address: n.address(portInstance), slots: 9, sharded: sharded, work: 20 * time.Millisecond}
	n.settings = filepath.Join(w.dir, n.name+".ini")
	w.nodes = append(w.nodes, n)
	return n
}

func (n *node) writeSettings(first bool) {
	w, bootstrap := n.world, ""
	if first {
		bootstrap = "first = yes\n"
	}
	text := fmt.Sprintf(`[daemon]
name = %s
zone = %s
link = 1000.0
memory = 284
%sservice = %s
host = %s
server = %s

[listen]
callers = %s
ready = %s
beats = %s
ports = %d,%d

[store]
address = %s

[times]
hold = 10s
drain = 2s
grace = 6s
config = 2s

[warmup]

[retries]
ratio = 0.2
extra = 58
window = 10s

[overload]
link = yes
reserve = no
room = yes
slow = no
linger = yes
retries = no
`, n.name, n.zone, bootstrap, n.service, n.ip, n.instance.address, n.outbound(), n.ready(), n.control(), w.firstPort+portPeers, w.firstPort+portLast, n.front.address)
	check(os.WriteFile(n.settings, []byte(text), 0o600))
}

func (n *node) start() {
	cmd := exec.Command(n.world.program, "platform")
	cmd.Env = append(os.Environ(), "MAGNOLIATURN_SETTINGS="+n.settings)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if n.world.logs != "" {
		log, err := os.OpenFile(filepath.Join(n.world.logs, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		check(err)
		defer log.Close()
		cmd.Stdout, cmd.Stderr = log, log
	}
	check(cmd.Start())
	ended := make(chan struct{})
	n.mu.Lock()
	n.process, n.ended = cmd, ended
	n.mu.Unlock()
	n.world.log.line("platform: the daemon of %s starts, process %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.world.log.line("platform: the daemon of %s has ended: %v", n.name, err)
		close(ended)
	}()
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.Process.Pid
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(s)
}

// kill ends the daemon's process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

// peakMemory returns the most resident memory that the daemon's process has had, in kB.
func (n *node) peakMemory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			return kb
		}
	}
	return 0
}

func (w *world) stopAll() {
	for _, n := range w.nodes {
		n.mu.Lock()
		p := n.process
		n.mu.Unlock()
		if p != nil {
			n.kill()
		}
	}
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     float64
	attempts                    int
}

type cluster struct {
	name    string
	sharded bool
}

const host = "ficu95.example"

func (w *world) configure(version int, routes []route, clusters []cluster) {
	var rules, services []any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.name, "route_kind": r.kind, "target_latency_s": 0.4, "priority": 1, "match": map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_s": r.timeout, "attempts": r.attempts},
		})
	}
	for _, c := range clusters {
		s := map[string]any{"name": c.name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
		if c.sharded {
			s["sharded"], s["warm_s"], s["grants"] = true, 2.0, "call"
		}
		services = append(services, s)
	}
	body, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"hostname": host, "rule_set": rules}}, "clusters": services,
	})
	check(err)
	w.store.write("op/config", body)
	w.log.line("operator: version %08x is acknowledged", version)
}

// startAll starts all machines and waits until all daemons say that they are ready.
func (w *world) startAll() {
	for _, n := range w.nodes {
		n.writeSettings(true)
		n.instance.serve()
		n.start()
		go n.instance.beat(n.control())
	}
	for _, n := range w.nodes {
		n.awaitReady(15 * time.Second)
		n.writeSettings(false)
	}
}

func (n *node) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			n.world.log.line("platform: %s is ready", n.name)
			return
		}
	}
	check(fmt.Errorf("%s isn't ready", n.name))
}

// cases are the cases by name. Each file of a case adds its own.
var cases = map[string]func(w *world, trouble bool) (broken bool){}

func main() {
	flags := flag.NewFlagSet("reviewtool", flag.ExitOnError)
	program := flags.String("program", "target/magnoliaturn", "the daemon's program")
	recordFile := flags.String("record", "record.txt", "the record")
	trouble := flags.Bool("trouble", true, "with the disruption")
	logs := flags.String("logs", "", "directory for the daemons' logs")
	if len(os.Args) < 2 {
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok || flags.Parse(os.Args[2:]) != nil {
		os.Exit(2)
	}
	os.Exit(run(play, *program, *recordFile, *logs, *trouble))
}

func run(play func(*world, bool) bool, program, recordFile, logs string, trouble bool) (status int) {
	file, err := os.Create(recordFile)
	if err != nil {
		return 2
	}
	defer file.Close()
	log := &record{file: file, start: time.Now()}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2
	}
	defer os.RemoveAll(dir)
	w := &world{log: log, program: program, dir: dir, logs: logs, store: newStore(log)}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.stopAll()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	defer w.stopAll()
	defer func() {
		switch failure := recover().(type) {
		case nil:
		case errCannotRun:
			log.line("the case couldn't run: %v", failure.error)
			fmt.Println("the case couldn't run:", failure.error)
			status = 2
		default:
			panic(failure)
		}
	}()
	log.line("trouble: %v", trouble)
	broken := play(w, trouble)
	verdict := "the rule held"
	if broken {
		verdict, status = "the rule was broken", 1
	}
	log.line("%s", verdict)
	fmt.Println(verdict)
	return status
}
