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
	"errors"
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
	d.change(func() { d.vouched = max(d.vouched, since.Add(mtlease.Vouch)) })
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
func (d *Duty) Wants() (want mtlease.Want, doubtful []mtid.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lease == nil {
		return mtlease.Want{}, nil
	}
	now := d.config.Clock.Now()
	return d.lease.Wants(now), d.lease.Doubtful(now)
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
		Target:  mtroster.ReadHolder(r.GetTarget()),
		Version: mtid.Version(r.GetVersion()),
		Witness: mtroster.ReadHolder(r.GetWitness()),
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
		d.vouched = max(d.vouched, until.Add(mtlease.Vouch))
	}
}

// read passes authentic datagrams to the duty until the socket is closed.
func (d *Duty) read() {
	keyring := newKeyring(&d.config)
	buffer := make([]byte, maxPacket)
	for {
		n, source, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.config.Log.Warn("renew: read failed", "err", err)
			continue
		}
		d.counters.ReceivedMessages.Add(1)
		d.counters.ReceivedBytes.Add(wireSize(n, source))
		message, err := keyring.open(d.config.Self, buffer[:n])
		if err != nil {
			d.counters.Refused.Add(1)
			continue
		}
		if !d.ring.Put(inbound{message: message, source: source}) {
			d.counters.Dropped.Add(1)
		}
	}
}

// run asks when an ask is due and handles what comes in, until stop.
func (d *Duty) run(stop <-chan struct{}) {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case in := <-d.ring.Items():
			d.handle(in)
		case <-timer.C:
		case <-d.kick:
		}
		timer.Reset(d.tick())
	}
}

// tick sends the asks that are due and returns how long to sleep.
func (d *Duty) tick() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.wake()
	if d.lease == nil {
		return idleWait
	}
	d.due = 0
	for _, w := range d.lease.Witnesses() {
		last, asked := d.asked[w]
		if !asked || now.Sub(last) >= mtlease.Period {
			d.ask(w)
			last = now
		}
		if next := last.Add(mtlease.Period); d.due == 0 || next.Before(d.due) {
			d.due = next
		}
	}
	d.publish()
	if d.due == 0 {
		return idleWait
	}
	return max(d.due.Sub(now), 0)
}

// wake returns the present instant, after the late-wake rule.
func (d *Duty) wake() mtclock.Instant {
	now := d.config.Clock.Now()
	if d.lease != nil && d.due != 0 && d.lease.Wake(now, d.due) {
		d.counters.LateWakes.Add(1)
		d.due = 0
		d.publish()
	}
	return now
}

