// Package mtrenew renews a daemon's lease by datagrams: it requests promises from the
// daemon's witnesses, answers the peers that have this daemon as a witness, and
// exchanges with each peer the frontier up to which the live state is known.
//
// If two daemons are witnesses of each other, one datagram per period in each
// direction carries both renewals.
//
// # Usage
//
//	renewer, cleanUp, err := mtrenew.New(mtrenew.Config{Self: "old-town-3", ...})
//	defer cleanUp()
//	renewer.Register(holder, set)
//	renewer.ServeOn(grpcServer)
//	if clock.Now().Before(renewer.Until()) { ... may serve }
//
// All methods are safe for concurrent use.
package mtrenew

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtring"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/core/mtwitness"
)

// Clock provides the time. Now never runs slow, and is used as the holder of a
// lease; Steady never runs ahead, and is used as a witness.
type Clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
}

// View provides the live state.
type View interface {
	// Record returns the record of a daemon, which has its renewal address.
	Record(mtid.Daemon) (*mtroster.Record, mtid.Version, bool)
	// Frontier returns the revision up to which this daemon has the live state.
	Frontier() mtid.Revision
}

// Config holds the address, secrets and dependencies of a Renewer.
type Config struct {
	Self   mtid.Daemon
	Listen string // UDP address, host:port
	Secret []byte // shared by all daemons
	// Secrets returns the shared secrets, newest first, and overrides Secret; it
	// may be nil. It is called for each datagram, so that a rotation needs no
	// restart, and from two goroutines.
	Secrets func() [][]byte
	Clock   Clock
	View    View
	// OnFrontier is called with the frontier in each authenticated datagram. It must
	// not block, since it runs in the goroutine that renews the lease. It may be nil.
	OnFrontier func(peer mtid.Daemon, frontier mtid.Revision)
	Log        *slog.Logger
}

// ListenError reports that the UDP address is invalid or cannot be listened on.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "renew: failed to listen for datagrams on " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the error of resolving the address or opening the socket.
func (e *ListenError) Unwrap() error { return e.Err }

const (
	inboxSize      = 1024
	headerSizeIPv4 = 20 + 8
	headerSizeIPv6 = 40 + 8
	// idleInterval is the timer interval while there is no witness to send requests
	// to.
	idleInterval = time.Second
	// maxPiggybackLead is how long before it is due a request may be sent together
	// with an answer.
	maxPiggybackLead = mtlease.Period * 2 / 5
)

const (
	// notifyInterval is the minimum time between two rounds of NotifyPeers: a series
	// of changes must not double the traffic of lease renewal.
	notifyInterval = time.Second
	// peerExpiry is how long an unresponsive peer is still notified.
	peerExpiry = 5 * mtlease.Period
)

// datagram is an authenticated message and the address of its sender.
type datagram struct {
	message *mtwire.Renew
	source  netip.AddrPort
}

// Counters count datagrams and late timers. Bytes include IP and UDP headers.
type Counters struct {
	SentMessages, SentBytes         expvar.Int
	ReceivedMessages, ReceivedBytes expvar.Int
	Refused                         expvar.Int // datagrams that failed authentication or were replayed
	Dropped                         expvar.Int // datagrams that were received while the inbox was full
	LateTimers                      expvar.Int
}

// Renewer renews the lease of one daemon, and acts as a witness for others.
type Renewer struct {
	config   Config
	conn     *net.UDPConn
	inbox    *mtring.Ring[datagram]
	counters Counters
	permit   atomic.Pointer[permit]
	wakeup   chan struct{}

	mu             sync.Mutex
	keyring        *keyring
	lease          *mtlease.Lease
	witness        *mtwitness.Witness
	sequence       uint64
	due            mtclock.Instant
	confirmedUntil mtclock.Instant // until when this incarnation counts as confirmed
	lastRequest    map[mtid.Holder]mtclock.Instant
	pending        map[mtid.Daemon]pendingAnswer
	windows        map[mtid.Daemon]*window
	peers          map[mtid.Holder]peer // senders of datagrams within peerExpiry
	lastNotified   mtclock.Instant      // when NotifyPeers last sent a datagram
}

