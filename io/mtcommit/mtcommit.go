// Package mtcommit writes changes of owners to the assignments in the platform's store.
//
// An assignment is a single value, written on condition that it has not changed. If many
// owners moved keys at once and each wrote the assignment itself, nearly every write would
// conflict with another one and be retried, and the keys would not be served in the
// meantime. So all daemons delegate their writes to one daemon, which batches them. Usually
// that daemon also made the last change, so its copy is the newest. The daemons need not
// agree on which one it is: if two write at the same time, one write conflicts and is
// retried.
//
// # Usage
//
//	committer, cleanUp := mtcommit.New(config)
//	outcomes := committer.Commit(ctx, batch)       // of this daemon
//	outcomes = committer.CommitForPeer(ctx, batch) // of another one
//	outcome := committer.Write(ctx, conditions, table, version, "takeover")
//
// A Committer is safe for concurrent use.
package mtcommit

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
)

const (
	// writeTimeout bounds a write of an assignment.
	writeTimeout = time.Second
	// batchDelay is how long the first batch of another daemon waits for further batches.
	// While a write is in progress, the next batches wait for it in any case.
	batchDelay = 15 * time.Millisecond
	// maxTries is how often a write is tried while conflicting writes win. A conflict
	// returns the value that won, so the next try needs no read.
	maxTries = 6
	// notifiedEpochs is how many epochs before the write a notification covers, so that a
	// daemon that has missed a few moves can still apply it.
	notifiedEpochs = 32
)

// Config holds the dependencies of a Committer.
type Config struct {
	Directory *mtdirectory.Directory
	Store     mtstore.ConditionalStore
	Log       *slog.Logger
	// NotifyOwner notifies a daemon of an assignment that gives it keys, by sending what has
	// changed in the assignment since an epoch. It must not block, and may be nil.
	NotifyOwner func(to mtid.Daemon, a mtdirectory.Assignment, since mtid.Epoch)
}

// Committer writes changes of owners for this daemon and for others. See the package
// comment.
type Committer struct {
	Config
	baseCtx context.Context // canceled by the clean-up function; a write outlives the call that started it
	mu      sync.Mutex
	queues  map[mtid.Service]*queue
}

// queue holds the transfers of one service that wait to be written.
type queue struct {
	writeMu sync.Mutex // one write at a time
	mu      sync.Mutex
	waiting []*pendingTransfer
}

// pendingTransfer is a transfer that waits to be written.
type pendingTransfer struct {
	mtrange.Transfer
	condition mtstore.Condition
	result    chan mtrange.Outcome // has a buffer of one
}

// New returns a Committer and its clean-up function.
func New(config Config) (*Committer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	return &Committer{Config: config, baseCtx: ctx, queues: make(map[mtid.Service]*queue)}, cancel
}

// Commit writes a batch of this daemon and returns the outcome of each transfer.
func (c *Committer) Commit(ctx context.Context, b mtrange.Batch) []mtrange.Outcome {
	return c.commit(ctx, b, 0)
}

// CommitForPeer writes a batch of another daemon, like Commit. It first waits a moment for
// further batches, to write them in one step.
func (c *Committer) CommitForPeer(ctx context.Context, b mtrange.Batch) []mtrange.Outcome {
	return c.commit(ctx, b, batchDelay)
}

