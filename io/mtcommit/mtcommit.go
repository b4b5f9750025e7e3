// Package mtcommit writes changes of owners into the assignments in the platform's store.
//
// An assignment is one value that is written under the condition that it has not changed.
// Where many owners give keys away at once and each writes it itself, nearly every write is
// beaten by another one and made again, and the keys are unserved meanwhile. So all daemons
// leave their writes to one that gathers them. Mostly it has made the last change itself, so
// that its copy is the newest. Who that is need not be agreed: two that write at the same
// time beat each other, and nothing else happens.
//
// # Usage
//
//	committer, cleanUp := mtcommit.New(config)
//	outcomes := committer.Commit(ctx, batch) // of this daemon
//	outcomes = committer.Gather(ctx, batch)  // of another one
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
	// gather is how long the first batch of another daemon waits for others. While a
	// write is under way the next ones gather anyway.
	gather = 15 * time.Millisecond
	// tries is how often a write is made over others that were first. What won is told
	// with the conflict, so that the next try needs no reading.
	tries = 6
	// told is how many epochs before a write a daemon may have stopped hearing of
	// assignments and still be told of the write in passing: a handful of moves.
	told = 32
)

// Config is what a Committer works with.
type Config struct {
	Directory *mtdirectory.Directory
	Store     mtstore.ConditionalStore
	Log       *slog.Logger
	// Inform tells a daemon of an assignment that gives it keys, as far as it differs
	// from the one at an epoch. It must not block, and may be nil.
	Inform func(to mtid.Daemon, a mtdirectory.Assignment, since mtid.Epoch)
}

// Committer writes for this daemon and for others. See the package comment.
type Committer struct {
	Config
	stopping context.Context // a write outlives the call that began it
	mu       sync.Mutex
	queues   map[mtid.Service]*queue
}

// queue holds what waits to be written for one service.
type queue struct {
	writing sync.Mutex // one write at a time
	mu      sync.Mutex
	waiting []*pending
}

// pending is a transfer that waits to be written.
type pending struct {
	mtrange.Transfer
	condition mtstore.Condition
	result    chan mtrange.Outcome // of capacity one
}

// New returns a Committer and its clean-up function.
func New(config Config) (*Committer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	return &Committer{Config: config, stopping: ctx, queues: make(map[mtid.Service]*queue)}, cancel
}

// Commit writes a batch, and returns what became of each of its transfers.
func (c *Committer) Commit(ctx context.Context, b mtrange.Batch) []mtrange.Outcome {
	return c.commit(ctx, b, 0)
}

// Gather is Commit for another daemon: it waits a moment for others' batches.
func (c *Committer) Gather(ctx context.Context, b mtrange.Batch) []mtrange.Outcome {
	return c.commit(ctx, b, gather)
}

