package mtowner

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/google/uuid"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrecent"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtshard"
)

// deduplicator retains the identifiers of recent requests to one service, and the
// resends that wait for an answer.
type deduplicator struct {
	mu         sync.Mutex
	table      *mtrecent.Table
	lastWaiter mtrecent.Waiter
	waiters    map[mtrecent.Waiter]chan *mtrequest.Reply
	// synced is the last assignment of each chunk that was applied to table. epochs
	// are those of the shards that were granted or imported, by chunk: each chunk
	// counts its own epochs, so shards of two chunks may have the same one.
	synced map[int]*mtshard.Table
	epochs map[int]epochs
	// imports are the ranges that were handed over and are not owned yet.
	imports map[mtid.Point]pendingImport
}

// epochs maps the start of each owned shard of a chunk to its epoch.
type epochs map[mtid.Point]mtid.Epoch

// pendingImport is a range that was handed over and is not owned yet.
type pendingImport struct {
	from mtid.Holder
	high mtid.Point
}

func newDeduplicator() *deduplicator {
	return &deduplicator{
		table:   mtrecent.New(mtrecent.Limits{}),
		waiters: make(map[mtrecent.Waiter]chan *mtrequest.Reply),
		synced:  make(map[int]*mtshard.Table),
		epochs:  make(map[int]epochs),
		imports: make(map[mtid.Point]pendingImport),
	}
}

// syncOwned makes the table cover the shards that self owns in an assignment. It is
// called before each request, and costs one pointer comparison if the assignment is
// unchanged.
//
// A range that arrived by a planned move keeps the imported entries. Any other new
// range is granted as of now: its previous owner was lost with its entries, so a
// request whose identifier was minted before may have run there.
func (d *deduplicator) syncOwned(clock clock, self mtid.Holder, table *mtshard.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.synced[table.Chunk] == table {
		return
	}
	d.synced[table.Chunk] = table
	// Compare with the epochs of earlier assignments only, not with those that this
	// assignment adds: two parts of a shard that is new here share an epoch, and
	// granting the first must not make the second look like a split of it.
	before := d.epochs[table.Chunk]
	now := maps.Clone(before)
	if now == nil {
		now = make(epochs)
	}
	for _, shard := range table.OwnedBy(self) {
		if before[shard.Low] == shard.Epoch {
			continue
		}
		if !d.isSplitOrMerge(before, shard) {
			d.addShard(clock, self, table, shard)
		}
		now[shard.Low] = shard.Epoch
	}
	d.epochs[table.Chunk] = now
}

func (d *deduplicator) addShard(clock clock, self mtid.Holder, table *mtshard.Table, shard mtshard.Shard) {
	high, _ := table.High(shard.Low)
	pending, ok := d.imports[shard.Low]
	delete(d.imports, shard.Low)
	switch {
	case ok && table.MovedByHandover(shard.Low, pending.from, self) && d.table.Owns(shard.Low):
		return
	case table.HasFirstOwner(shard):
		_ = d.table.Grant(shard.Low, high, time.Time{})
	default:
		_ = d.table.Grant(shard.Low, high, clock.Wall())
	}
}

// isSplitOrMerge reports whether a shard is the result of a split or merge of shards
// that were already owned. Both retain an epoch, and with it the entries; a part
// that was gained from another owner has a higher epoch.
func (d *deduplicator) isSplitOrMerge(before epochs, shard mtshard.Shard) bool {
	for _, e := range before {
		if e == shard.Epoch && d.table.Owns(shard.Low) {
			return true
		}
	}
	return false
}

// begin decides whether an admitted request may run. With a nil error, exactly one of
// these is set in the verdict: run, a reply to send, or a channel to wait on.
func (d *deduplicator) begin(clock clock, q *mtrequest.Request) (verdict, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastWaiter++
	v := d.table.Begin(clock.Now(), clock.Wall(), mtrecent.Request{
		DedupKey:    dedupKeyOf(q),
		Fingerprint: mtrecent.Fingerprint(q.Fingerprint()),
		Minted:      q.Minted,
	}, d.lastWaiter)
	switch v.Kind {
	case mtrecent.Run:
		return verdict{run: true}, nil
	case mtrecent.Replay:
		return verdict{reply: &mtrequest.Reply{
			Outcome: mtreply.Answered, Status: v.Answer.Status, ContentType: v.Answer.ContentType, Body: v.Answer.Body,
		}}, nil
	case mtrecent.Wait:
		answer := make(chan *mtrequest.Reply, 1)
		d.waiters[d.lastWaiter] = answer
		return verdict{answer: answer, waiter: d.lastWaiter}, nil
	}
	return verdict{}, v.Err
}

// verdict determines how to continue with an admitted request.
type verdict struct {
	run    bool
	reply  *mtrequest.Reply
	answer chan *mtrequest.Reply
	waiter mtrecent.Waiter
}