// peer holds the sender address, frontier and arrival of a peer's last datagram.
type peer struct {
	address    netip.AddrPort
	frontier   mtid.Revision
	receivedAt mtclock.Instant
}

// pendingAnswer is an answer to be sent with the next request to the same peer.
type pendingAnswer struct {
	to     mtid.Holder
	answer mtlease.Answer
}

// New listens for datagrams and starts to handle them. Until Register is called, it
// answers all requests with the refusal that this is not the requested incarnation.
// The clean-up closes the socket and stops the goroutines. New fails with a
// *ListenError.
func New(config Config) (*Renewer, func(), error) {
	address, err := net.ResolveUDPAddr("udp", config.Listen)
	if err != nil {
		return nil, nil, &ListenError{Address: config.Listen, Err: err}
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, nil, &ListenError{Address: config.Listen, Err: err}
	}
	if config.Log == nil {
		config.Log = slog.Default()
	}
	r := &Renewer{
		config:      config,
		conn:        conn,
		inbox:       mtring.New[datagram](inboxSize),
		wakeup:      make(chan struct{}, 1),
		keyring:     newKeyring(&config),
		witness:     mtwitness.New(config.Self, config.Clock.Steady()),
		lastRequest: make(map[mtid.Holder]mtclock.Instant),
		pending:     make(map[mtid.Daemon]pendingAnswer),
		windows:     make(map[mtid.Daemon]*window),
		peers:       make(map[mtid.Holder]peer),
	}
	stop := make(chan struct{})
	var workers sync.WaitGroup
	workers.Go(func() { r.read() })
	workers.Go(func() { r.run(stop) })
	return r, func() {
		close(stop)
		_ = conn.Close()
		workers.Wait()
	}, nil
}

// Address returns the local UDP address, with the port that was allocated if the
// configured one was 0.
func (r *Renewer) Address() string { return r.conn.LocalAddr().String() }

// Counters returns the live counters.
func (r *Renewer) Counters() *Counters { return &r.counters }

// Vars returns the counters as an expvar map, to be published as metrics.
func (r *Renewer) Vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("sent_messages", &r.counters.SentMessages)
	vars.Set("sent_bytes", &r.counters.SentBytes)
	vars.Set("received_messages", &r.counters.ReceivedMessages)
	vars.Set("received_bytes", &r.counters.ReceivedBytes)
	vars.Set("refused", &r.counters.Refused)
	vars.Set("dropped", &r.counters.Dropped)
	vars.Set("late_wakes", &r.counters.LateTimers)
	return vars
}

// Until returns the instant of Clock.Now until which this daemon may serve. It is
// zero if the daemon may not serve. Until is called for each request, and does not
// block.
func (r *Renewer) Until() mtclock.Instant {
	_, until := r.Permit()
	return until
}

// Permit returns Until and the incarnation that it applies to. Both are read
// atomically: a new incarnation must not serve under a promise made to the previous
// one. Permit is called for each request, and does not block.
func (r *Renewer) Permit() (mtid.Holder, mtclock.Instant) {
	p := r.permit.Load()
	if p == nil {
		return mtid.Holder{}, 0
	}
	return p.holder, p.until
}

// permit is the incarnation that may serve, and until when.
type permit struct {
	holder mtid.Holder
	until  mtclock.Instant
}

// Register starts a lease for a new incarnation, with the witnesses that its record
// lists. It is called after each registration in the store.
func (r *Renewer) Register(holder mtid.Holder, set mtlease.Set) {
	r.update(func() {
		r.lease = mtlease.New(holder)
		r.lease.Adopt(set)
		r.witness.Register(holder.Incarnation)
		r.confirmedUntil = 0
	})
}

// Confirm records that the store returned or accepted the record of this incarnation
// in a call that was sent at since, which confirms the incarnation at that time. A
// witness without a valid lease of its own makes promises only for
// mtlease.ConfirmationTTL after that.
func (r *Renewer) Confirm(since mtclock.Instant) {
	r.update(func() { r.confirmedUntil = max(r.confirmedUntil, since.Add(mtlease.ConfirmationTTL)) })
}

