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

// recent drives the memory of recent identifiers of one service.
type recent struct {
	mu      sync.Mutex
	table   *mtrecent.Table
	next    mtrecent.Waiter
	waiters map[mtrecent.Waiter]chan *mtrequest.Reply
	// adopted is the assignment that the memory answers for, by chunk; the
	// epochs are those of the shards that were granted or imported. Each chunk
	// counts its own, so that two shards of two chunks may share one.
	adopted map[int]*mtshard.Table
	epochs  map[int]epochs
	// imports are the ranges that were handed over, until they are owned.
	imports map[mtid.Point]imported
}

// epochs are the epochs of adopted shards of one chunk, by where they begin.
type epochs map[mtid.Point]mtid.Epoch

// imported is a range that was handed over and isn't owned yet.
type imported struct {
	from mtid.Holder
	high mtid.Point
}

func newRecent() *recent {
	return &recent{
		table:   mtrecent.New(mtrecent.Limits{}),
		waiters: make(map[mtrecent.Waiter]chan *mtrequest.Reply),
		adopted: make(map[int]*mtshard.Table),
		epochs:  make(map[int]epochs),
		imports: make(map[mtid.Point]imported),
	}
}

// adopt makes the memory answer for the shards that self owns in an assignment.
// It is called before each request and costs a comparison of pointers when the
// assignment is the same.
//
// A range that came by a planned move keeps the imported memory. Any other new
// range is granted as of now: its former owner is lost with its memory, so what
// was minted before may have run there.
func (r *recent) adopt(clock clock, self mtid.Holder, table *mtshard.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.adopted[table.Chunk] == table {
		return
	}
	r.adopted[table.Chunk] = table
	// A shard is known by the epochs of earlier assignments, not by those that
	// this one brings: two parts of a shard that is new here share an epoch, and
	// granting the first must not make the second look like a split of it.
	before := r.epochs[table.Chunk]
	now := maps.Clone(before)
	if now == nil {
		now = make(epochs)
	}
	for _, shard := range table.OwnedBy(self) {
		if before[shard.Low] == shard.Epoch {
			continue
		}
		if !r.known(before, shard) {
			r.take(clock, self, table, shard)
		}
		now[shard.Low] = shard.Epoch
	}
	r.epochs[table.Chunk] = now
}

func (r *recent) take(clock clock, self mtid.Holder, table *mtshard.Table, shard mtshard.Shard) {
	high, _ := table.High(shard.Low)
	offer, ok := r.imports[shard.Low]
	delete(r.imports, shard.Low)
	switch {
	case ok && table.MovedByHandover(shard.Low, offer.from, self) && r.table.Owns(shard.Low):
		return
	case table.HasFirstOwner(shard):
		_ = r.table.Grant(shard.Low, high, time.Time{})
	default:
		_ = r.table.Grant(shard.Low, high, clock.Wall())
	}
}

// known reports whether a shard came by a split or a merge of shards that were
// adopted before. Both keep an epoch, and the memory with it; a part that is
// gained brings a higher one.
func (r *recent) known(before epochs, shard mtshard.Shard) bool {
	for _, e := range before {
		if e == shard.Epoch && r.table.Owns(shard.Low) {
			return true
		}
	}
	return false
}

// begin asks whether an admitted request may run. With a nil error exactly one
// of the results is set: run, a reply to send, or a channel to wait on.
func (r *recent) begin(clock clock, q *mtrequest.Request) (verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	v := r.table.Begin(clock.Now(), clock.Wall(), mtrecent.Request{
		DedupKey:    nameOf(q),
		Fingerprint: mtrecent.Fingerprint(q.Fingerprint()),
		Minted:      q.Minted,
	}, r.next)
	switch v.Kind {
	case mtrecent.Run:
		return verdict{run: true}, nil
	case mtrecent.Replay:
		return verdict{reply: &mtrequest.Reply{
			Outcome: mtreply.Answered, Status: v.Answer.Status, ContentType: v.Answer.ContentType, Body: v.Answer.Body,
		}}, nil
	case mtrecent.Wait:
		answer := make(chan *mtrequest.Reply, 1)
		r.waiters[r.next] = answer
		return verdict{answer: answer, waiter: r.next}, nil
	}
	return verdict{}, v.Err
}

// verdict is what to do with an admitted request.
type verdict struct {
	run    bool
	reply  *mtrequest.Reply
	answer chan *mtrequest.Reply
	waiter mtrecent.Waiter
}

