// Package mtrenew is the duty that keeps a daemon's lease: it asks the
// witnesses for promises by datagram, answers the peers that have this daemon
// as their witness, and passes on how much of the live state each peer knows.
//
// Where two daemons are each other's witness, one datagram in each direction
// per period carries both renewals.
//
// # Usage
//
//	duty, cleanUp, err := mtrenew.New(mtrenew.Config{Self: "old-town-3", ...})
//	defer cleanUp()
//	duty.Register(holder, set)
//	duty.ServeOn(grpcServer)
//	if clock.Now().Before(duty.Until()) { ... may serve }
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

// Clock is the time that the duty needs: Now never runs slow and is for the
// holder, Steady never runs ahead and is for the witness.
type Clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
}

// View is what the duty needs of the live state.
type View interface {
	// Record returns the record of a daemon, for its address.
	Record(mtid.Daemon) (*mtroster.Record, mtid.Version, bool)
	// Frontier is the revision up to which the live state is known here.
	Frontier() mtid.Revision
}

// Config is what a duty is made of.
type Config struct {
	Self   mtid.Daemon
	Listen string // address for datagrams, host:port
	Secret []byte // shared by all daemons
	// Secrets returns the shared secrets, the newest first, and takes the place
	// of Secret; it may be nil. It is called for each datagram, by two
	// goroutines, so that a rotation needs no restart.
	Secrets func() [][]byte
	Clock   Clock
	View    View
	// Heard is called for each authentic datagram, from the duty's goroutine;
	// it must not block. It may be nil.
	Heard func(peer mtid.Daemon, frontier mtid.Revision)
	Log   *slog.Logger
}

// ListenError says that the address for datagrams can't be used.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "renew: can't listen on " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

const (
	ringSize   = 1024
	headersIP4 = 20 + 8
	headersIP6 = 40 + 8
	// idleWait is how long the duty sleeps while it has no witness to ask.
	idleWait = time.Second
	// early is how much of a period may be missing when an ask joins an answer
	// that goes out anyway.
	early = mtlease.Period * 2 / 5
)

const (
	// tellPause is the least time between two rounds of Tell: a change that is
	// followed by others must not double the traffic of the lease.
	tellPause = time.Second
	// peerAge is how long a silent peer is still told.
	peerAge = 5 * mtlease.Period
)

// inbound is an authentic datagram.
type inbound struct {
	message *mtwire.Renew
	source  netip.AddrPort
}

// Counters are the traffic of a duty. Bytes count IP and UDP headers.
type Counters struct {
	SentMessages, SentBytes         expvar.Int
	ReceivedMessages, ReceivedBytes expvar.Int
	Refused                         expvar.Int // datagrams that failed authentication or came twice
	Dropped                         expvar.Int // datagrams that found the ring full
	LateWakes                       expvar.Int
}

// Duty renews one daemon's lease and is a witness for others.
type Duty struct {
	config   Config
	conn     *net.UDPConn
	ring     *mtring.Ring[inbound]
	counters Counters
	permit   atomic.Pointer[permit]
	kick     chan struct{}

	mu       sync.Mutex
	keyring  *keyring
	lease    *mtlease.Lease
	witness  *mtwitness.Witness
	sequence uint64
	due      mtclock.Instant
	vouched  mtclock.Instant // until when this life is known to stand
	asked    map[mtid.Holder]mtclock.Instant
	owed     map[mtid.Daemon]owed
	windows  map[mtid.Daemon]*window
	peers    map[mtid.Holder]peer // who was heard of within peerAge
	told     mtclock.Instant      // when Tell last sent
}

// peer is what the last datagram of another daemon said.
type peer struct {
	address  netip.AddrPort
	frontier mtid.Revision
	at       mtclock.Instant
}

// owed is an answer that waits for the next datagram to its asker.
type owed struct {
	to     mtid.Holder
	answer mtlease.Answer
}

// New listens for datagrams and starts the duty. Until Register it only
// answers peers that it is another life than the one they ask. The clean-up
// ends it. New fails with a *ListenError.
func New(config Config) (*Duty, func(), error) {
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
	d := &Duty{
		config:  config,
		conn:    conn,
		ring:    mtring.New[inbound](ringSize),
		kick:    make(chan struct{}, 1),
		keyring: newKeyring(&config),
		witness: mtwitness.New(config.Self, config.Clock.Steady()),
		asked:   make(map[mtid.Holder]mtclock.Instant),
		owed:    make(map[mtid.Daemon]owed),
		windows: make(map[mtid.Daemon]*window),
		peers:   make(map[mtid.Holder]peer),
	}
	stop := make(chan struct{})
	var duties sync.WaitGroup
	duties.Go(func() { d.read() })
	duties.Go(func() { d.run(stop) })
	return d, func() {
		close(stop)
		_ = conn.Close()
		duties.Wait()
	}, nil
}

// Address returns where the duty listens.
func (d *Duty) Address() string { return d.conn.LocalAddr().String() }

// Counters returns the traffic so far.
func (d *Duty) Counters() *Counters { return &d.counters }