func (c *Committer) commit(ctx context.Context, b mtrange.Batch, wait time.Duration) []mtrange.Outcome {
	batch := make([]*pendingTransfer, 0, len(b.Transfers))
	// The write is conditional on the record of the daemon's current incarnation. If the
	// daemon terminates now, its next incarnation writes the record before it grants
	// anything, so that a write that is still on its way fails. Otherwise it would move
	// keys that the next incarnation has granted again.
	condition := mtstore.Condition{Name: mtstore.BackendName(b.RecordVersion.Era(), b.Daemon), Version: b.RecordVersion}
	for _, t := range b.Transfers {
		batch = append(batch, &pendingTransfer{Transfer: t, condition: condition, result: make(chan mtrange.Outcome, 1)})
	}
	q := c.queue(b.Service)
	if q.add(batch) {
		go func() {
			mtduty.Sleep(c.baseCtx, wait)
			c.writeAll(b.Service, q)
		}()
	}
	outcomes := make([]mtrange.Outcome, 0, len(batch))
	for _, p := range batch {
		select {
		case outcome := <-p.result:
			outcomes = append(outcomes, outcome)
		case <-ctx.Done():
			outcomes = append(outcomes, mtrange.OutcomeUnknown)
		}
	}
	return outcomes
}

// queue returns the queue of a service.
func (c *Committer) queue(service mtid.Service) *queue {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[service]
	if !ok {
		q = &queue{}
		c.queues[service] = q
	}
	return q
}

// add queues transfers and reports whether the queue was empty.
func (q *queue) add(batch []*pendingTransfer) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := len(q.waiting) == 0
	q.waiting = append(q.waiting, batch...)
	return first && len(batch) > 0
}

// nextBatch removes and returns as many transfers as the conditions of one write allow.
func (q *queue) nextBatch() []*pendingTransfer {
	q.mu.Lock()
	defer q.mu.Unlock()
	var conditions []mtstore.Condition
	for i, p := range q.waiting {
		if slices.Contains(conditions, p.condition) {
			continue
		}
		if len(conditions) == mtstore.MaxConditions-1 { // one more is that the era is not sealed
			batch := slices.Clone(q.waiting[:i])
			q.waiting = slices.Delete(q.waiting, 0, i)
			return batch
		}
		conditions = append(conditions, p.condition)
	}
	batch := q.waiting
	q.waiting = nil
	return batch
}

// writeAll writes all queued transfers.
func (c *Committer) writeAll(service mtid.Service, q *queue) {
	q.writeMu.Lock()
	defer q.writeMu.Unlock()
	for batch := q.nextBatch(); len(batch) > 0; batch = q.nextBatch() {
		c.writeBatch(service, batch)
	}
}

// writeBatch writes transfers in one step, and retries after conflicting writes.
func (c *Committer) writeBatch(service mtid.Service, batch []*pendingTransfer) {
	for try := 1; ; try++ {
		view := c.Directory.View()
		assignment := view.Assignments[service]
		table, version := assignment.Basis(view.Era())
		next, applicable := c.apply(table, batch)
		if len(applicable) == 0 {
			return
		}
		era, sealName := next.Era(), mtstore.SealName(next.Era(), service)
		all := conditions(applicable)
		if slices.ContainsFunc(applicable, func(p *pendingTransfer) bool { return p.Claims(era) }) {
			all = append(all, mtstore.Condition{Name: sealName})
		}
		outcome, stale := c.write(c.baseCtx, all, next, version, "moves")
		if stale != "" {
			batch = slices.DeleteFunc(applicable, func(p *pendingTransfer) bool {
				refused := p.condition.Name == stale || stale == sealName && p.Claims(era)
				if refused {
					p.result <- mtrange.Refused
				}
				return refused
			})
			continue
		}
		if outcome == mtrange.Conflicted && try < maxTries {
			batch = applicable
			continue
		}
		if outcome == mtrange.Written {
			c.notifyNewOwners(service, applicable, assignment.Next)
		}
		for _, p := range applicable {
			p.result <- outcome
		}
		return
	}
}

// conditions returns the distinct conditions of the transfers.
func conditions(batch []*pendingTransfer) []mtstore.Condition {
	var conditions []mtstore.Condition
	for _, p := range batch {
		if !slices.Contains(conditions, p.condition) {
			conditions = append(conditions, p.condition)
		}
	}
	return conditions
}