// end notes what came of a request that begin let run, and tells the resends
// that wait for it.
func (r *recent) end(clock clock, q *mtrequest.Request, reply *mtrequest.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := mtrecent.Result{Outcome: reply.Outcome}
	if reply.Outcome == mtreply.Answered {
		outcome.Answer = &mtrecent.Answer{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
	}
	for _, waiter := range r.table.End(clock.Now(), nameOf(q), outcome) {
		r.waiters[waiter] <- reply
		delete(r.waiters, waiter)
	}
}

// wait returns the answer that a resend waits for, or an unknown outcome if its
// caller's time is up first.
func (r *recent) wait(ctx context.Context, q *mtrequest.Request, v verdict) (*mtrequest.Reply, error) {
	select {
	case reply := <-v.answer:
		same := *reply
		return &same, nil
	case <-ctx.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		r.table.RemoveWaiter(nameOf(q), v.waiter)
		delete(r.waiters, v.waiter)
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseEarlier, Err: ctx.Err()}
	}
}

func nameOf(q *mtrequest.Request) mtrecent.DedupKey {
	return mtrecent.DedupKey{Point: q.Point(), ID: uuid.UUID(q.ID)}
}

// exposure is how long after a takeover the requests of a range may be the ones
// that took its lost owner down: callers send again within seconds.
const exposure = 30 * time.Second

// expose marks a request that may have taken the VM of its key's last owner
// down. What that owner knew is lost with it, and if the caller asked it
// directly, nobody else knew. Two signs are left: the range came from a lost
// owner lately, and the caller's identifier is from before that. With both, the
// request is a suspect; one that isn't idempotent needn't be, since it is
// answered as unknown and never run.
func (o *Owner) expose(r *mtrequest.Request, class *mtbundle.Class, self mtid.Holder) {
	tables := o.View.Snapshot().Tables(r.Service)
	memory := o.recent(r.Service)
	memory.adopt(o.Clock, self, tables[mtshard.ChunkOf(r.Point(), len(tables))])
	lost, ok := memory.lost(r.Point())
	r.RecentTakeover = ok && o.Clock.Wall().Before(lost.Add(exposure))
	if r.RecentTakeover && class.Idempotent && !r.Minted && !r.ID.CreatedAt().After(lost) {
		r.Suspect = true
	}
}

// lost returns up to which time requests of a point may have run at an owner
// that is lost.
func (r *recent) lost(p mtid.Point) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Horizon(p)
}

// Adopt makes the memories answer for all shards that this daemon owns. It is
// called when an assignment changed, so that a range which came by failover is
// granted as of then, not as of its first request.
func (o *Owner) Adopt() {
	holder, _ := o.Lease.Permit()
	s := o.View.Snapshot()
	for _, ref := range s.Services() {
		for _, table := range s.Tables(ref) {
			if table != nil && len(table.OwnedBy(holder)) > 0 {
				o.recent(ref).adopt(o.Clock, holder, table)
			}
		}
	}
}

// Export returns the recent identifiers of a range for its new owner. It is
// called when nothing of the range is in flight.
func (o *Owner) Export(ref mtid.Ref, low, high mtid.Point) ([]byte, error) {
	// A range that no request has come for yet isn't adopted: without this its
	// new owner would get no memory at all, and answer "unknown" to callers
	// whose requests nobody has ever run.
	o.Adopt()
	r := o.recent(ref)
	r.mu.Lock()
	defer r.mu.Unlock()
	return mtrecent.Encode(r.table.Export(o.Clock.Now(), low, high))
}

// Import takes the recent identifiers of a range in, which from owned until
// now. They count once the assignment shows the move.
func (o *Owner) Import(ref mtid.Ref, low, high mtid.Point, from mtid.Holder, value []byte) error {
	handover, err := mtrecent.Decode(value)
	if err != nil {
		return err
	}
	if handover.Low != low || handover.High != high {
		return &mtrecent.RangeError{Low: handover.Low, High: handover.High}
	}
	r := o.recent(ref)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.table.Import(o.Clock.Now(), handover); err != nil {
		return err
	}
	r.imports[low] = imported{from: from, high: high}
	return nil
}

// forget drops the memory of a range that has a new owner.
func (r *recent) forget(low, high mtid.Point) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Revoke(low, high)
	for _, chunk := range r.epochs {
		for at := range chunk {
			if low <= at && at <= high {
				delete(chunk, at)
			}
		}
	}
}
