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
//	detector, cleanUp := mtpoison.New(config)
//	detector.Register(grpcServer)
//	verdict := detector.Classify(request)           // ingress and owner
//	observed, err := detector.Observe(ctx, request) // owner, before the request runs
//	end := detector.TrackRun(request, address)      // owner, when it runs
//	defer func() { observed(err); end(err) }()
//	relayed := detector.TrackRelay(request, holder) // ingress, before the request is relayed
//	defer func() { relayed.End(err, answered) }()
//
// A Detector is safe for concurrent use.
package mtpoison

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
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

// Config holds the dependencies of a Detector.
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

// Detector detects requests that crash backend servers. See the package comment.
type Detector struct {
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

// New starts to check for lost daemons and to gossip, and returns the Detector with a
// function that stops this.
func New(config Config) (*Detector, func()) {
	d := &Detector{
		Config:   config,
		table:    mtpoison.New(mtpoison.Narrow{}, mtid.Holder{}, mtpoison.Limits{}),
		refusals: make(refusals),
		losses:   newLosses(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { d.run(ctx) })
	return d, func() {
		cancel()
		d.observer.close()
		loop.Wait()
	}
}

// run checks the roster and gossips until ctx is done.
func (d *Detector) run(ctx context.Context) {
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
			if now := d.View.Snapshot(); now != last {
				d.checkRoster(now.Roster())
				last = now
			}
		case <-gossip.C:
			d.gossip()
		}
	}
}

// checkRoster records the incarnations of daemons that have ended since the last call.
func (d *Detector) checkRoster(roster []*mtroster.Record) {
	for _, holder := range d.losses.detect(d.Clock.Now(), roster) {
		d.holderLost(holder)
	}
}

// holderLost records the loss of a daemon's incarnation. If this confirms a
// quarantine, it is sent to all peers.
func (d *Detector) holderLost(holder mtid.Holder) {
	d.mu.Lock()
	before := d.table.Counts().Quarantined
	d.table.HolderLost(d.Clock.Now(), holder)
	quarantined := d.table.Counts().Quarantined > before
	d.mu.Unlock()
	if quarantined {
		d.Count("quarantined")
		d.Log.Error("request quarantined: it ran alone when its owner was lost", "holder", holder.String())
		d.sendEvidence(d.peerAddresses(func(*mtroster.Record) bool { return true }))
	}
}