// ConfirmedUntil returns until when this incarnation counts as confirmed.
func (r *Renewer) ConfirmedUntil() mtclock.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedUntil
}

// Propose starts to send requests to the witnesses of a set that is not written yet.
// It returns false while the outcome of an attempt is unknown.
func (r *Renewer) Propose(set mtlease.Set) (ok bool) {
	r.update(func() { ok = r.lease != nil && r.lease.Propose(set) })
	return ok
}

// Ready reports whether a majority of the proposed set has promised.
func (r *Renewer) Ready() (ready bool) {
	r.update(func() { ready = r.lease != nil && r.lease.Ready(r.config.Clock.Now()) })
	return ready
}

// Attempt is called just before the proposed set is written to the store.
func (r *Renewer) Attempt() (ok bool) {
	r.update(func() { ok = r.lease != nil && r.lease.Attempt() })
	return ok
}

// Settle is called once the outcome of the attempt is known. set is the one that the
// record lists.
func (r *Renewer) Settle(set mtlease.Set) {
	r.update(func() {
		if r.lease != nil {
			r.lease.Settle(set)
		}
	})
}

// Withdraw drops a proposal whose write was not attempted or never takes effect.
func (r *Renewer) Withdraw() {
	r.update(func() {
		if r.lease != nil {
			r.lease.Withdraw()
		}
	})
}

// Close permanently ends the lease of the current incarnation.
func (r *Renewer) Close() {
	r.update(func() {
		if r.lease != nil {
			r.lease.Close()
			r.confirmedUntil = 0
		}
	})
}

// Defects returns the defects of the current set, and the witnesses of the proposed
// set without a valid promise.
func (r *Renewer) Defects() (defects mtlease.Defects, unpromised []mtid.Holder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == nil {
		return mtlease.Defects{}, nil
	}
	now := r.config.Clock.Now()
	return r.lease.Defects(now), r.lease.Unpromised(now)
}

// PromiseExpired reports whether this daemon, as a witness, has no unexpired promise
// to target and so would agree to its takeover now.
func (r *Renewer) PromiseExpired(target mtid.Holder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.config.Clock.Steady().Before(r.witness.Until(target))
}

// Revoke answers the revocation request of a claimant, which may be this daemon.
func (r *Renewer) Revoke(request mtwitness.Request) mtwitness.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.witness.Revoke(r.config.Clock.Steady(), request)
}

// ServeOn registers the gRPC service through which other daemons call Revoke.
func (r *Renewer) ServeOn(server grpc.ServiceRegistrar) {
	mtwire.RegisterWitnessServer(server, &service{renewer: r})
}

// service exposes Revoke over gRPC.
type service struct {
	mtwire.UnimplementedWitnessServer
	renewer *Renewer
}

// Revoke implements mtwire.WitnessServer.
func (s *service) Revoke(_ context.Context, r *mtwire.RevokeRequest) (*mtwire.RevokeReply, error) {
	reply := s.renewer.Revoke(mtwitness.Request{
		Target:  mtroster.HolderFromWire(r.GetTarget()),
		Version: mtid.Version(r.GetVersion()),
		Witness: mtroster.HolderFromWire(r.GetWitness()),
	})
	return &mtwire.RevokeReply{Granted: reply.Granted, WaitNs: int64(reply.Wait)}, nil
}

// update runs f under the lock, publishes the permit, and wakes up run to send the
// requests that are then due.
func (r *Renewer) update(f func()) {
	r.mu.Lock()
	f()
	r.publishPermit()
	r.mu.Unlock()
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// publishPermit makes the end of the lease visible to Permit. A valid lease also
// confirms the incarnation.
func (r *Renewer) publishPermit() {
	if r.lease == nil {
		return
	}
	until := r.lease.Until()
	r.permit.Store(&permit{holder: r.lease.Holder(), until: until})
	if until > 0 {
		r.confirmedUntil = max(r.confirmedUntil, until.Add(mtlease.ConfirmationTTL))
	}
}