// Vars returns the counters as one expvar map, for publication.
func (d *Duty) Vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("sent_messages", &d.counters.SentMessages)
	vars.Set("sent_bytes", &d.counters.SentBytes)
	vars.Set("received_messages", &d.counters.ReceivedMessages)
	vars.Set("received_bytes", &d.counters.ReceivedBytes)
	vars.Set("refused", &d.counters.Refused)
	vars.Set("dropped", &d.counters.Dropped)
	vars.Set("late_wakes", &d.counters.LateWakes)
	return vars
}

// Until returns the instant of Clock.Now up to which this daemon may serve;
// zero if it may not. It is called for each request, and doesn't block.
func (d *Duty) Until() mtclock.Instant {
	_, until := d.Permit()
	return until
}

// Permit returns Until with the life that it is given to. The two are read
// together: a new life must not serve by a promise to the former one. It is
// called for each request, and doesn't block.
func (d *Duty) Permit() (mtid.Holder, mtclock.Instant) {
	p := d.permit.Load()
	if p == nil {
		return mtid.Holder{}, 0
	}
	return p.holder, p.until
}

// permit says which life may serve, and up to when.
type permit struct {
	holder mtid.Holder
	until  mtclock.Instant
}

// Register gives the duty its incarnation and the set in its record. It is
// called after each registration in the store.
func (d *Duty) Register(holder mtid.Holder, set mtlease.Set) {
	d.change(func() {
		d.lease = mtlease.New(holder)
		d.lease.Adopt(set)
		d.witness.Register(holder.Incarnation)
		d.vouched = 0
	})
}

// Vouch says that the store showed or took the record of this life in a call
// that was sent at since: the life stood then. A witness without a valid lease
// of its own promises only for a while after that.
func (d *Duty) Vouch(since mtclock.Instant) {
	d.change(func() { d.vouched = max(d.vouched, since.Add(mtlease.ConfirmationTTL)) })
}

// Vouched returns until when this life is known to stand.
func (d *Duty) Vouched() mtclock.Instant {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vouched
}

// Propose begins to ask the witnesses of a set that is not written yet. It
// returns false while the outcome of an attempt is unknown.
func (d *Duty) Propose(set mtlease.Set) (ok bool) {
	d.change(func() { ok = d.lease != nil && d.lease.Propose(set) })
	return ok
}

// Ready reports whether a majority of the proposed set has promised.
func (d *Duty) Ready() (ready bool) {
	d.change(func() { ready = d.lease != nil && d.lease.Ready(d.config.Clock.Now()) })
	return ready
}

// Attempt is called just before the proposed set is written to the store.
func (d *Duty) Attempt() (ok bool) {
	d.change(func() { ok = d.lease != nil && d.lease.Attempt() })
	return ok
}

// Settle is called when the outcome of the attempt is known: set is what the
// record names.
func (d *Duty) Settle(set mtlease.Set) {
	d.change(func() {
		if d.lease != nil {
			d.lease.Settle(set)
		}
	})
}

// Withdraw drops a proposal that was not attempted, or never took effect.
func (d *Duty) Withdraw() {
	d.change(func() {
		if d.lease != nil {
			d.lease.Withdraw()
		}
	})
}

// Close ends the lease of the present incarnation for good.
func (d *Duty) Close() {
	d.change(func() {
		if d.lease != nil {
			d.lease.Close()
			d.vouched = 0
		}
	})
}

// Wants says what is wrong with the current set, and which witnesses of the
// proposal gave no promise in time.
func (d *Duty) Wants() (want mtlease.Defects, doubtful []mtid.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lease == nil {
		return mtlease.Defects{}, nil
	}
	now := d.config.Clock.Now()
	return d.lease.Defects(now), d.lease.Unpromised(now)
}

// Lapsed reports whether this daemon, as a witness, would agree to a takeover
// of target now.
func (d *Duty) Lapsed(target mtid.Holder) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.config.Clock.Steady().Before(d.witness.Until(target))
}

// Revoke answers a taker, on this VM or another.
func (d *Duty) Revoke(request mtwitness.Request) mtwitness.Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.witness.Revoke(d.config.Clock.Steady(), request)
}

// ServeOn adds the service through which other daemons call Revoke.
func (d *Duty) ServeOn(server grpc.ServiceRegistrar) {
	mtwire.RegisterWitnessServer(server, &service{duty: d})
}

// service is the gRPC side of Revoke.
type service struct {
	mtwire.UnimplementedWitnessServer
	duty *Duty
}

// Revoke implements mtwire.WitnessServer.
func (s *service) Revoke(_ context.Context, r *mtwire.RevokeRequest) (*mtwire.RevokeReply, error) {
	reply := s.duty.Revoke(mtwitness.Request{
		Target:  mtroster.HolderFromWire(r.GetTarget()),
		Version: mtid.Version(r.GetVersion()),
		Witness: mtroster.HolderFromWire(r.GetWitness()),
	})
	return &mtwire.RevokeReply{Granted: reply.Granted, WaitNs: int64(reply.Wait)}, nil
}

// change runs f on the lease and lets the duty look at it anew.
func (d *Duty) change(f func()) {
	d.mu.Lock()
	f()
	d.publish()
	d.mu.Unlock()
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// publish makes the lease's end visible to Until.
func (d *Duty) publish() {
	if d.lease == nil {
		return
	}
	until := d.lease.Until()
	d.permit.Store(&permit{holder: d.lease.Holder(), until: until})
	if until > 0 {
		d.vouched = max(d.vouched, until.Add(mtlease.ConfirmationTTL))
	}
}