// end records the result of a request that begin let run, and sends it to the
// waiting resends.
func (d *deduplicator) end(clock clock, q *mtrequest.Request, reply *mtrequest.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	outcome := mtrecent.Result{Outcome: reply.Outcome}
	if reply.Outcome == mtreply.Answered {
		outcome.Answer = &mtrecent.Answer{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
	}
	for _, waiter := range d.table.End(clock.Now(), dedupKeyOf(q), outcome) {
		d.waiters[waiter] <- reply
		delete(d.waiters, waiter)
	}
}

// wait returns the answer that a resend waits for, or an unknown outcome if its
// context ends first.
func (d *deduplicator) wait(ctx context.Context, q *mtrequest.Request, v verdict) (*mtrequest.Reply, error) {
	select {
	case reply := <-v.answer:
		same := *reply
		return &same, nil
	case <-ctx.Done():
		d.mu.Lock()
		defer d.mu.Unlock()
		d.table.RemoveWaiter(dedupKeyOf(q), v.waiter)
		delete(d.waiters, v.waiter)
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseEarlier, Err: ctx.Err()}
	}
}

func dedupKeyOf(q *mtrequest.Request) mtrecent.DedupKey {
	return mtrecent.DedupKey{Point: q.Point(), ID: uuid.UUID(q.ID)}
}

// recentTakeoverPeriod is how long after a takeover a request in the range may be
// the one that crashed the lost owner. Callers resend within seconds.
const recentTakeoverPeriod = 30 * time.Second

// markRecentTakeover marks a request that may have crashed the VM of its key's
// previous owner. That owner's records are lost with it, and if the caller sent the
// request there directly, no other daemon has any. Two indications remain: the range
// was recently taken over from a lost owner, and the identifier, set by the caller,
// predates the takeover. With both, the request is a suspect. A non-idempotent
// request needn't be one, since it is answered as unknown and never run.
func (o *Owner) markRecentTakeover(r *mtrequest.Request, class *mtbundle.Class, self mtid.Holder) {
	tables := o.View.Snapshot().Tables(r.Service)
	dedup := o.deduplicator(r.Service)
	dedup.syncOwned(o.Clock, self, tables[mtshard.ChunkOf(r.Point(), len(tables))])
	lost, ok := dedup.takeoverHorizon(r.Point())
	r.RecentTakeover = ok && o.Clock.Wall().Before(lost.Add(recentTakeoverPeriod))
	if r.RecentTakeover && class.Idempotent && !r.Minted && !r.ID.CreatedAt().After(lost) {
		r.Suspect = true
	}
}

// takeoverHorizon returns the time up to which requests for a point may have run at
// an owner that is lost.
func (d *deduplicator) takeoverHorizon(p mtid.Point) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Horizon(p)
}

// SyncOwnedShards makes the deduplicators cover all shards that this daemon owns. It
// is called when an assignment has changed, so that a range that arrived by failover
// is granted as of then and not as of its first request.
func (o *Owner) SyncOwnedShards() {
	holder, _ := o.Lease.Permit()
	s := o.View.Snapshot()
	for _, ref := range s.Services() {
		for _, table := range s.Tables(ref) {
			if table != nil && len(table.OwnedBy(holder)) > 0 {
				o.deduplicator(ref).syncOwned(o.Clock, holder, table)
			}
		}
	}
}

// Export returns the deduplication entries of a range for its new owner. It is
// called when no request of the range is in flight.
func (o *Owner) Export(ref mtid.Ref, low, high mtid.Point) ([]byte, error) {
	// A range that has received no request yet may not be covered. Without this call
	// its new owner would get no entries at all, and would reply "unknown" to
	// callers whose requests have never run.
	o.SyncOwnedShards()
	d := o.deduplicator(ref)
	d.mu.Lock()
	defer d.mu.Unlock()
	return mtrecent.Encode(d.table.Export(o.Clock.Now(), low, high))
}

// Import adds the deduplication entries of a range that from has owned until now.
// They take effect once the assignment shows the move.
func (o *Owner) Import(ref mtid.Ref, low, high mtid.Point, from mtid.Holder, value []byte) error {
	handover, err := mtrecent.Decode(value)
	if err != nil {
		return err
	}
	if handover.Low != low || handover.High != high {
		return &mtrecent.RangeError{Low: handover.Low, High: handover.High}
	}
	d := o.deduplicator(ref)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.table.Import(o.Clock.Now(), handover); err != nil {
		return err
	}
	d.imports[low] = pendingImport{from: from, high: high}
	return nil
}

// revoke removes the entries of a range that has a new owner.
func (d *deduplicator) revoke(low, high mtid.Point) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Revoke(low, high)
	for _, chunk := range d.epochs {
		for at := range chunk {
			if low <= at && at <= high {
				delete(chunk, at)
			}
		}
	}
}
