package mtdaemon

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"google.golang.org/grpc"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtadmin"
	"magnoliaturn/io/mtlisten"
	"magnoliaturn/io/mtmetric"
	"magnoliaturn/io/mtoperator"
	"magnoliaturn/io/mtowner"
	"magnoliaturn/io/mtrelay"
	"magnoliaturn/io/mtrollout"
	"magnoliaturn/io/mtserver"
	"magnoliaturn/io/mttime"
)

// Names of the services for operators.
const (
	NameAdmin   mtkernel.Name = "admin"
	NameFigures mtkernel.Name = "figures"
)

// figuresEvery is how often the figures of the services are brought up to date.
const figuresEvery = time.Second

// figures keeps a meter for each service that has an assignment.
type figures struct {
	mu     sync.Mutex
	meters map[mtid.Ref]*mtmetric.Meter
}

// All returns the present figures of every service.
func (f *figures) All() map[mtid.Ref]mtmetric.Figures {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[mtid.Ref]mtmetric.Figures, len(f.meters))
	for ref, meter := range f.meters {
		out[ref] = meter.Figures()
	}
	return out
}

func (f *figures) meter(ref mtid.Ref) *mtmetric.Meter {
	f.mu.Lock()
	defer f.mu.Unlock()
	meter, ok := f.meters[ref]
	if !ok {
		meter = mtmetric.NewMeter()
		f.meters[ref] = meter
	}
	return meter
}

// addFigures starts the duty that measures the services as this daemon sees
// them.
func (d *Daemon) addFigures() error {
	f := &figures{meters: make(map[mtid.Ref]*mtmetric.Meter)}
	need[*mtmetric.Metrics](d, NameMetrics).Gauge("figures", "services", func() any {
		out := make(map[string]mtmetric.Figures)
		for ref, figure := range f.All() {
			out[ref.String()] = figure
		}
		return out
	})
	ticker := time.NewTicker(figuresEvery)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				d.measure(f)
			}
		}
	}()
	return mtkernel.Register(d.kernel, NameFigures, f, func() {
		ticker.Stop()
		close(stop)
		<-done
	})
}

// measure looks at every service once.
func (d *Daemon) measure(f *figures) {
	snapshot := need[*mtview.View](d, NameView).Now()
	now := need[*mttime.Clock](d, NameClock).Now()
	live := func(h mtid.Holder) bool {
		record, _, ok := snapshot.Record(h.Daemon)
		return ok && record.Holder == h && record.Live()
	}
	// A daemon knows its own load only; the planner's book has the others'.
	unknown := func(mtid.Holder) (float64, bool) { return 0, false }
	for _, ref := range snapshot.Services() {
		f.meter(ref).Observe(now, snapshot.Tables(ref), live, unknown)
	}
}

// addAdmin opens the listener for operators. It comes before the listener for
// other daemons, which passes their questions on to it.
func (d *Daemon) addAdmin() error {
	operators, closeOperators, err := d.operators()
	if err != nil {
		return err
	}
	self := &self{daemon: d}
	self.ctx, self.cancel = context.WithCancel(context.Background())
	server := mtadmin.New(mtadmin.Config{
		View:      liveView{need[*mtview.View](d, NameView)},
		Self:      self,
		Rollout:   mtrollout.New(need[mtstore.Store](d, NameStore), d.Self, d.config.Settings.Roots),
		Operators: operators,
		Peers:     dialer{need[*mtrelay.Client](d, NameRelay)},
		Figures:   need[*figures](d, NameFigures).All,
		Metrics:   need[*mtmetric.Metrics](d, NameMetrics).Handler(),
		Now:       need[*mttime.Clock](d, NameClock).Wall,
		Logger:    d.config.Log,
	})
	options := mtadmin.Options(need[*credentialSet](d, NameKeys).admin())
	_, closeListener, err := mtlisten.Serve(d.config.Settings.Admin, server.Handler(), options)
	if err != nil {
		closeOperators()
		return err
	}
	return mtkernel.Register(d.kernel, NameAdmin, server, func() {
		closeListener()
		self.close()
		closeOperators()
	})
}

// operators returns who may do what. The settings were checked to name a file
// wherever the listener can be reached from another VM.
func (d *Daemon) operators() (*mtoperator.Directory, func(), error) {
	if d.config.Settings.Operators == "" {
		return mtoperator.Everyone(), func() {}, nil
	}
	return mtoperator.Open(d.config.Settings.Operators, func(err error) {
		d.config.Log.Error("operators can't be read again", "error", err)
	})
}

// admin returns what the listener for operators shows, nil for plain HTTP.
func (c *credentialSet) admin() *tls.Config {
	if c.tls == nil {
		return nil
	}
	return c.tls.Admin()
}

// dialer connects the administration API to other daemons.
type dialer struct{ relay *mtrelay.Client }

// Dial implements mtadmin.Dialer.
func (p dialer) Dial(record *mtroster.Record) (grpc.ClientConnInterface, error) {
	return p.relay.Conn(record.Relay)
}

// self is the daemon as its administration API asks it.
type self struct {
	daemon *Daemon
	ctx    context.Context // of the drain
	cancel context.CancelFunc
	mu     sync.Mutex
	drains chan struct{} // closed when the drain has ended; nil before it
}

// Holder implements mtadmin.Self.
func (s *self) Holder() mtid.Holder { return s.daemon.Self() }

// Suspects implements mtadmin.Self.
func (s *self) Suspects() []mtadmin.Suspect { return nil }

// Loads implements mtadmin.Self.
func (s *self) Loads() []mtadmin.Load {
	owner := need[*mtowner.Owner](s.daemon, NameOwner)
	var loads []mtadmin.Load
	for _, a := range need[*mtserver.Pool](s.daemon, NameServers).Announcements() {
		ref := mtid.Ref{Business: a.Business, Service: a.Service}
		counts := owner.Counts(ref)
		loads = append(loads, mtadmin.Load{Service: ref, Slots: a.Slots, Running: counts.Running, Queued: counts.Waiting})
	}
	return loads
}

// Drain implements mtadmin.Self. The handing over takes up to leaveTimeout, so
// it goes on after the answer; its end shows in the assignment.
func (s *self) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drains != nil {
		return nil
	}
	done := make(chan struct{})
	s.drains = done
	go func() {
		defer close(done)
		s.daemon.Leave(s.ctx)
	}()
	return nil
}

// close ends a drain that is under way, and waits for it.
func (s *self) close() {
	s.cancel()
	s.mu.Lock()
	drains := s.drains
	s.mu.Unlock()
	if drains != nil {
		<-drains
	}
}
