// Package mtpoison prevents requests that crash backend servers from crashing more of
// them. It records the requests in flight at this daemon, both as the ingress and as
// the owner, in the table of core/mtpoison, and exchanges evidence with other daemons.
//
// New evidence is sent to the daemons of the service before the caller whose request
// was lost gets its answer. So if the caller sends the request again, through any
// daemon, that daemon already has the evidence. In case a message is lost, every
// daemon also gossips: it periodically sends its evidence to a random peer.
//
// # Usage
//
//	watch, cleanUp := mtpoison.New(config)
//	watch.Register(grpcServer)
//	verdict := watch.Judge(request)          // ingress and owner
//	end := watch.Start(request, address)     // owner, before the request runs
//	defer func() { end(err) }()
//	relayed := watch.Relay(request, holder)  // ingress, before the request is relayed
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

// conns returns the pooled connection to another daemon.
type conns interface {
	Conn(address string) (*grpc.ClientConn, error)
}

// Config holds the dependencies of a Watch.
type Config struct {
	// Self returns the current incarnation of this daemon.
	Self  func() mtid.Holder
	View  *mtview.View
	Conns conns
	Clock clock
	Log   *slog.Logger
	// Count increments the named counter.
	Count func(name string)
}

const (
	// rosterInterval is the interval at which the roster is checked for lost daemons.
	rosterInterval = 100 * time.Millisecond
	// gossipInterval is the interval at which evidence is sent to a random peer.
	gossipInterval = 10 * time.Second
	// sendTimeout bounds how long the answer to a caller is delayed until the evidence
	// has reached the daemons of the service.
	sendTimeout = 200 * time.Millisecond
	// dialTimeout is the timeout of the probe for a crashed server. It is short
	// because the server is on the same VM.
	dialTimeout = 100 * time.Millisecond
	// digestLimit is the maximum number of fingerprints in a digest. At 8 bytes each,
	// the digest stays below 2 KB.
	digestLimit = 200
)

// Watch detects requests that crash backend servers. See the package comment.
type Watch struct {
	Config
	mu       sync.Mutex // guards table, next, refusals
	table    *mtpoison.Table[mtpoison.Narrow]
	next     mtpoison.FlightID
	refusals refusals
	losses   losses
	// observer is the stream to the peer that records requests that arrived here
	// without an ingress on another daemon.
	observer observerStream
}

