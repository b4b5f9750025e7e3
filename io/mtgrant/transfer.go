package mtgrant

import (
	"time"

	"magnoliaturn/core/mtrange"
	"magnoliaturn/io/mtduty"
)

// pendingTransfer is a change of owner that is waiting to be written.
type pendingTransfer struct {
	mtrange.Transfer
	retry  bool                 // an earlier try was not written
	direct bool                 // has to be written from here, since delegating it failed
	result chan mtrange.Outcome // has a buffer of one
}

// batchDelay is how long the first transfer waits for others. Releases of one offload are
// answered at about the same time. If their transfers were written one by one, all daemons
// would be notified of each.
const batchDelay = 15 * time.Millisecond

// commit writes a transfer, in one step with others that are ready, and returns its
// outcome.
func (g *Grants) commit(t *pendingTransfer) mtrange.Outcome {
	g.mu.Lock()
	g.transfers = append(g.transfers, t)
	first := len(g.transfers) == 1
	g.mu.Unlock()
	if first {
		if !t.retry {
			mtduty.Sleep(g.baseCtx, batchDelay)
		}
		g.commitTransfers()
	}
	return <-t.result
}

// commitTransfers writes all waiting transfers.
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

// write passes a batch to the daemon that writes for all daemons, or writes it from here.
func (g *Grants) write(b mtrange.Batch, direct bool) []mtrange.Outcome {
	if !direct && g.Delegate != nil {
		if outcomes, ok := g.Delegate(g.baseCtx, b); ok {
			return outcomes
		}
	}
	return g.Committer.Commit(g.baseCtx, b)
}