// apply applies the transfers to a copy of the table. It returns the ones that could be
// applied and refuses the others, whose keys have changed owners in the meantime.
func (c *Committer) apply(table *mtrange.Table, batch []*pendingTransfer) (next *mtrange.Table, applicable []*pendingTransfer) {
	next = table
	for _, p := range batch {
		if table == nil || p.condition.Version.Era() != table.Era() || !next.CanApply(p.Transfer) {
			p.result <- mtrange.Refused
			continue
		}
		moved, err := next.Transfer(p.Transfer)
		if err != nil {
			c.Log.Error("move does not fit the assignment", "low", p.Low, "high", p.High, "error", err)
			p.result <- mtrange.Refused
			continue
		}
		next = moved
		applicable = append(applicable, p)
	}
	return next, applicable
}

// notifyNewOwners notifies the daemons that were given keys, before their watches show it.
// A watch takes a tenth of a second over two hops, which is half of the time within
// which a lookup must be answered. Without the notification no server served the keys in
// the meantime, and callers retried every few milliseconds.
func (c *Committer) notifyNewOwners(service mtid.Service, applicable []*pendingTransfer, next mtid.Epoch) {
	if c.NotifyOwner == nil {
		return
	}
	assignment := c.Directory.View().Assignments[service]
	done := make(map[mtid.Daemon]bool, len(applicable))
	for _, p := range applicable {
		if to := p.To.Daemon; !done[to] {
			done[to] = true
			c.NotifyOwner(to, assignment, next-min(next, notifiedEpochs))
		}
	}
}

// Write writes an assignment on condition that the stored one has the expected version and
// that the other conditions hold.
func (c *Committer) Write(ctx context.Context, conditions []mtstore.Condition, next *mtrange.Table, expected mtid.Version, why string) mtrange.Outcome {
	outcome, _ := c.write(ctx, conditions, next, expected, why)
	return outcome
}

// write implements Write. If a condition on a record does not hold, it also returns the
// name of that record.
func (c *Committer) write(ctx context.Context, conditions []mtstore.Condition, next *mtrange.Table, expected mtid.Version, why string) (_ mtrange.Outcome, stale string) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := next.Encode()
	if err != nil {
		c.Log.Error("can't encode the assignment", "error", err)
		return mtrange.Refused, ""
	}
	name := mtstore.RangeName(next.Era(), next.Service)
	version, err := c.Store.SwapIf(ctx, conditions, name, expected, value, "")
	if err == nil && version.Era() != next.Era() {
		c.Log.Warn("assignment written in another era of the store", "why", why, "name", name, "era", version.Era())
		return mtrange.OutcomeUnknown, ""
	}
	if err == nil {
		c.Log.Info("assignment written", "why", why, "service", next.Service, "era", next.Era(), "version", version.Number(), "epoch", uint64(next.Next), "conditions", len(conditions))
		c.Directory.ApplyAssignment(mtdirectory.Assignment{Table: next, Version: version})
		return mtrange.Written, ""
	}
	c.Log.Warn("assignment not written", "why", why, "name", name, "expected", expected.Number(), "error", err)
	var unknown *mtstore.UnknownError
	if errors.As(err, &unknown) {
		return mtrange.OutcomeUnknown, ""
	}
	var conflict *mtstore.ConflictError
	if errors.As(err, &conflict) && conflict.Name != name {
		return mtrange.Refused, conflict.Name
	}
	if conflict != nil && c.applyWinner(next.Service, conflict.Current) {
		return mtrange.Conflicted, ""
	}
	return mtrange.Refused, ""
}

// applyWinner adds the assignment that won a conflict to the local copy, and reports
// whether there was one.
func (c *Committer) applyWinner(service mtid.Service, current mtstore.Entry) bool {
	if current.Version == 0 {
		return false
	}
	winner, err := mtdirectory.DecodeAssignment(current)
	if err != nil {
		c.Log.Error("assignment passed over", "service", service, "error", err)
		return false
	}
	c.Directory.ApplyAssignment(winner)
	return true
}