// New starts to check for lost daemons and to gossip, and returns the Watch with a
// function that stops this.
func New(config Config) (*Watch, func()) {
	w := &Watch{
		Config:   config,
		table:    mtpoison.New(mtpoison.Narrow{}, mtid.Holder{}, mtpoison.Limits{}),
		refusals: make(refusals),
		losses:   newLosses(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { w.run(ctx) })
	return w, func() {
		cancel()
		w.observer.close()
		loop.Wait()
	}
}

// run checks the roster and gossips until ctx is done.
func (w *Watch) run(ctx context.Context) {
	roster := time.NewTicker(rosterInterval)
	defer roster.Stop()
	gossip := time.NewTicker(gossipInterval)
	defer gossip.Stop()
	var last *mtview.Snapshot
	for {
		select {
		case <-ctx.Done():
			return
		case <-roster.C:
			if now := w.View.Snapshot(); now != last {
				w.checkRoster(now.Roster())
				last = now
			}
		case <-gossip.C:
			w.gossip()
		}
	}
}

// checkRoster records the incarnations of daemons that have ended since the last call.
func (w *Watch) checkRoster(roster []*mtroster.Record) {
	for _, holder := range w.losses.detect(w.Clock.Now(), roster) {
		w.holderLost(holder)
	}
}

// holderLost records the loss of a daemon's incarnation. If this confirms a
// quarantine, it is sent to all peers.
func (w *Watch) holderLost(holder mtid.Holder) {
	w.mu.Lock()
	before := w.table.Counts().Quarantined
	w.table.HolderLost(w.Clock.Now(), holder)
	quarantined := w.table.Counts().Quarantined > before
	w.mu.Unlock()
	if quarantined {
		w.Count("quarantined")
		w.Log.Error("request quarantined: it ran alone when its owner was lost", "holder", holder.String())
		w.sendEvidence(w.peerAddresses(func(*mtroster.Record) bool { return true }))
	}
}

// Judge returns the verdict on a request. It is called at the ingress and again at the
// owner. If the key was recently taken over from a lost daemon, it first queries the
// peers, for at most queryTimeout.
func (w *Watch) Judge(r *mtrequest.Request) mtpoison.Verdict {
	if r.RecentTakeover {
		w.awaitEvidence()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, holder := range w.table.PendingHolders() {
		if !w.isLive(holder) {
			w.table.HolderLost(w.Clock.Now(), holder)
		}
	}
	verdict := w.table.Judge(w.Clock.Now(), mtpoison.Fingerprint(r.Fingerprint()), r.Suspect)
	if verdict == mtpoison.Quarantined {
		w.refusals.add(w.Clock.Now(), r.Service, mtpoison.Fingerprint(r.Fingerprint()))
	}
	return verdict
}

// isLive reports whether a holder is in the roster and may hold a lease.
func (w *Watch) isLive(holder mtid.Holder) bool {
	record, _, ok := w.View.Snapshot().Record(holder.Daemon)
	return ok && record.Holder == holder && record.MayHoldLease()
}

// Start records that a request is sent to the backend server at that address. The
// caller must call the returned function with the result before it answers the
// request.
//
// If a request arrived at its owner directly, no other daemon would have evidence of
// it if the whole VM were lost. If it is a suspect or its key was recently taken
// over, it is therefore reported to an observer first.
func (w *Watch) Start(r *mtrequest.Request, address string) func(error) {
	ended := func(error) {}
	if r.Ingress == w.Self() && (r.RecentTakeover || r.Suspect) {
		ended = w.observe(r)
	}
	id := w.started(r)
	return func(err error) {
		ended(err)
		w.ended(id, r.Service, address, err)
	}
}

// started records that the request is sent, and notifies the ingress if it is a
// suspect.
func (w *Watch) started(r *mtrequest.Request) mtpoison.FlightID {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.nextID()
	w.table.Started(id, mtpoison.Fingerprint(r.Fingerprint()), r.Suspect)
	if r.Suspect && r.OnBegun != nil {
		r.OnBegun()
	}
	return id
}

// nextID returns a new identifier of a request in flight. The caller must hold mu.
func (w *Watch) nextID() mtpoison.FlightID {
	w.next++
	return w.next
}

// ended records how a run ended. If its connection broke, the server may have crashed.
// It counts as crashed if it does not accept a new connection either.
func (w *Watch) ended(id mtpoison.FlightID, service mtid.Ref, address string, err error) {
	w.mu.Lock()
	crashPossible := w.table.Ended(w.Clock.Now(), id, classifyResult(err))
	w.mu.Unlock()
	if !crashPossible || acceptsConnection(address) {
		return
	}
	w.mu.Lock()
	if !w.table.Unattributed(id) {
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
		w.Log.Error("request quarantined: it ran alone when its server crashed", "service", service.String())
	}
	w.sendEvidence(w.serviceAddresses(service))
}

// acceptsConnection reports whether a backend server accepts a connection.
func acceptsConnection(address string) bool {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// classifyResult classifies the error of a run or of a relay.
func classifyResult(err error) mtpoison.RunResult {
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

// Relayed tracks a request that was relayed to another daemon.
type Relayed struct {
	watch   *Watch
	id      mtpoison.FlightID
	service mtid.Ref
}

// Relay records that a request is sent to the daemon of its owner.
func (w *Watch) Relay(r *mtrequest.Request, to mtid.Holder) *Relayed {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.nextID()
	w.table.Relayed(id, to, mtpoison.Fingerprint(r.Fingerprint()))
	return &Relayed{watch: w, id: id, service: r.Service}
}

// Begun records that the owner has started to run the request alone.
func (r *Relayed) Begun() {
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	r.watch.table.StartedAlone(r.id)
}

// End records how the relay ended. err is nil if the owner's daemon replied, and
// answered is set if the reply is the backend server's answer. End must be called
// before the caller gets its answer. If the connection broke, End returns after
// evidence has been sent to the daemons of the service or sendTimeout has passed.
func (r *Relayed) End(err error, answered bool) {
	w := r.watch
	now := w.Clock.Now()
	w.mu.Lock()
	lost := false
	switch classifyResult(err) {
	case mtpoison.Answered:
		w.table.Returned(now, r.id, answered)
	case mtpoison.NotRun:
		w.table.Returned(now, r.id, false)
	case mtpoison.Broken:
		w.table.RelayLost(now, r.id)
		lost = true
	default:
		w.table.GivenUp(now, r.id)
	}
	w.mu.Unlock()
	if lost {
		w.Count("relays.lost")
		w.sendEvidence(w.serviceAddresses(r.service))
	}
}

// serviceAddresses returns the relay addresses of the live peers that offer a service.
func (w *Watch) serviceAddresses(service mtid.Ref) []string {
	return w.peerAddresses(func(record *mtroster.Record) bool {
		_, ok := record.Offer(service)
		return ok
	})
}

// peerAddresses returns the relay addresses of the other live daemons for which
// include is true.
func (w *Watch) peerAddresses(include func(*mtroster.Record) bool) []string {
	self := w.Self()
	var out []string
	for _, record := range w.View.Snapshot().Roster() {
		if record.MayHoldLease() && record.Holder != self && include(record) {
			out = append(out, record.RelayAddress)
		}
	}
	return out
}

// sendEvidence sends a digest of the evidence to daemons, and returns when all have
// received it or sendTimeout has passed.
func (w *Watch) sendEvidence(addresses []string) {
	w.mu.Lock()
	now := w.Clock.Now()
	evidence := mtpoison.Wire(now, w.table.Digest(now, digestLimit))
	w.mu.Unlock()
	if len(evidence.GetCrashes())+len(evidence.GetQuarantines()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for _, address := range addresses {
		sends.Go(func() { w.sendEvidenceTo(ctx, address, evidence) })
	}
	sends.Wait()
}

// sendEvidenceTo sends evidence to one daemon.
func (w *Watch) sendEvidenceTo(ctx context.Context, address string, evidence *mtwire.Evidence) {
	conn, err := w.Conns.Conn(address)
	if err == nil {
		_, err = mtwire.NewSuspicionClient(conn).Tell(ctx, evidence)
	}
	if err != nil {
		// Gossip repeats it; a daemon that was lost does not need it.
		w.Count("tell.failed")
		w.Log.Debug("cannot send evidence", "address", address, "error", err)
	}
}

// gossip removes expired evidence and sends the rest to a random peer.
func (w *Watch) gossip() {
	w.mu.Lock()
	w.table.Expire(w.Clock.Now())
	w.mu.Unlock()
	peers := w.peerAddresses(func(*mtroster.Record) bool { return true })
	if len(peers) > 0 {
		w.sendEvidence([]string{peers[rand.IntN(len(peers))]})
	}
}

// server implements mtwire.SuspicionServer.
type server struct {
	mtwire.UnimplementedSuspicionServer
	w *Watch
}

// Register registers the handlers of evidence and queries from other daemons with a
// gRPC server.
func (w *Watch) Register(r grpc.ServiceRegistrar) {
	mtwire.RegisterSuspicionServer(r, server{w: w})
}

// Tell implements mtwire.SuspicionServer. It merges evidence that another daemon
// sends.
func (s server) Tell(_ context.Context, evidence *mtwire.Evidence) (*mtwire.Told, error) {
	if err := s.w.merge(evidence); err != nil {
		return nil, err
	}
	return &mtwire.Told{}, nil
}

// Counts returns the numbers of entries in the evidence table, for metrics.
func (w *Watch) Counts() mtpoison.Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Counts()
}
