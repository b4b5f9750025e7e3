// Package mtpoison keeps requests that crash backend servers from crashing more
// of them. It feeds the table of core/mtpoison with what happens at this daemon,
// both as the ingress and as the owner, and exchanges evidence with the others.
//
// New evidence reaches the daemons of its service before the caller is answered
// that lost its request. So a caller that sends it again, through whichever
// daemon, meets one that has been told. What doesn't arrive then comes later:
// every daemon sends what it knows to a random other one now and then.
//
// # Usage
//
//	watch, cleanUp := mtpoison.New(config)
//	watch.Register(grpcServer)
//	verdict := watch.Judge(request)          // ingress and owner
//	end := watch.Start(request, address)     // owner, around the run
//	defer func() { end(err) }()
//	relayed := watch.Relay(request, holder)  // ingress, around the relay
//	defer func() { relayed.End(err, answered) }()
//
// A Watch is safe for concurrent use.
package mtpoison

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtview"
	"magnoliaturn/core/mtwire"
)

type clock interface{ Now() mtclock.Instant }

// conns returns the pooled connection to a daemon.
type conns interface {
	Conn(address string) (*grpc.ClientConn, error)
}

// Config is what a Watch works with.
type Config struct {
	Self  func() mtid.Holder
	View  *mtview.View
	Conns conns
	Clock clock
	Log   *slog.Logger
	// Count adds one to a counter.
	Count func(name string)
}

const (
	// lookEvery is how often the roster is looked through for lost daemons.
	lookEvery = 100 * time.Millisecond
	// gossipEvery is how often evidence is sent to a random daemon.
	gossipEvery = 10 * time.Second
	// tellTimeout bounds how long a caller's answer waits for the evidence to
	// reach the daemons of the service.
	tellTimeout = 200 * time.Millisecond
	// dialTimeout is how long a server that may be lost has to take a
	// connection. It is on this VM.
	dialTimeout = 100 * time.Millisecond
	// digestPrints bounds a digest: 8 bytes each, within 2 KB.
	digestPrints = 200
)

// Watch is the duty. See the package comment.
type Watch struct {
	Config
	mu      sync.Mutex // guards table, next, refused
	table   *mtpoison.Table[mtpoison.Narrow]
	next    mtpoison.FlightID
	refused refusals
	lost    losses
	// attendant is the peer that attends requests which came straight here.
	attendant attendant
}

// New starts the duty that looks for lost daemons and gossips, and returns the
// Watch with its clean-up function.
func New(config Config) (*Watch, func()) {
	w := &Watch{
		Config:  config,
		table:   mtpoison.New(mtpoison.Narrow{}, mtid.Holder{}, mtpoison.Limits{}),
		refused: make(refusals),
		lost:    newLosses(),
	}
	stop, cancel := context.WithCancel(context.Background())
	var duty sync.WaitGroup
	duty.Go(func() { w.run(stop) })
	return w, func() {
		cancel()
		w.attendant.close()
		duty.Wait()
	}
}

// run looks and gossips until stop is done.
func (w *Watch) run(stop context.Context) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	gossip := time.NewTicker(gossipEvery)
	defer gossip.Stop()
	var last *mtview.Snapshot
	for {
		select {
		case <-stop.Done():
			return
		case <-look.C:
			if now := w.View.Snapshot(); now != last {
				w.look(now.Roster())
				last = now
			}
		case <-gossip.C:
			w.gossip()
		}
	}
}

// look finds the lives that have ended since the last look.
func (w *Watch) look(roster []*mtroster.Record) {
	for _, holder := range w.lost.look(w.Clock.Now(), roster) {
		w.holderLost(holder)
	}
}

