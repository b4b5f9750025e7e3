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
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtzone"
)

// Mesh are the settings of a daemon that stands beside a backend server on a
// platform that keeps everything else in its store.
type Mesh struct {
	Name    mtid.Daemon
	Zone    mtid.Zone
	Link    mtbackend.Bandwidth
	Service mtid.Service // of the backend server
	Host    string       // address of the VM, without port
	Server  string       // address of the backend server
	Callers string       // where callers on this VM send requests
	Ready   string       // where the platform asks for readiness
	Beats   string       // where the backend server sends its beats
	Peers   string       // where other daemons send calls
	Metrics string       // where figures are read
	Store   string       // address of the platform's store
	Hold    time.Duration
	Drain   time.Duration
	Grace   time.Duration
	Config  time.Duration // within which a configuration has to be in force
	Close   time.Duration // within which a zone that is taken out of service gets no new work
	// Warmup is by how much the rate of a cold server may be exceeded.
	Warmup mtbackend.Allowance
}

// Bounds and defaults of the times. The platform names its own.
const (
	minTime      = 100 * time.Millisecond
	maxTime      = 10 * time.Minute
	defaultHold  = 8 * time.Second
	defaultDrain = 2 * time.Second
	defaultGrace = 6 * time.Second
	minConfig    = time.Second
)

// Bounds of the VM's own link, in Mbit/s. Only the order among VMs counts.
const (
	defaultLink = 1000
	maxLink     = 1_000_000
)

// LoadMesh reads and checks a settings file of a Mesh.
func LoadMesh(file string) (*Mesh, Faults) { return load(file, ParseMesh) }

// ParseMesh checks the text of a settings file of a Mesh.
func ParseMesh(file string, text []byte) (*Mesh, Faults) {
	f := mtini.Read(file, text)
	f.CheckKinds(map[string]int{"daemon": 0, "listen": 0, "store": 0, "times": 0, "warmup": 0})
	s := &Mesh{}
	daemon := f.RequiredSection("daemon")
	s.Name = mtid.Daemon(daemon.Name("name"))
	s.Zone = mtid.Zone(daemon.Name("zone"))
	s.Service = mtid.Service(daemon.Name("service"))
	s.Link = mtbackend.Bandwidth(daemon.Float("link", defaultLink, 0, maxLink))
	s.Host = host(daemon)
	s.Server = daemon.Address("server")
	listen := f.RequiredSection("listen")
	s.Callers = listen.Address("callers")
	s.Ready = listen.Address("ready")
	s.Beats = listen.Address("beats")
	s.ports(listen)
	s.Store = f.RequiredSection("store").Address("address")
	times := f.RequiredSection("times")
	s.Hold = times.Duration("hold", defaultHold, minTime, maxTime)
	s.Drain = times.Duration("drain", defaultDrain, minTime, maxTime)
	s.Grace = times.Duration("grace", defaultGrace, minTime, maxTime)
	s.Config = times.Duration("config", mtroute.DefaultPropagationLimit, minConfig, maxTime)
	s.Close = times.Duration("close", mtzone.DefaultCloseTime, minConfig, maxTime)
	if warmup, ok := f.OptionalSection("warmup"); ok {
		s.Warmup.Factor = warmup.Float("factor", 1, 1, maxFactor)
		s.Warmup.Extra = warmup.Float("extra", 0, 0, maxExtra)
	}
	if faults := f.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// Bounds of how far the rate of a cold server may be exceeded.
const (
	maxFactor = 100
	maxExtra  = 10_000
)

// host returns the address of the VM.
func host(s *mtini.Section) string {
	v := s.Text("host", "")
	if _, err := netip.ParseAddr(v); err != nil {
		s.AddFault("host", v, "the IP of this VM")
	}
	return v
}

// ports takes the first ports of the range for other daemons and for figures.
func (s *Mesh) ports(listen *mtini.Section) {
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
}