// Classify returns the verdict on a request. It is called at the ingress and again at
// the owner. If the key was recently taken over from a lost daemon, it first queries
// the peers, for at most queryTimeout.
func (d *Detector) Classify(r *mtrequest.Request) mtpoison.Verdict {
	if r.RecentTakeover {
		d.awaitEvidence()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, holder := range d.table.PendingHolders() {
		if !d.isLive(holder) {
			d.table.HolderLost(d.Clock.Now(), holder)
		}
	}
	verdict := d.table.Classify(d.Clock.Now(), mtpoison.Fingerprint(r.Fingerprint()), r.Suspect)
	if verdict == mtpoison.Quarantined {
		d.refusals.add(d.Clock.Now(), r.Service, mtpoison.Fingerprint(r.Fingerprint()))
	}
	return verdict
}

// isLive reports whether a holder is in the roster and may hold a lease.
func (d *Detector) isLive(holder mtid.Holder) bool {
	record, _, ok := d.View.Snapshot().Record(holder.Daemon)
	return ok && record.Holder == holder && record.MayHoldLease()
}

// TrackRun records that a request is sent to the backend server at that address, after
// Observe. The caller must call the returned function with the result before it answers the
// request.
func (d *Detector) TrackRun(r *mtrequest.Request, address string) func(error) {
	id := d.started(r)
	return func(err error) { d.ended(id, r.Service, address, err) }
}

// started records that the request is sent, and notifies the ingress if it is a
// suspect.
func (d *Detector) started(r *mtrequest.Request) mtpoison.FlightID {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.nextID()
	d.table.Started(d.Clock.Now(), id, mtpoison.Fingerprint(r.Fingerprint()), r.Suspect)
	if r.Suspect && r.OnBegun != nil {
		r.OnBegun()
	}
	return id
}

// nextID returns a new identifier of a request in flight. The caller must hold mu.
func (d *Detector) nextID() mtpoison.FlightID {
	d.next++
	return d.next
}

// ended records how a run ended. If its connection broke, the server may have crashed.
// It counts as crashed if it does not accept a new connection either.
func (d *Detector) ended(id mtpoison.FlightID, service mtid.Ref, address string, err error) {
	d.mu.Lock()
	crashPossible := d.table.Ended(d.Clock.Now(), id, classifyResult(err))
	d.mu.Unlock()
	if !crashPossible || acceptsConnection(address) {
		return
	}
	d.mu.Lock()
	if !d.table.Unattributed(id) {
		d.mu.Unlock()
		return
	}
	d.table.SetSelf(d.Self())
	before := d.table.Counts().Quarantined
	d.table.ServerLost(d.Clock.Now())
	quarantined := d.table.Counts().Quarantined > before
	d.mu.Unlock()
	d.Count("crashes")
	d.Log.Error("backend server crashed", "service", service.String(), "address", address)
	if quarantined {
		d.Count("quarantined")
		d.Log.Error("request quarantined: it ran alone when its server crashed", "service", service.String())
	}
	d.sendEvidence(d.serviceAddresses(service))
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

// GivenUpError reports a run that the server ended with an error of its own: it finished nothing, but has
// not crashed either.
type GivenUpError struct{ Status int } // of HTTP

// Error implements error.
func (e *GivenUpError) Error() string {
	return "the server gave the run up with status " + strconv.Itoa(e.Status)
}

// RunError returns how a run at the server ended, for Observe and TrackRun: an answer clears a
// request, but not one that only says that the server gave it up.
func RunError(reply *mtrequest.Reply, err error) error {
	if err == nil && !Finished(reply) {
		return &GivenUpError{Status: reply.Status}
	}
	return err
}

// Finished reports whether a reply is the answer of a server that finished the request.
func Finished(reply *mtrequest.Reply) bool {
	return reply.Outcome == mtreply.Answered && reply.Status < http.StatusInternalServerError
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
	var givenUp *GivenUpError
	if errors.As(err, &givenUp) {
		return mtpoison.GivenUp
	}
	var unknown *mtreply.UnknownError
	if errors.As(err, &unknown) && (unknown.Cause == mtreply.CauseLost || unknown.Cause == mtreply.CauseTruncated) {
		return mtpoison.Broken
	}
	return mtpoison.Abandoned
}

// RelayTracker tracks a request that was relayed to another daemon.
type RelayTracker struct {
	detector *Detector
	id       mtpoison.FlightID
	service  mtid.Ref
}

// TrackRelay records that a request is sent to the daemon of its owner.
func (d *Detector) TrackRelay(r *mtrequest.Request, to mtid.Holder) *RelayTracker {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.nextID()
	d.table.Relayed(d.Clock.Now(), id, to, mtpoison.Fingerprint(r.Fingerprint()))
	return &RelayTracker{detector: d, id: id, service: r.Service}
}

// StartedAlone records that the owner has started to run the request alone.
func (r *RelayTracker) StartedAlone() {
	r.detector.mu.Lock()
	defer r.detector.mu.Unlock()
	r.detector.table.StartedAlone(r.id)
}

// End records how the relay ended. err is nil if the owner's daemon replied, and
// answered is set if the reply is the backend server's answer. End must be called
// before the caller gets its answer. If the connection broke, End returns after
// evidence has been sent to the daemons of the service or sendTimeout has passed.
func (r *RelayTracker) End(err error, answered bool) {
	d := r.detector
	now := d.Clock.Now()
	d.mu.Lock()
	lost := false
	switch classifyResult(err) {
	case mtpoison.Answered:
		d.table.Returned(r.id, answered)
	case mtpoison.NotRun:
		d.table.Returned(r.id, false)
	case mtpoison.Broken:
		d.table.RelayLost(now, r.id)
		lost = true
	default:
		d.table.GivenUp(now, r.id)
	}
	d.mu.Unlock()
	if lost {
		d.Count("relays.lost")
		d.sendEvidence(d.serviceAddresses(r.service))
	}
}

// serviceAddresses returns the relay addresses of the live peers that offer a service.
func (d *Detector) serviceAddresses(service mtid.Ref) []string {
	return d.peerAddresses(func(record *mtroster.Record) bool {
		_, ok := record.Offer(service)
		return ok
	})
}

// peerAddresses returns the relay addresses of the other live daemons for which
// include is true.
func (d *Detector) peerAddresses(include func(*mtroster.Record) bool) []string {
	self := d.Self()
	var out []string
	for _, record := range d.View.Snapshot().Roster() {
		if record.MayHoldLease() && record.Holder != self && include(record) {
			out = append(out, record.RelayAddress)
		}
	}
	return out
}

// sendEvidence sends a digest of the evidence to daemons, and returns when all have
// received it or sendTimeout has passed.
func (d *Detector) sendEvidence(addresses []string) {
	d.mu.Lock()
	now := d.Clock.Now()
	evidence := mtpoison.Wire(now, d.table.Digest(now, digestLimit))
	d.mu.Unlock()
	if len(evidence.GetCrashes())+len(evidence.GetQuarantines()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for _, address := range addresses {
		sends.Go(func() { d.sendEvidenceTo(ctx, address, evidence) })
	}
	sends.Wait()
}

// sendEvidenceTo sends evidence to one daemon.
func (d *Detector) sendEvidenceTo(ctx context.Context, address string, evidence *mtwire.Evidence) {
	conn, err := d.Conns.Conn(address)
	if err == nil {
		_, err = mtwire.NewSuspicionClient(conn).Tell(ctx, evidence)
	}
	if err != nil {
		// Gossip repeats it; a daemon that was lost does not need it.
		d.Count("tell.failed")
		d.Log.Debug("cannot send evidence", "address", address, "error", err)
	}
}

// gossip removes expired evidence and sends the rest to a random peer.
func (d *Detector) gossip() {
	d.mu.Lock()
	d.table.Expire(d.Clock.Now())
	d.mu.Unlock()
	peers := d.peerAddresses(func(*mtroster.Record) bool { return true })
	if len(peers) > 0 {
		d.sendEvidence([]string{peers[rand.IntN(len(peers))]})
	}
}

// server implements mtwire.SuspicionServer.
type server struct {
	mtwire.UnimplementedSuspicionServer
	d *Detector
}

// Register registers the handlers of evidence and queries from other daemons with a
// gRPC server.
func (d *Detector) Register(r grpc.ServiceRegistrar) {
	mtwire.RegisterSuspicionServer(r, server{d: d})
}

// Tell implements mtwire.SuspicionServer. It merges evidence that another daemon
// sends.
func (s server) Tell(_ context.Context, evidence *mtwire.Evidence) (*mtwire.Told, error) {
	if err := s.d.merge(evidence); err != nil {
		return nil, err
	}
	return &mtwire.Told{}, nil
}

// Counts returns the numbers of entries in the evidence table, for metrics.
func (d *Detector) Counts() mtpoison.Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Counts()
}
