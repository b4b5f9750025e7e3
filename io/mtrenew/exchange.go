package mtrenew

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtwire"
)

// read passes authenticated datagrams to the goroutine of run until the socket is
// closed.
func (r *Renewer) read() {
	keyring := newKeyring(&r.config)
	buffer := make([]byte, maxDatagramSize)
	for {
		n, source, err := r.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.config.Log.Warn("renew: failed to read datagram", "err", err)
			continue
		}
		r.counters.ReceivedMessages.Add(1)
		r.counters.ReceivedBytes.Add(wireSize(n, source))
		message, err := keyring.open(r.config.Self, buffer[:n])
		if err != nil {
			r.counters.Refused.Add(1)
			continue
		}
		if !r.inbox.Put(datagram{message: message, source: source}) {
			r.counters.Dropped.Add(1)
		}
	}
}

// run sends requests when they are due and handles received datagrams, until stop is
// closed.
func (r *Renewer) run(stop <-chan struct{}) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case in := <-r.inbox.Items():
			r.handle(in)
		case <-timer.C:
		case <-r.wakeup:
		}
		timer.Reset(r.tick())
	}
}

// tick sends the requests that are due and returns the time until the next one.
func (r *Renewer) tick() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.checkTimer()
	if r.lease == nil {
		return idleInterval
	}
	r.due = 0
	for _, w := range r.lease.Witnesses() {
		last, requested := r.lastRequest[w]
		if !requested || now.Sub(last) >= mtlease.Period {
			r.sendRequest(w)
			last = now
		}
		if next := last.Add(mtlease.Period); r.due == 0 || next.Before(r.due) {
			r.due = next
		}
	}
	r.publishPermit()
	if r.due == 0 {
		return idleInterval
	}
	return max(r.due.Sub(now), 0)
}

// checkTimer returns the current instant. If the renewal timer fired too late, the
// lease has dropped its promises, and all requests are due.
func (r *Renewer) checkTimer() mtclock.Instant {
	now := r.config.Clock.Now()
	if r.lease != nil && r.due != 0 && r.lease.TimerFired(now, r.due) {
		r.counters.LateTimers.Add(1)
		r.due = 0
		r.publishPermit()
	}
	return now
}

