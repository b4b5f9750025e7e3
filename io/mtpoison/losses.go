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
	// queryTimeout bounds how long the first requests of a range that was taken over
	// from a lost daemon wait for evidence from the other daemons.
	queryTimeout = 100 * time.Millisecond
	// queryInterval is the minimum time between two query rounds. The loss of an
	// availability zone appears as many losses of daemons within a second.
	queryInterval = 250 * time.Millisecond
	// lossTTL is how long a loss is remembered. Peers are not queried about older
	// ones.
	lossTTL = time.Minute
)

// losses tracks the incarnations of daemons that ended recently, and whether the peers
// were queried about them.
type losses struct {
	mu        sync.Mutex
	live      map[mtid.Daemon]mtid.Holder // the live incarnation at the last check
	ended     map[mtid.Holder]*loss
	round     chan struct{}   // closed when the current query round ends; nil if there is none
	lastRound mtclock.Instant // when the last round began
}

// loss is the end of an incarnation.
type loss struct {
	at      mtclock.Instant
	queried bool
}

func newLosses() losses {
	return losses{live: make(map[mtid.Daemon]mtid.Holder), ended: make(map[mtid.Holder]*loss)}
}

// detect returns the incarnations that have ended since the last call.
func (l *losses) detect(now mtclock.Instant, roster []*mtroster.Record) []mtid.Holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []mtid.Holder
	for _, record := range roster {
		before := l.live[record.Holder.Daemon]
		if !before.IsZero() && (before != record.Holder || !record.MayHoldLease()) {
			found = append(found, before)
			l.ended[before] = &loss{at: now}
		}
		l.live[record.Holder.Daemon] = mtid.Holder{}
		if record.MayHoldLease() {
			l.live[record.Holder.Daemon] = record.Holder
		}
	}
	for holder, e := range l.ended {
		if now.Sub(e.at) > lossTTL {
			delete(l.ended, holder)
		}
	}
	return found
}

// begin starts a query round and returns the losses that no peer was queried about
// yet. It returns none if a round is in progress or the last one began less than
// queryInterval ago. The channel is closed when the round that the caller should wait
// for ends: the new one or the one in progress. It is nil if there is neither.
func (l *losses) begin(now mtclock.Instant) ([]mtid.Holder, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.round != nil || (l.lastRound != 0 && now.Sub(l.lastRound) < queryInterval) {
		return nil, l.round
	}
	var holders []mtid.Holder
	for holder, e := range l.ended {
		if !e.queried {
			e.queried = true
			holders = append(holders, holder)
		}
	}
	if len(holders) == 0 {
		return nil, nil
	}
	l.round, l.lastRound = make(chan struct{}), now
	return holders, l.round
}

// finish ends the current query round.
func (l *losses) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.round)
	l.round = nil
}

// awaitEvidence waits until the peers have been queried about recently lost daemons,
// at most for queryTimeout. It is called before a request runs whose key was taken
// over from one of them. A daemon that relayed a request to the lost one may detect
// the loss later than the new owner does, so the evidence that it sends by itself may
// be late.
func (d *Detector) awaitEvidence() {
	d.checkRoster(d.View.Snapshot().Roster())
	holders, round := d.losses.begin(d.Clock.Now())
	if len(holders) > 0 {
		go func() {
			defer d.losses.finish()
			d.queryPeers(holders)
		}()
	}
	if round == nil {
		return
	}
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case <-round:
	case <-timer.C:
	}
}

// queryPeers queries all peers for the requests that were in flight at lost daemons.
func (d *Detector) queryPeers(holders []mtid.Holder) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	lost := &mtwire.Lost{}
	for _, holder := range holders {
		lost.Holders = append(lost.Holders, mtroster.HolderToWire(holder))
	}
	var queries sync.WaitGroup
	for _, address := range d.peerAddresses(func(*mtroster.Record) bool { return true }) {
		queries.Go(func() { d.queryPeer(ctx, address, lost) })
	}
	queries.Wait()
}

// queryPeer queries one peer and merges its evidence.
func (d *Detector) queryPeer(ctx context.Context, address string, lost *mtwire.Lost) {
	conn, err := d.Conns.Conn(address)
	if err != nil {
		return
	}
	evidence, err := mtwire.NewSuspicionClient(conn).Ask(ctx, lost)
	if err == nil {
		err = d.merge(evidence)
	}
	if err != nil {
		d.Count("ask.failed")
	}
}

// merge adds evidence from another daemon to the table. It fails with a
// *mtpoison.DecodeError.
func (d *Detector) merge(evidence *mtwire.Evidence) error {
	now := d.Clock.Now()
	digest, err := mtpoison.Read(now, evidence)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetSelf(d.Self())
	d.table.Merge(now, digest)
	return nil
}

// Ask implements mtwire.SuspicionServer. It returns the evidence of this daemon. The
// losses in the request are recorded first, since the roster in this daemon's view may
// not show them yet.
func (s server) Ask(_ context.Context, lost *mtwire.Lost) (*mtwire.Evidence, error) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	now := s.d.Clock.Now()
	for _, holder := range lost.GetHolders() {
		s.d.table.HolderLost(now, mtroster.HolderFromWire(holder))
	}
	return mtpoison.Wire(now, s.d.table.Digest(now, digestLimit)), nil
}
