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
	if d.lease != nil && d.due != 0 && d.lease.TimerFired(now, d.due) {
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
	answer := d.witness.Renew(d.config.Clock.Steady(), from, mtlease.RenewRequest{
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
	ask, asks := d.lease.NewRequest(now, w, d.sequence+1)
	if !ok || !asks {
		return
	}
	to, err := netip.ParseAddrPort(record.RenewAddress)
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
func (d *Duty) message(to mtid.Holder, ask *mtlease.RenewRequest, answer *mtlease.Answer) *mtwire.Renew {
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