func (w *Watch) holderLost(holder mtid.Holder) {
	w.mu.Lock()
	before := w.table.Counts().Quarantined
	w.table.HolderLost(w.Clock.Now(), holder)
	quarantined := w.table.Counts().Quarantined > before
	w.mu.Unlock()
	if quarantined {
		w.Count("quarantined")
		w.Log.Error("a request is quarantined: it ran alone when its owner was lost", "holder", holder.String())
		w.tell(w.peers(func(*mtroster.Record) bool { return true }))
	}
}

// Judge says what is known of a request. It is called at the ingress and at the
// owner.
func (w *Watch) Judge(r *mtrequest.Request) mtpoison.Verdict {
	if r.RecentTakeover {
		w.settle()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, holder := range w.table.PendingHolders() {
		if !w.live(holder) {
			w.table.HolderLost(w.Clock.Now(), holder)
		}
	}
	verdict := w.table.Judge(w.Clock.Now(), mtpoison.Fingerprint(r.Fingerprint()), r.Suspect)
	if verdict == mtpoison.Quarantined {
		w.refused.note(w.Clock.Now(), r.Service, mtpoison.Fingerprint(r.Fingerprint()))
	}
	return verdict
}

// live reports whether a holder may own anything.
func (w *Watch) live(holder mtid.Holder) bool {
	record, _, ok := w.View.Snapshot().Record(holder.Daemon)
	return ok && record.Holder == holder && record.MayHoldLease()
}

// Start says that a request is sent to the backend server at that address. The
// function that it returns is called with the request's end, before its caller
// is answered.
//
// A request that came straight to its owner has no other daemon that would know
// of it if the whole VM were lost. A peer attends it if it is a suspect or
// exposed.
func (w *Watch) Start(r *mtrequest.Request, address string) func(error) {
	ended := func(error) {}
	if r.Ingress == w.Self() && (r.RecentTakeover || r.Suspect) {
		ended = w.attend(r)
	}
	n := w.started(r)
	return func(err error) {
		ended(err)
		w.ended(n, r.Service, address, err)
	}
}

func (w *Watch) started(r *mtrequest.Request) mtpoison.FlightID {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.number()
	w.table.Started(n, mtpoison.Fingerprint(r.Fingerprint()), r.Suspect)
	if r.Suspect && r.OnBegun != nil {
		r.OnBegun()
	}
	return n
}

func (w *Watch) number() mtpoison.FlightID {
	w.next++
	return w.next
}

// ended takes in the end of a run. A connection that broke may mean that the
// server has crashed; a server that takes no connection has.
func (w *Watch) ended(n mtpoison.FlightID, service mtid.Ref, address string, err error) {
	w.mu.Lock()
	open := w.table.Ended(w.Clock.Now(), n, endOf(err))
	w.mu.Unlock()
	if !open || alive(address) {
		return
	}
	w.mu.Lock()
	if !w.table.Unattributed(n) {
		w.mu.Unlock()
		return
	}
	w.table.SetSelf(w.Self())
	before := w.table.Counts().Quarantined
	w.table.ServerLost(w.Clock.Now())
	quarantined := w.table.Counts().Quarantined > before
	w.mu.Unlock()
	w.Count("crashes")
	w.Log.Error("backend server crashed", "service", service.String(), "address", address)
	if quarantined {
		w.Count("quarantined")
		w.Log.Error("a request is quarantined: it ran alone when its server crashed", "service", service.String())
	}
	w.tell(w.serving(service))
}

// alive reports whether a backend server takes connections.
func alive(address string) bool {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// endOf returns what a run's error says of its server.
func endOf(err error) mtpoison.RunResult {
	if err == nil {
		return mtpoison.Answered
	}
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		return mtpoison.NotRun
	}
	var unknown *mtreply.UnknownError
	if errors.As(err, &unknown) && (unknown.Cause == mtreply.CauseLost || unknown.Cause == mtreply.CauseTruncated) {
		return mtpoison.Broken
	}
	return mtpoison.Abandoned
}

// Relayed is a request on its way through another daemon.
type Relayed struct {
	watch   *Watch
	number  mtpoison.FlightID
	service mtid.Ref
}

// Relay says that a request is sent to another daemon.
func (w *Watch) Relay(r *mtrequest.Request, to mtid.Holder) *Relayed {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.number()
	w.table.Relayed(n, to, mtpoison.Fingerprint(r.Fingerprint()))
	return &Relayed{watch: w, number: n, service: r.Service}
}

// Begun says that the owner's daemon has begun to run the request, alone.
func (r *Relayed) Begun() {
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	r.watch.table.StartedAlone(r.number)
}

// End says how the relay has ended. err is nil if the owner's daemon has
// replied; answered says that the reply is the backend server's. It is called
// before the caller is answered.
func (r *Relayed) End(err error, answered bool) {
	w := r.watch
	now := w.Clock.Now()
	w.mu.Lock()
	lost := false
	switch endOf(err) {
	case mtpoison.Answered:
		w.table.Returned(now, r.number, answered)
	case mtpoison.NotRun:
		w.table.Returned(now, r.number, false)
	case mtpoison.Broken:
		w.table.RelayLost(now, r.number)
		lost = true
	default:
		w.table.GivenUp(now, r.number)
	}
	w.mu.Unlock()
	if lost {
		w.Count("relays.lost")
		w.tell(w.serving(r.service))
	}
}

// serving returns the other daemons that offer a service.
func (w *Watch) serving(service mtid.Ref) []string {
	return w.peers(func(record *mtroster.Record) bool {
		_, ok := record.Offer(service)
		return ok
	})
}

// peers returns the addresses of the other live daemons that want is true for.
func (w *Watch) peers(want func(*mtroster.Record) bool) []string {
	self := w.Self()
	var out []string
	for _, record := range w.View.Snapshot().Roster() {
		if record.MayHoldLease() && record.Holder != self && want(record) {
			out = append(out, record.RelayAddress)
		}
	}
	return out
}

// tell sends what is known to daemons, and returns once they have taken it in
// or tellTimeout is over.
func (w *Watch) tell(addresses []string) {
	w.mu.Lock()
	now := w.Clock.Now()
	evidence := mtpoison.Wire(now, w.table.Digest(now, digestPrints))
	w.mu.Unlock()
	if len(evidence.GetCrashes())+len(evidence.GetQuarantines()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for _, address := range addresses {
		sends.Go(func() { w.send(ctx, address, evidence) })
	}
	sends.Wait()
}

func (w *Watch) send(ctx context.Context, address string, evidence *mtwire.Evidence) {
	conn, err := w.Conns.Conn(address)
	if err == nil {
		_, err = mtwire.NewSuspicionClient(conn).Tell(ctx, evidence)
	}
	if err != nil {
		// It will be gossiped; a daemon that is lost needn't know.
		w.Count("tell.failed")
		w.Log.Debug("evidence did not arrive", "address", address, "error", err)
	}
}

// gossip forgets what has aged and sends the rest to a random daemon.
func (w *Watch) gossip() {
	w.mu.Lock()
	w.table.Expire(w.Clock.Now())
	w.mu.Unlock()
	peers := w.peers(func(*mtroster.Record) bool { return true })
	if len(peers) > 0 {
		w.tell([]string{peers[rand.IntN(len(peers))]})
	}
}

type server struct {
	mtwire.UnimplementedSuspicionServer
	w *Watch
}

// Register adds the daemons' side to a gRPC server.
func (w *Watch) Register(r grpc.ServiceRegistrar) {
	mtwire.RegisterSuspicionServer(r, server{w: w})
}

// Tell implements mtwire.SuspicionServer.
func (s server) Tell(_ context.Context, evidence *mtwire.Evidence) (*mtwire.Told, error) {
	if err := s.w.merge(evidence); err != nil {
		return nil, err
	}
	return &mtwire.Told{}, nil
}

// Counts returns the sizes of what is known, for metrics.
func (w *Watch) Counts() mtpoison.Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Counts()
}
