package mtgrant

import (
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtduty"
)

// transfer is a change of owner that waits to be written.
type transfer struct {
	from      mtrange.Range // as it was when the move began
	low, high mtid.Number
	to        mtrange.Owner
	warmth    string
	why       string
	again     bool         // it lost a write against others before
	result    chan outcome // of capacity one
}

// gatherTransfers is how long the first transfer waits for others. Releases of one
// relief are answered at about the same time. Written one by one, each of them is
// a change that all daemons are told of, and most conflict with another: of 835
// writes in 50 s of 39 servers with hot keys 604 did.
const gatherTransfers = 15 * time.Millisecond

// commit writes a transfer, in one write with others that are ready. One that lost
// against other writers has been told the newest assignment with the conflict, and
// is written at once: waiting for others lets the next one win. With pauses that
// doubled, 39 owners had five conflicts for each write.
func (g *Grants) commit(t *transfer) outcome {
	g.mu.Lock()
	g.transfers = append(g.transfers, t)
	first := len(g.transfers) == 1
	g.mu.Unlock()
	if first {
		if !t.again {
			mtduty.Sleep(g.stopping, gatherTransfers)
		}
		g.writeTransfers()
	}
	return <-t.result
}

// writeTransfers writes all transfers that wait, in one step.
func (g *Grants) writeTransfers() {
	g.writing.Lock()
	defer g.writing.Unlock()
	g.mu.Lock()
	batch := g.transfers
	g.transfers = nil
	g.mu.Unlock()
	assignment := g.Directory.Now().Assignments[g.Service]
	next, ready := g.apply(assignment.Table, batch)
	if len(ready) == 0 {
		return
	}
	// The write holds only while the own record is the one of this life. If the
	// daemon dies now, its next life writes the record before it grants anything,
	// and a write that is still on its way never lands: it would give keys away
	// that the next life has granted again.
	own := mtstore.Condition{Name: mtstore.BackendName(g.Self), Version: g.Directory.Own()}
	result := g.write(g.stopping, []mtstore.Condition{own}, next, assignment.Version, ready[0].why)
	if result == written {
		g.informTakers(ready, assignment.Next)
	}
	for _, t := range ready {
		t.result <- result
	}
}

// told is how many epochs before a write a daemon may have stopped hearing of
// assignments and still be told of the write in passing: a handful of moves.
const told = 32

// informTakers tells those that were given keys, before they hear of it by their
// watches. A watch takes a tenth of a second and two hops; nobody served the keys
// meanwhile, which is half of the time that a lookup has, and their callers asked for
// them every few milliseconds.
func (g *Grants) informTakers(ready []*transfer, next mtid.Epoch) {
	if g.Inform == nil {
		return
	}
	assignment := g.Directory.Now().Assignments[g.Service]
	since := next - min(next, told)
	done := make(map[mtid.Daemon]bool, len(ready))
	for _, t := range ready {
		if to := t.to.Daemon; !done[to] {
			done[to] = true
			g.Inform(to, assignment, since)
		}
	}
}

// apply makes the transfers in a table, and returns those that fit. The others are
// told that they were refused: their keys have changed hands in the meantime.
func (g *Grants) apply(table *mtrange.Table, batch []*transfer) (next *mtrange.Table, ready []*transfer) {
	next = table
	for _, t := range batch {
		if !stands(table, t.from, t.low) {
			t.result <- refused
			continue
		}
		moved, err := next.Move(t.low, t.high, t.to, t.warmth)
		if err != nil {
			g.Log.Error("move does not fit the assignment", "low", t.low, "high", t.high, "error", err)
			t.result <- refused
			continue
		}
		next = moved
		ready = append(ready, t)
	}
	return next, ready
}
