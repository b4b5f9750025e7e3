package mtpoison

import (
	"context"
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
)

const (
	// askTimeout bounds how long the first requests of a range that came from a
	// lost daemon wait for what the others know of it.
	askTimeout = 100 * time.Millisecond
	// askEvery is the shortest time between two rounds of asking. The loss of a
	// whole availability zone shows as many losses within a second.
	askEvery = 250 * time.Millisecond
	// lostFor is how long a loss is worth asking about.
	lostFor = time.Minute
)

// losses are the lives of daemons that have ended lately.
type losses struct {
	mu    sync.Mutex
	lives map[mtid.Daemon]mtid.Holder // seen alive
	ended map[mtid.Holder]*loss
	round chan struct{}   // closed when the present round of asking ends; nil without
	last  mtclock.Instant // when it began
}

// loss is one of them.
type loss struct {
	at    mtclock.Instant
	asked bool
}

func newLosses() losses {
	return losses{lives: make(map[mtid.Daemon]mtid.Holder), ended: make(map[mtid.Holder]*loss)}
}

// look returns the lives that have ended since the last look.
func (l *losses) look(now mtclock.Instant, roster []*mtroster.Record) []mtid.Holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []mtid.Holder
	for _, record := range roster {
		before := l.lives[record.Holder.Daemon]
		if !before.IsZero() && (before != record.Holder || !record.MayHoldLease()) {
			found = append(found, before)
			l.ended[before] = &loss{at: now}
		}
		l.lives[record.Holder.Daemon] = mtid.Holder{}
		if record.MayHoldLease() {
			l.lives[record.Holder.Daemon] = record.Holder
		}
	}
	for holder, e := range l.ended {
		if now.Sub(e.at) > lostFor {
			delete(l.ended, holder)
		}
	}
	return found
}

// begin begins a round of asking about the losses that nobody was asked about,
// if it is time, and returns them. It returns the round to wait for as well: the
// one that it began, or the one that goes on, or nil.
func (l *losses) begin(now mtclock.Instant) ([]mtid.Holder, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.round != nil || (l.last != 0 && now.Sub(l.last) < askEvery) {
		return nil, l.round
	}
	var holders []mtid.Holder
	for holder, e := range l.ended {
		if !e.asked {
			e.asked = true
			holders = append(holders, holder)
		}
	}
	if len(holders) == 0 {
		return nil, nil
	}
	l.round, l.last = make(chan struct{}), now
	return holders, l.round
}

// finish ends the present round.
func (l *losses) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.round)
	l.round = nil
}

// settle returns once this daemon knows what the others know of the daemons
// that were lost lately, or after askTimeout. It is called before a request runs
// whose key came from one of them. Whoever relayed a request there may learn of
// the loss later than the new owner does, and would tell too late.
func (w *Watch) settle() {
	w.look(w.View.Snapshot().Roster())
	holders, round := w.lost.begin(w.Clock.Now())
	if len(holders) > 0 {
		go func() {
			defer w.lost.finish()
			w.ask(holders)
		}()
	}
	if round == nil {
		return
	}
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case <-round:
	case <-timer.C:
	}
}

// ask asks all daemons what was in flight at lost ones.
func (w *Watch) ask(holders []mtid.Holder) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	lost := &mtwire.Lost{}
	for _, holder := range holders {
		lost.Holders = append(lost.Holders, mtroster.HolderToWire(holder))
	}
	var asks sync.WaitGroup
	for _, address := range w.peers(func(*mtroster.Record) bool { return true }) {
		asks.Go(func() { w.askOne(ctx, address, lost) })
	}
	asks.Wait()
}

func (w *Watch) askOne(ctx context.Context, address string, lost *mtwire.Lost) {
	conn, err := w.Conns.Conn(address)
	if err != nil {
		return
	}
	evidence, err := mtwire.NewSuspicionClient(conn).Ask(ctx, lost)
	if err == nil {
		err = w.merge(evidence)
	}
	if err != nil {
		w.Count("ask.failed")
	}
}

// merge takes in evidence. It fails with a *mtpoison.DecodeError.
func (w *Watch) merge(evidence *mtwire.Evidence) error {
	now := w.Clock.Now()
	digest, err := mtpoison.Read(now, evidence)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.SetSelf(w.Self())
	w.table.Merge(now, digest)
	return nil
}

// Ask implements mtwire.SuspicionServer. The asker has seen the loss in the
// roster; this daemon may see it later.
func (s server) Ask(_ context.Context, lost *mtwire.Lost) (*mtwire.Evidence, error) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	now := s.w.Clock.Now()
	for _, holder := range lost.GetHolders() {
		s.w.table.HolderLost(now, mtroster.HolderFromWire(holder))
	}
	return mtpoison.Wire(now, s.w.table.Digest(now, digestPrints)), nil
}
