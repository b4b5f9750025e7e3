package mtsetting

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtini"
	"magnoliaturn/core/mtoverload"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtzone"
)

// Mesh holds the settings of a daemon that runs next to a backend server on a
// platform that keeps all other configuration in its store.
type Mesh struct {
	Name            mtid.Daemon
	Zone            mtid.Zone
	Link            mtbackend.Bandwidth // of the VM's network link
	Memory          Bytes               // that the process may use, zero if unknown
	Service         mtid.Service        // of the backend server
	Host            string              // IP address of the VM
	Server          string              // host:port of the backend server
	Callers         string              // listen address for requests of callers on this VM
	Ready           string              // listen address for the platform's readiness checks
	Heartbeats      string              // listen address for heartbeats of the backend server
	Peers           string              // listen address for calls of other daemons
	SparePeers      []string            // those to be used instead of Peers if that is in use
	Metrics         string              // listen address for metrics
	Store           string              // host:port of the platform's store
	GrantDuration   time.Duration       // upper bound of how long a key grant lasts
	Drain           time.Duration       // how long a draining server may get new requests
	Grace           time.Duration       // from the request to stop until the process is killed
	ConfigDeadline  time.Duration       // time within which a configuration must be in force
	ZoneOutDeadline time.Duration       // time until a zone taken out of service gets no new work
	// Bootstrap reports that the whole system starts for the first time, so that the store
	// cannot have lost anything yet.
	Bootstrap bool
	// Warmup bounds how far the rate of a cold server may be exceeded.
	Warmup mtbackend.Allowance
	// Overload holds the policies for overload that are switched on.
	Overload mtoverload.Policies
	// Retries are the limits on the repeats of a service, for all daemons together.
	Retries mtretry.Limits
}

// Bounds of the durations, and defaults for those that the platform does not set.
const (
	minTime              = 100 * time.Millisecond
	maxTime              = 10 * time.Minute
	defaultGrantDuration = 8 * time.Second
	defaultDrain         = 2 * time.Second
	defaultGrace         = 6 * time.Second
	minConfig            = time.Second
)

// Default and upper bound of the VM's link bandwidth, in Mbit/s. Only the policy for links
// needs the true value; without it, only the order among VMs matters.
const (
	defaultLink = 1000
	maxLink     = 1_000_000
)

// Bytes is an amount of memory.
type Bytes int64

// Megabyte is the unit in which settings give an amount of memory.
const Megabyte Bytes = 1 << 20

// maxMemory is the largest amount of memory that settings may give, in megabytes. More is
// taken for a value in another unit.
const maxMemory = 1 << 24

// LoadMesh reads and validates a settings file for a Mesh.
func LoadMesh(file string) (*Mesh, Faults) { return load(file, ParseMesh) }

// ParseMesh parses and validates the text of a settings file for a Mesh.
func ParseMesh(file string, text []byte) (*Mesh, Faults) {
	f := mtini.Read(file, text)
	f.CheckKinds(map[string]int{"daemon": 0, "listen": 0, "store": 0, "times": 0, "warmup": 0, "retries": 0, "overload": 0})
	s := &Mesh{}
	daemon := f.RequiredSection("daemon")
	s.Name = mtid.Daemon(daemon.Name("name"))
	s.Zone = mtid.Zone(daemon.Name("zone"))
	s.Service = mtid.Service(daemon.Name("service"))
	s.Link = mtbackend.Bandwidth(daemon.Float("link", defaultLink, 0, maxLink))
	s.Memory = Bytes(daemon.Float("memory", 0, 0, maxMemory) * float64(Megabyte))
	s.Bootstrap = daemon.Bool("first", false)
	s.Host = parseHost(daemon)
	s.Server = daemon.Address("server")
	listen := f.RequiredSection("listen")
	s.Callers = listen.Address("callers")
	s.Ready = listen.Address("ready")
	s.Heartbeats = listen.Address("beats")
	s.parsePorts(listen)
	s.Store = f.RequiredSection("store").Address("address")
	times := f.RequiredSection("times")
	s.GrantDuration = times.Duration("hold", defaultGrantDuration, minTime, maxTime)
	s.Drain = times.Duration("drain", defaultDrain, minTime, maxTime)
	s.Grace = times.Duration("grace", defaultGrace, minTime, maxTime)
	s.ConfigDeadline = times.Duration("config", mtroute.DefaultPropagationLimit, minConfig, maxTime)
	s.ZoneOutDeadline = times.Duration("close", mtzone.DefaultCloseTime, minConfig, maxTime)
	if warmup, ok := f.OptionalSection("warmup"); ok {
		s.Warmup.Factor = warmup.Float("factor", 1, 1, maxFactor)
		s.Warmup.Extra = warmup.Float("extra", 0, 0, maxExtra)
	}
	if retries, ok := f.OptionalSection("retries"); ok {
		s.Retries = parseRetries(retries)
	}
	if overload, ok := f.OptionalSection("overload"); ok {
		s.Overload = parseOverload(overload)
	}
	if faults := f.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// parseOverload returns the policies that the section switches on.
func parseOverload(s *mtini.Section) mtoverload.Policies {
	s.Bool("nested", false) // of a former release, whose settings files stay valid
	return mtoverload.Policies{
		Link:    s.Bool("link", false),
		Reserve: s.Bool("reserve", false),
		Room:    s.Bool("room", false),
		Slow:    s.Bool("slow", false),
		Linger:  s.Bool("linger", false),
		Retries: s.Bool("retries", false),
	}
}

// maxExtraRepeats is the upper bound of mtretry.Limits.Extra.
const maxExtraRepeats = 1_000_000

// parseRetries returns the limits that the section sets. Without a ratio or a window there are
// none.
func parseRetries(s *mtini.Section) mtretry.Limits {
	return mtretry.Limits{
		Ratio:  s.Float("ratio", 0, 0, 1),
		Extra:  s.Int("extra", 0, 0, maxExtraRepeats),
		Window: s.Duration("window", 0, minTime, maxTime),
	}
}

// Upper bounds of Mesh.Warmup.
const (
	maxFactor = 100
	maxExtra  = 10_000
)

// parseHost returns the IP address in the host field.
func parseHost(s *mtini.Section) string {
	v := s.Text("host", "")
	if _, err := netip.ParseAddr(v); err != nil {
		s.AddFault("host", v, "the IP of this VM")
	}
	return v
}

// maxSparePeers is the largest number of Mesh.SparePeers.
const maxSparePeers = 16

// parsePorts assigns the first port of the range to calls of other daemons, with those after the
// second to spare, and the second to metrics.
func (s *Mesh) parsePorts(listen *mtini.Section) {
	v := listen.Text("ports", "")
	low, high, ok := strings.Cut(v, ",")
	from, errLow := strconv.ParseUint(strings.TrimSpace(low), 10, 16)
	to, errHigh := strconv.ParseUint(strings.TrimSpace(high), 10, 16)
	if !ok || errLow != nil || errHigh != nil || to <= from {
		listen.AddFault("ports", v, "the first and the last of at least two ports, parted by a comma")
		return
	}
	s.Peers = net.JoinHostPort(s.Host, strconv.FormatUint(from, 10))
	s.Metrics = net.JoinHostPort(s.Host, strconv.FormatUint(from+1, 10))
	for port := from + 2; port <= min(to, from+1+maxSparePeers); port++ {
		s.SparePeers = append(s.SparePeers, net.JoinHostPort(s.Host, strconv.FormatUint(port, 10)))
	}
}