// handle processes one authenticated datagram.
func (r *Renewer) handle(in datagram) {
	m := in.message
	from := mtid.Holder{Daemon: mtid.Daemon(m.GetFrom()), Incarnation: mtid.Incarnation(m.GetFromIncarnation())}
	if !r.acceptSequence(from, m.GetSequence()) {
		r.counters.Refused.Add(1)
		return
	}
	if r.config.OnFrontier != nil {
		r.config.OnFrontier(from.Daemon, mtid.Revision(m.GetFrontier()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.checkTimer()
	r.peers[from] = peer{address: in.source, frontier: mtid.Revision(m.GetFrontier()), receivedAt: now}
	r.handleAnswer(now, from, m)
	if m.GetAsk() != 0 {
		r.handleRequest(from, m, in.source)
	}
	r.publishPermit()
}

// acceptSequence reports whether a datagram passes the replay window of its sender.
func (r *Renewer) acceptSequence(from mtid.Holder, sequence uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.windows[from.Daemon]
	if !ok {
		w = &window{}
		r.windows[from.Daemon] = w
	}
	return w.accept(from.Incarnation, sequence)
}

// handleAnswer processes the answer in a datagram, if it has one for this
// incarnation. Each incarnation numbers its requests from the start, so an answer to
// the previous one could match a request of this one, and its promise would count
// for the wrong incarnation.
func (r *Renewer) handleAnswer(now mtclock.Instant, from mtid.Holder, m *mtwire.Renew) {
	if m.GetAnswer() == 0 || r.lease == nil {
		return
	}
	if mtid.Incarnation(m.GetToIncarnation()) != r.lease.Holder().Incarnation {
		return
	}
	answer := mtlease.Answer{
		Sequence: m.GetAnswer(),
		Refusal:  mtlease.Refusal(m.GetRefusal()),
		Floor:    mtid.Version(m.GetFloor()),
	}
	for _, w := range r.lease.Witnesses() {
		if w.Daemon == from.Daemon {
			r.lease.Answer(now, w, answer)
		}
	}
}

// handleRequest answers a peer's request. If the promise is granted and the peer is
// also a witness of this daemon, the answer is sent together with the next request to
// the peer, which is sent now if it is due soon. Otherwise it is sent immediately.
func (r *Renewer) handleRequest(from mtid.Holder, m *mtwire.Renew, source netip.AddrPort) {
	answer := r.witness.Renew(r.config.Clock.Steady(), from, mtlease.RenewRequest{
		Sequence: m.GetSequence(),
		Witness:  mtid.Holder{Daemon: r.config.Self, Incarnation: mtid.Incarnation(m.GetToIncarnation())},
		Version:  mtid.Version(m.GetAsk()),
	}, r.config.Clock.Now().Before(r.confirmedUntil))
	due, mutual := r.untilNextRequest(from)
	switch {
	case !mutual || answer.Refusal != mtlease.Granted:
		r.send(from, r.newMessage(from, nil, &answer), source)
	case due <= maxPiggybackLead:
		r.pending[from.Daemon] = pendingAnswer{to: from, answer: answer}
		r.sendRequest(from)
	default:
		r.pending[from.Daemon] = pendingAnswer{to: from, answer: answer}
	}
}

// untilNextRequest returns the time until the next request to w. It returns false if
// w is not a witness or has not been sent a request.
func (r *Renewer) untilNextRequest(w mtid.Holder) (time.Duration, bool) {
	if r.lease == nil {
		return 0, false
	}
	last, requested := r.lastRequest[w]
	for _, o := range r.lease.Witnesses() {
		if o == w {
			return last.Add(mtlease.Period).Sub(r.config.Clock.Now()), requested
		}
	}
	return 0, false
}

// sendRequest sends a request to witness w, together with the answer pending for it.
func (r *Renewer) sendRequest(w mtid.Holder) {
	record, _, ok := r.config.View.Record(w.Daemon)
	now := r.config.Clock.Now()
	r.lastRequest[w] = now
	request, permitted := r.lease.NewRequest(now, w, r.sequence+1)
	if !ok || !permitted {
		return
	}
	to, err := netip.ParseAddrPort(record.RenewAddress)
	if err != nil {
		r.config.Log.Warn("renew: invalid renewal address of peer", "peer", w.Daemon, "err", err)
		return
	}
	var answer *mtlease.Answer
	if o, found := r.pending[w.Daemon]; found && o.to == w {
		answer = &o.answer
		delete(r.pending, w.Daemon)
	}
	r.send(w, r.newMessage(w, &request, answer), to)
}

// NotifyPeers sends the frontier immediately to the peers whose last known frontier is
// older, instead of with the next renewal. It is called when a change affects
// callers, such as new owners after a loss: as it propagates through the fleet, the
// update would otherwise be delayed by half a period at each daemon. A call within
// notifyInterval of the last round does nothing, since the renewals carry the frontier.
// It returns how many peers were notified.
func (r *Renewer) NotifyPeers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock.Now()
	if r.lease == nil || (r.lastNotified != 0 && now.Sub(r.lastNotified) < notifyInterval) {
		return 0
	}
	count := 0
	frontier := r.config.View.Frontier()
	for to, p := range r.peers {
		switch {
		case now.Sub(p.receivedAt) > peerExpiry:
			delete(r.peers, to)
		case p.frontier < frontier:
			r.send(to, r.newMessage(to, nil, nil), p.address)
			r.lastNotified = now
			count++
		}
	}
	return count
}

// newMessage returns the next message to a peer, with a new sequence number.
func (r *Renewer) newMessage(to mtid.Holder, request *mtlease.RenewRequest, answer *mtlease.Answer) *mtwire.Renew {
	r.sequence++
	m := &mtwire.Renew{
		From:          string(r.config.Self),
		ToIncarnation: uint64(to.Incarnation),
		Sequence:      r.sequence,
		Frontier:      uint64(r.config.View.Frontier()),
	}
	if r.lease != nil {
		m.FromIncarnation = uint64(r.lease.Holder().Incarnation)
	}
	if request != nil {
		m.Ask = uint64(request.Version)
	}
	if answer != nil {
		m.Answer = answer.Sequence
		m.Refusal = uint32(answer.Refusal)
		m.Floor = uint64(answer.Floor)
	}
	return m
}

// send writes one datagram. A request or answer that is lost is not sent again: the
// next period has a new request.
func (r *Renewer) send(to mtid.Holder, m *mtwire.Renew, address netip.AddrPort) {
	packet, err := r.keyring.seal(to.Daemon, m)
	if err != nil {
		r.config.Log.Error("renew: failed to encode datagram", "err", err)
		return
	}
	if _, err := r.conn.WriteToUDPAddrPort(packet, address); err != nil {
		r.config.Log.Debug("renew: failed to send datagram", "peer", to.Daemon, "err", err)
		return
	}
	r.counters.SentMessages.Add(1)
	r.counters.SentBytes.Add(wireSize(len(packet), address))
}

// wireSize returns the size of a datagram including its IP and UDP headers.
func wireSize(n int, address netip.AddrPort) int64 {
	if address.Addr().Unmap().Is4() {
		return int64(n + headerSizeIPv4)
	}
	return int64(n + headerSizeIPv6)
}
