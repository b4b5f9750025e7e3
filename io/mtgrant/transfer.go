package mtgrant

import (
	"time"

	"magnoliaturn/core/mtrange"
	"magnoliaturn/io/mtduty"
)

// transfer is a change of owner that waits to be written.
type transfer struct {
	mtrange.Transfer
	again  bool                 // it was not written before
	direct bool                 // it has to be written here: nobody else did
	result chan mtrange.Outcome // of capacity one
}

// gatherTransfers is how long the first transfer waits for others. Releases of one
// relief are answered at about the same time, and written one by one, each of them is
// a change that all daemons are told of.
const gatherTransfers = 15 * time.Millisecond

// commit has a transfer written, in one step with others that are ready.
func (g *Grants) commit(t *transfer) mtrange.Outcome {
	g.mu.Lock()
	g.transfers = append(g.transfers, t)
	first := len(g.transfers) == 1
	g.mu.Unlock()
	if first {
		if !t.again {
			mtduty.Sleep(g.stopping, gatherTransfers)
		}
		g.commitTransfers()
	}
	return <-t.result
}

// commitTransfers has all transfers written that wait.
func (g *Grants) commitTransfers() {
	g.mu.Lock()
	waiting := g.transfers
	g.transfers = nil
	g.mu.Unlock()
	b := mtrange.Batch{Service: g.Service, Daemon: g.Self, RecordVersion: g.Directory.RecordVersion(), KnownEpoch: g.Directory.View().Assignments[g.Service].NextEpoch()}
	direct := false
	for _, t := range waiting {
		b.Transfers = append(b.Transfers, t.Transfer)
		direct = direct || t.direct
	}
	for i, outcome := range g.write(b, direct) {
		waiting[i].result <- outcome
	}
}

// write leaves a batch to the daemon that writes for all, or writes it here.
func (g *Grants) write(b mtrange.Batch, direct bool) []mtrange.Outcome {
	if !direct && g.Delegate != nil {
		if outcomes, ok := g.Delegate(g.stopping, b); ok {
			return outcomes
		}
	}
	return g.Committer.Commit(g.stopping, b)
}
