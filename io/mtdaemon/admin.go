package mtdaemon

import (
	"context"
	"crypto/tls"
	"sync"

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
	"magnoliaturn/io/mtpoison"
	"magnoliaturn/io/mtrelay"
	"magnoliaturn/io/mtrollout"
	"magnoliaturn/io/mtserver"
	"magnoliaturn/io/mttime"
)

// Names under which the services for operators are registered with the kernel.
const (
	NameAdmin        mtkernel.Name = "admin"
	NameServiceStats mtkernel.Name = "figures"
)

// addAdmin starts the HTTP server for operators. It runs before listen, because
// the gRPC server for other daemons forwards their admin requests to it.
func (d *Daemon) addAdmin() error {
	d.publishMetrics()
	operators, closeOperators, err := d.operators()
	if err != nil {
		return err
	}
	self := &self{daemon: d}
	self.ctx, self.cancel = context.WithCancel(context.Background())
	server := mtadmin.New(mtadmin.Config{
		View:         snapshotView{mtkernel.MustLookup[*mtview.View](d.kernel, NameView)},
		Self:         self,
		Rollout:      mtrollout.New(mtkernel.MustLookup[mtstore.Store](d.kernel, NameStore), d.Self, d.config.Settings.Roots),
		Operators:    operators,
		Peers:        dialer{mtkernel.MustLookup[*mtrelay.Client](d.kernel, NameRelay)},
		ServiceStats: mtkernel.MustLookup[*serviceStats](d.kernel, NameServiceStats).All,
		Metrics:      mtkernel.MustLookup[*mtmetric.Metrics](d.kernel, NameMetrics).Handler(),
		Now:          mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock).Wall,
		Logger:       d.config.Log,
	})
	options := mtadmin.Options(mtkernel.MustLookup[*credentialSet](d.kernel, NameKeys).admin())
	options.Log = d.config.Log
	listener := mtlisten.Start(mtkernel.MustLookup[*sockets](d.kernel, NameSockets).admin, server.Handler(), options)
	return mtkernel.Register(d.kernel, NameAdmin, server, func() {
		ctx, cancel := context.WithTimeout(context.Background(), mtlisten.DefaultGrace)
		defer cancel()
		listener.Shutdown(ctx)
		self.close()
		closeOperators()
	})
}

// operators returns the directory that authenticates and authorizes operators.
// Without a file, everyone on the loopback interface has all roles: the
// validation of the settings requires a file if other VMs can reach the listener.
func (d *Daemon) operators() (*mtoperator.Directory, func(), error) {
	if d.config.Settings.Operators == "" {
		return mtoperator.AllowAll(), func() {}, nil
	}
	return mtoperator.Open(d.config.Settings.Operators, func(err error) {
		d.config.Log.Error("reloading the operators file failed", "error", err)
	})
}

// admin returns the TLS configuration of the listener for operators, or nil for
// plain HTTP.
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
	return p.relay.Conn(record.RelayAddress)
}

// self implements mtadmin.Self, the part of the administration API that concerns
// this daemon.
type self struct {
	daemon    *Daemon
	ctx       context.Context // passed to the drain
	cancel    context.CancelFunc
	mu        sync.Mutex
	drainDone chan struct{} // closed when the drain has ended; nil until one starts
}

// Holder implements mtadmin.Self.
func (s *self) Holder() mtid.Holder { return s.daemon.Self() }

// Suspects implements mtadmin.Self.
func (s *self) Suspects() []mtadmin.Suspect {
	clock := mtkernel.MustLookup[*mttime.Clock](s.daemon.kernel, NameClock)
	now, wall := clock.Now(), clock.Wall()
	var out []mtadmin.Suspect
	for _, refused := range mtkernel.MustLookup[*mtpoison.Detector](s.daemon.kernel, NamePoison).Refusals() {
		out = append(out, mtadmin.Suspect{
			Service: refused.Service, Fingerprint: uint64(refused.Fingerprint), Refused: refused.Count,
			Until: wall.Add(refused.Until.Sub(now)),
		})
	}
	return out
}

// Loads implements mtadmin.Self.
func (s *self) Loads() []mtadmin.Load {
	owner := mtkernel.MustLookup[*mtowner.Owner](s.daemon.kernel, NameOwner)
	rates := mtkernel.MustLookup[*serviceStats](s.daemon.kernel, NameServiceStats)
	var loads []mtadmin.Load
	for _, a := range mtkernel.MustLookup[*mtserver.Pool](s.daemon.kernel, NameServers).Announcements() {
		ref := mtid.Ref{Business: a.Business, Service: a.Service}
		counts := owner.Counts(ref)
		loads = append(loads, mtadmin.Load{Service: ref, Slots: a.Slots, Running: counts.Running, Queued: counts.Waiting, Rate: rates.rate(ref)})
	}
	return loads
}

// Drain implements mtadmin.Self. It returns at once and hands the shards over in
// the background, since that takes up to leaveTimeout. Operators see from the
// assignment when the drain is complete.
func (s *self) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainDone != nil {
		return nil
	}
	done := make(chan struct{})
	s.drainDone = done
	go func() {
		defer close(done)
		s.daemon.Leave(s.ctx)
	}()
	return nil
}

// close cancels a running drain and waits until it has returned.
func (s *self) close() {
	s.cancel()
	s.mu.Lock()
	drainDone := s.drainDone
	s.mu.Unlock()
	if drainDone != nil {
		<-drainDone
	}
}