// handle takes one authentic datagram.
func (d *Duty) handle(in inbound) {
	m := in.message
	from := mtid.Holder{Daemon: mtid.Daemon(m.GetFrom()), Incarnation: mtid.Incarnation(m.GetFromIncarnation())}
	if !d.admit(from, m.GetSequence()) {
		d.counters.Refused.Add(1)
		return
	}
	if d.config.Heard != nil {
		d.config.Heard(from.Daemon, mtid.Revision(m.GetFrontier()))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.wake()
	d.peers[from] = peer{address: in.source, frontier: mtid.Revision(m.GetFrontier()), at: now}
	d.answered(now, from, m)
	if m.GetAsk() != 0 {
		d.asks(from, m, in.source)
	}
	d.publish()
}

// admit applies the replay window.
func (d *Duty) admit(from mtid.Holder, sequence uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.windows[from.Daemon]
	if !ok {
		w = &window{}
		d.windows[from.Daemon] = w
	}
	return w.accept(from.Incarnation, sequence)
}

// answered takes the answer in a datagram, if there is one for this life: the
// next one counts its sequences from the start again, and would take a promise
// to its predecessor as its own.
func (d *Duty) answered(now mtclock.Instant, from mtid.Holder, m *mtwire.Renew) {
	if m.GetAnswer() == 0 || d.lease == nil {
		return
	}
	if mtid.Incarnation(m.GetToIncarnation()) != d.lease.Holder().Incarnation {
		return
	}
	answer := mtlease.Answer{
		Sequence: m.GetAnswer(),
		Refusal:  mtlease.Refusal(m.GetRefusal()),
		Floor:    mtid.Version(m.GetFloor()),
	}
	for _, w := range d.lease.Witnesses() {
		if w.Daemon == from.Daemon {
			d.lease.Answer(now, w, answer)
		}
	}
}

// asks answers a peer, together with this daemon's own ask where one is about
// due, or with the next one.
func (d *Duty) asks(from mtid.Holder, m *mtwire.Renew, source netip.AddrPort) {
	answer := d.witness.Renew(d.config.Clock.Steady(), from, mtlease.Ask{
		Sequence: m.GetSequence(),
		Witness:  mtid.Holder{Daemon: d.config.Self, Incarnation: mtid.Incarnation(m.GetToIncarnation())},
		Version:  mtid.Version(m.GetAsk()),
	}, d.config.Clock.Now().Before(d.vouched))
	due, mutual := d.nextAsk(from)
	switch {
	case !mutual || answer.Refusal != mtlease.Granted:
		d.send(from, d.message(from, nil, &answer), source)
	case due <= early:
		d.owed[from.Daemon] = owed{to: from, answer: answer}
		d.ask(from)
	default:
		d.owed[from.Daemon] = owed{to: from, answer: answer}
	}
}

// nextAsk returns how long it is until the next ask to w, if w is a witness.
func (d *Duty) nextAsk(w mtid.Holder) (time.Duration, bool) {
	if d.lease == nil {
		return 0, false
	}
	last, asked := d.asked[w]
	for _, o := range d.lease.Witnesses() {
		if o == w {
			return last.Add(mtlease.Period).Sub(d.config.Clock.Now()), asked
		}
	}
	return 0, false
}

// ask sends an ask to witness w, with the answer that is owed to it.
func (d *Duty) ask(w mtid.Holder) {
	record, _, ok := d.config.View.Record(w.Daemon)
	now := d.config.Clock.Now()
	d.asked[w] = now
	ask, asks := d.lease.Ask(now, w, d.sequence+1)
	if !ok || !asks {
		return
	}
	to, err := netip.ParseAddrPort(record.Renew)
	if err != nil {
		d.config.Log.Warn("renew: peer has no usable address", "peer", w.Daemon, "err", err)
		return
	}
	var answer *mtlease.Answer
	if o, found := d.owed[w.Daemon]; found && o.to == w {
		answer = &o.answer
		delete(d.owed, w.Daemon)
	}
	d.send(w, d.message(w, &ask, answer), to)
}

// Tell sends the frontier at once to the peers that are not known to be as far,
// instead of with the next renewal. It is called when something changed that
// callers wait for, such as the owners after a loss: on its way through the
// fleet such news would otherwise wait half a period at each daemon. A call
// within tellPause of the last round does nothing; the renewals carry it. It
// returns how many peers were told.
func (d *Duty) Tell() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	if d.lease == nil || (d.told != 0 && now.Sub(d.told) < tellPause) {
		return 0
	}
	count := 0
	frontier := d.config.View.Frontier()
	for to, p := range d.peers {
		switch {
		case now.Sub(p.at) > peerAge:
			delete(d.peers, to)
		case p.frontier < frontier:
			d.send(to, d.message(to, nil, nil), p.address)
			d.told = now
			count++
		}
	}
	return count
}

// message returns the next datagram to a peer.
func (d *Duty) message(to mtid.Holder, ask *mtlease.Ask, answer *mtlease.Answer) *mtwire.Renew {
	d.sequence++
	m := &mtwire.Renew{
		From:          string(d.config.Self),
		ToIncarnation: uint64(to.Incarnation),
		Sequence:      d.sequence,
		Frontier:      uint64(d.config.View.Frontier()),
	}
	if d.lease != nil {
		m.FromIncarnation = uint64(d.lease.Holder().Incarnation)
	}
	if ask != nil {
		m.Ask = uint64(ask.Version)
	}
	if answer != nil {
		m.Answer = answer.Sequence
		m.Refusal = uint32(answer.Refusal)
		m.Floor = uint64(answer.Floor)
	}
	return m
}

// send writes one datagram. What is lost is asked again in the next period.
func (d *Duty) send(to mtid.Holder, m *mtwire.Renew, address netip.AddrPort) {
	packet, err := d.keyring.seal(to.Daemon, m)
	if err != nil {
		d.config.Log.Error("renew: datagram can't be made", "err", err)
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort(packet, address); err != nil {
		d.config.Log.Debug("renew: send failed", "peer", to.Daemon, "err", err)
		return
	}
	d.counters.SentMessages.Add(1)
	d.counters.SentBytes.Add(wireSize(len(packet), address))
}

// wireSize returns the size of a datagram with its headers.
func wireSize(n int, address netip.AddrPort) int64 {
	if address.Addr().Unmap().Is4() {
		return int64(n + headersIP4)
	}
	return int64(n + headersIP6)
}