func (c *Committer) commit(ctx context.Context, b mtrange.Batch, wait time.Duration) []mtrange.Outcome {
	batch := make([]*pending, 0, len(b.Transfers))
	// The write holds only while the daemon's record is the one of this life. If the
	// daemon dies now, its next life writes the record before it grants anything, and a
	// write that is still on its way never lands: it would give keys away that the next
	// life has granted again.
	condition := mtstore.Condition{Name: mtstore.BackendName(b.Daemon), Version: b.RecordVersion}
	for _, t := range b.Transfers {
		batch = append(batch, &pending{Transfer: t, condition: condition, result: make(chan mtrange.Outcome, 1)})
	}
	q := c.queue(b.Service)
	if q.add(batch) {
		go func() {
			mtduty.Sleep(c.stopping, wait)
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

// add lets transfers wait, and reports whether they are the first.
func (q *queue) add(batch []*pending) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := len(q.waiting) == 0
	q.waiting = append(q.waiting, batch...)
	return first && len(batch) > 0
}

// take takes out as many transfers as one write can hold the conditions of.
func (q *queue) take() []*pending {
	q.mu.Lock()
	defer q.mu.Unlock()
	var conditions []mtstore.Condition
	for i, p := range q.waiting {
		if slices.Contains(conditions, p.condition) {
			continue
		}
		if len(conditions) == mtstore.MaxConditions {
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

// writeAll writes what waits.
func (c *Committer) writeAll(service mtid.Service, q *queue) {
	q.writing.Lock()
	defer q.writing.Unlock()
	for batch := q.take(); len(batch) > 0; batch = q.take() {
		c.writeBatch(service, batch)
	}
}

// writeBatch writes transfers in one step, over others' writes if need be.
func (c *Committer) writeBatch(service mtid.Service, batch []*pending) {
	for try := 1; ; try++ {
		assignment := c.Directory.View().Assignments[service]
		next, ready := c.apply(assignment.Table, batch)
		if len(ready) == 0 {
			return
		}
		outcome, stale := c.write(c.stopping, conditions(ready), next, assignment.Version, "moves")
		if stale != "" {
			batch = slices.DeleteFunc(ready, func(p *pending) bool {
				refused := p.condition.Name == stale
				if refused {
					p.result <- mtrange.Refused
				}
				return refused
			})
			continue
		}
		if outcome == mtrange.Conflicted && try < tries {
			batch = ready
			continue
		}
		if outcome == mtrange.Written {
			c.informTakers(service, ready, assignment.Next)
		}
		for _, p := range ready {
			p.result <- outcome
		}
		return
	}
}

// conditions returns the conditions of transfers, each once.
func conditions(batch []*pending) []mtstore.Condition {
	var conditions []mtstore.Condition
	for _, p := range batch {
		if !slices.Contains(conditions, p.condition) {
			conditions = append(conditions, p.condition)
		}
	}
	return conditions
}

// apply makes the transfers in a table, and returns those that fit. The others are
// told that they were refused: their keys have changed hands in the meantime.
func (c *Committer) apply(table *mtrange.Table, batch []*pending) (next *mtrange.Table, ready []*pending) {
	next = table
	for _, p := range batch {
		if table == nil || !table.CanApply(p.Transfer) {
			p.result <- mtrange.Refused
			continue
		}
		moved, err := next.Move(p.Low, p.High, p.To, p.WarmupState)
		if err != nil {
			c.Log.Error("move does not fit the assignment", "low", p.Low, "high", p.High, "error", err)
			p.result <- mtrange.Refused
			continue
		}
		next = moved
		ready = append(ready, p)
	}
	return next, ready
}

// informTakers tells those that were given keys, before they hear of it by their
// watches. A watch takes a tenth of a second and two hops; nobody served the keys
// meanwhile, which is half of the time that a lookup has, and their callers asked for
// them every few milliseconds.
func (c *Committer) informTakers(service mtid.Service, ready []*pending, next mtid.Epoch) {
	if c.Inform == nil {
		return
	}
	assignment := c.Directory.View().Assignments[service]
	done := make(map[mtid.Daemon]bool, len(ready))
	for _, p := range ready {
		if to := p.To.Daemon; !done[to] {
			done[to] = true
			c.Inform(to, assignment, next-min(next, told))
		}
	}
}

// Write writes an assignment.
func (c *Committer) Write(ctx context.Context, conditions []mtstore.Condition, next *mtrange.Table, expected mtid.Version, why string) mtrange.Outcome {
	outcome, _ := c.write(ctx, conditions, next, expected, why)
	return outcome
}

// write is Write, and names the record that was not as a condition said, if it was not
// written for one.
func (c *Committer) write(ctx context.Context, conditions []mtstore.Condition, next *mtrange.Table, expected mtid.Version, why string) (_ mtrange.Outcome, stale string) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := next.Encode()
	if err != nil {
		c.Log.Error("assignment can't be encoded", "error", err)
		return mtrange.Refused, ""
	}
	name := mtstore.RangeName(next.Service)
	version, err := c.Store.SwapIf(ctx, conditions, name, expected, value, "")
	if err == nil {
		c.Log.Info("assignment written", "why", why, "service", next.Service, "version", uint64(version), "epoch", uint64(next.Next), "conditions", len(conditions))
		c.Directory.ApplyAssignment(mtdirectory.Assignment{Table: next, Version: version})
		return mtrange.Written, ""
	}
	c.Log.Warn("assignment not written", "why", why, "expected", uint64(expected), "error", err)
	var unknown *mtstore.UnknownError
	if errors.As(err, &unknown) {
		return mtrange.OutcomeUnknown, ""
	}
	var conflict *mtstore.ConflictError
	if errors.As(err, &conflict) && conflict.Name != name {
		return mtrange.Refused, conflict.Name
	}
	if conflict != nil && c.adopt(next.Service, conflict.Current) {
		return mtrange.Conflicted, ""
	}
	return mtrange.Refused, ""
}

// adopt takes in the assignment that won over a write, which the conflict tells, and
// reports whether one did.
func (c *Committer) adopt(service mtid.Service, current mtstore.Entry) bool {
	if current.Version == 0 {
		return false
	}
	table, err := mtrange.Decode(current.Value)
	if err != nil {
		c.Log.Error("assignment passed over", "service", service, "error", err)
		return false
	}
	c.Directory.ApplyAssignment(mtdirectory.Assignment{Table: table, Version: current.Version})
	return true
}
