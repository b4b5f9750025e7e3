// Package mtshard implements the assignment of a keyed service: which holder owns
// which range of the ring, under which epoch, and how the assignment changes.
//
// A Table is one chunk of the assignment. It is changed only by ops (create,
// split, merge, move, failover), each of which is a deterministic function of
// the table. A change is therefore sent as a few bytes, and every daemon that
// applies it computes the same table as the one in the store. A failover op names
// the lost holders and the survivors only; the new owner of each shard follows
// from the rendezvous ranks, so the loss of an availability zone takes one short
// op per chunk.
//
// # Usage
//
//	next, err := table.Apply(writeID, mtshard.Move{Low: low, To: holder})
//	shard, ok := next.Lookup(ref.Point(key))
//
// A Table is immutable: Apply returns a new one. It is safe for concurrent use.
// A table does not permit its owners to serve: an owner may serve only while its
// lease is valid.
package mtshard

import (
	"cmp"
	"fmt"
	"maps"
	"math/bits"
	"slices"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
)

// RetainedSteps is the number of past steps that a stored chunk retains, so that a
// daemon that watches the store can forward deltas, and a writer can check
// whether a write with an unknown outcome took effect.
const RetainedSteps = 64

// Shard is a range of the ring with one owner. It extends from Low to the next
// shard's Low (exclusive), or to the end of the chunk.
type Shard struct {
	Low   mtid.Point
	Owner mtid.Holder
	Epoch mtid.Epoch
}

// Table is one chunk of a service's assignment.
type Table struct {
	Service   mtid.Ref
	Chunk     int
	Chunks    int
	Version   mtid.Version
	NextEpoch mtid.Epoch
	Shards    []Shard // ordered by Low; the first begins where the chunk does
	Steps     []Step  // the latest RetainedSteps steps, oldest first
}

// Step is the change that produced one version of a table.
type Step struct {
	Version mtid.Version
	WriteID mtroster.WriteID
	Ops     []Op
}

// Op is a single change of a table.
type Op interface {
	apply(t *Table) error
}

// Create divides an empty chunk into shards of equal width and assigns them to
// holders by rendezvous rank.
type Create struct {
	Shards  int
	Holders []mtid.Holder
}

// Split divides the shard that covers Point, so that a new shard begins at Point.
type Split struct{ Point mtid.Point }

// Merge joins the shard that begins at Low with the preceding one. Both must have
// the same owner.
type Merge struct{ Low mtid.Point }

// Move assigns the shard that begins at Low to another holder.
type Move struct {
	Low mtid.Point
	To  mtid.Holder
}

// Failover assigns all shards of the lost holders to the survivors.
type Failover struct {
	Lost      []mtid.Holder
	Survivors []mtid.Holder
}

// Evict assigns all shards of some owners to the other owners of the chunk. It is
// the short form of a Failover whose survivors are exactly those owners: the loss
// of an availability zone then takes two bytes for each lost daemon instead of the
// names of the whole fleet.
type Evict struct {
	OwnerIndexes []int // indexes of the lost owners in Table.Owners
}

// OpError reports that an op cannot be applied to a table.
type OpError struct {
	Op     Op
	Reason string
}

// Error implements error.
func (e *OpError) Error() string { return fmt.Sprintf("shard: cannot apply %T: %s", e.Op, e.Reason) }

// New returns the empty table (version zero) of a chunk.
func New(ref mtid.Ref, chunk, chunks int) *Table {
	return &Table{Service: ref, Chunk: chunk, Chunks: chunks, NextEpoch: 1}
}

// ChunkOf returns the number of the chunk that covers the point, if the ring is
// divided into the given number of chunks.
func ChunkOf(p mtid.Point, chunks int) int {
	hi, _ := bits.Mul64(uint64(p), uint64(chunks))
	return int(hi)
}

// ChunkLow returns the first point of a chunk.
func ChunkLow(chunk, chunks int) mtid.Point {
	if chunk == 0 {
		return 0
	}
	q, r := bits.Div64(uint64(chunk), 0, uint64(chunks))
	if r != 0 {
		q++
	}
	return mtid.Point(q)
}

// Apply returns the table that results from one step of ops. It does not modify
// t. Its errors are of type *OpError.
func (t *Table) Apply(writeID mtroster.WriteID, ops ...Op) (*Table, error) {
	next := *t
	next.Shards = slices.Clone(t.Shards)
	next.Version++
	for _, op := range ops {
		if err := op.apply(&next); err != nil {
			return nil, err
		}
	}
	step := Step{Version: next.Version, WriteID: writeID, Ops: ops}
	next.Steps = append(slices.Clone(t.Steps), step)
	if excess := len(next.Steps) - RetainedSteps; excess > 0 {
		next.Steps = next.Steps[excess:]
	}
	return &next, nil
}

// Replay returns the table that results from steps. Steps at or below t's version
// are skipped; the others must continue from t's next version without a gap. The
// error is a *GapError or an *OpError.
func (t *Table) Replay(steps []Step) (*Table, error) {
	next := t
	for _, s := range steps {
		if s.Version <= next.Version {
			continue
		}
		if s.Version != next.Version+1 {
			return nil, &GapError{Have: next.Version, Got: s.Version}
		}
		after, err := next.Apply(s.WriteID, s.Ops...)
		if err != nil {
			return nil, err
		}
		next = after
	}
	return next, nil
}

// GapError reports that steps between two versions are missing, so that the whole
// table has to be read. Have is the version of the table, Got that of the next
// step received.
type GapError struct {
	Have mtid.Version
	Got  mtid.Version
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("shard: steps between version %d of the table and version %d received are missing", e.Have, e.Got)
}

// StepsSince returns the steps after version, or false if some of them are no longer
// retained.
func (t *Table) StepsSince(version mtid.Version) ([]Step, bool) {
	if version >= t.Version {
		return nil, true
	}
	i := slices.IndexFunc(t.Steps, func(s Step) bool { return s.Version == version+1 })
	if i < 0 {
		return nil, false
	}
	return t.Steps[i:], true
}

// FindStep returns the step with the given write ID, if it is still retained. A
// writer that received no reply calls it to find out whether its write took
// effect.
func (t *Table) FindStep(writeID mtroster.WriteID) (Step, bool) {
	i := slices.IndexFunc(t.Steps, func(s Step) bool { return s.WriteID == writeID })
	if i < 0 {
		return Step{}, false
	}
	return t.Steps[i], true
}

// Lookup returns the shard that covers p. It is called for each request.
func (t *Table) Lookup(p mtid.Point) (Shard, bool) {
	i := t.index(p)
	if i < 0 {
		return Shard{}, false
	}
	return t.Shards[i], true
}

// High returns the last point of the shard that begins at low, or false if no
// shard begins there.
func (t *Table) High(low mtid.Point) (mtid.Point, bool) {
	i := t.index(low)
	if i < 0 || t.Shards[i].Low != low {
		return 0, false
	}
	if i+1 < len(t.Shards) {
		return t.Shards[i+1].Low - 1, true
	}
	return t.lastPoint(), true
}

// OwnedBy returns the shards that holder owns, ordered by Low.
func (t *Table) OwnedBy(holder mtid.Holder) []Shard {
	var owned []Shard
	for _, s := range t.Shards {
		if s.Owner == holder {
			owned = append(owned, s)
		}
	}
	return owned
}

// Owners returns the holders that own shards of the chunk, ordered by name and
// incarnation.
func (t *Table) Owners() []mtid.Holder {
	seen := make(map[mtid.Holder]bool)
	for _, s := range t.Shards {
		seen[s.Owner] = true
	}
	owners := slices.Collect(maps.Keys(seen))
	slices.SortFunc(owners, mtid.Holder.Compare)
	return owners
}

// CompactFailover returns the shortest op that changes t as f does: an Evict if the
// survivors are exactly the other owners of the chunk, else f itself.
func (t *Table) CompactFailover(f Failover) Op {
	var indexes []int
	remaining := 0
	for i, owner := range t.Owners() {
		switch {
		case slices.Contains(f.Lost, owner):
			indexes = append(indexes, i)
		case slices.Contains(f.Survivors, owner):
			remaining++
		default:
			return f
		}
	}
	if len(indexes) == 0 || remaining != len(f.Survivors) {
		return f
	}
	return Evict{OwnerIndexes: indexes}
}

// index returns the index of the shard that covers p, or -1.
func (t *Table) index(p mtid.Point) int {
	i, found := slices.BinarySearchFunc(t.Shards, p, func(s Shard, p mtid.Point) int {
		return cmp.Compare(s.Low, p)
	})
	if found {
		return i
	}
	return i - 1
}

// lastPoint returns the last point of the chunk.
func (t *Table) lastPoint() mtid.Point {
	if t.Chunk+1 == t.Chunks {
		return ^mtid.Point(0)
	}
	return ChunkLow(t.Chunk+1, t.Chunks) - 1
}

// allocateEpoch returns the next epoch and increments NextEpoch.
func (t *Table) allocateEpoch() mtid.Epoch {
	e := t.NextEpoch
	t.NextEpoch++
	return e
}

// Choose returns the holder with the highest rendezvous rank for p, or the zero
// holder if there are none.
func Choose(p mtid.Point, among []mtid.Holder) mtid.Holder {
	var best mtid.Holder
	var bestRank uint64
	for _, h := range among {
		rank := mtid.Rank(h.Daemon, p)
		if best.IsZero() || rank > bestRank || (rank == bestRank && h.Daemon < best.Daemon) {
			best, bestRank = h, rank
		}
	}
	return best
}

// MaxSurvivors limits the number of holders that take over from the lost owners
// of a chunk. With all 480 holders named in each op, the loss of an availability
// zone cost each daemon 2.7 MB for 250 chunks. Each chunk selects different
// holders, so the load of many lost owners is still spread over all of them.
const MaxSurvivors = 16

// Survivors returns the holders that take over in a chunk: the MaxSurvivors
// holders with the highest rendezvous rank for the chunk, ordered by name. All
// daemons that know the same holders select the same ones.
func (t *Table) Survivors(among []mtid.Holder) []mtid.Holder {
	low := t.Service.Point("") + ChunkLow(t.Chunk, t.Chunks)
	ranked := slices.Clone(among)
	slices.SortFunc(ranked, func(a, b mtid.Holder) int {
		return cmp.Or(cmp.Compare(mtid.Rank(b.Daemon, low), mtid.Rank(a.Daemon, low)), cmp.Compare(a.Daemon, b.Daemon))
	})
	ranked = ranked[:min(len(ranked), MaxSurvivors)]
	slices.SortFunc(ranked, mtid.Holder.Compare)
	return ranked
}

func (o Create) apply(t *Table) error {
	if len(t.Shards) > 0 {
		return &OpError{Op: o, Reason: "the chunk already has shards"}
	}
	if o.Shards < 1 || len(o.Holders) == 0 {
		return &OpError{Op: o, Reason: "at least one shard and one holder are required"}
	}
	low := ChunkLow(t.Chunk, t.Chunks)
	width := (uint64(t.lastPoint()-low) / uint64(o.Shards)) + 1
	for i := range o.Shards {
		at := low + mtid.Point(uint64(i)*width)
		t.Shards = append(t.Shards, Shard{Low: at, Owner: Choose(at, o.Holders), Epoch: t.allocateEpoch()})
	}
	return nil
}

func (o Split) apply(t *Table) error {
	if ChunkOf(o.Point, t.Chunks) != t.Chunk {
		return &OpError{Op: o, Reason: "the point belongs to another chunk"}
	}
	i := t.index(o.Point)
	if i < 0 {
		return &OpError{Op: o, Reason: "no shard covers the point"}
	}
	if t.Shards[i].Low == o.Point {
		return &OpError{Op: o, Reason: "a shard already begins at the point"}
	}
	part := t.Shards[i]
	part.Low = o.Point
	t.Shards = slices.Insert(t.Shards, i+1, part)
	return nil
}

func (o Merge) apply(t *Table) error {
	i := t.index(o.Low)
	if i < 1 || t.Shards[i].Low != o.Low {
		return &OpError{Op: o, Reason: "no shard begins at Low, or it is the first of the chunk"}
	}
	before := &t.Shards[i-1]
	if before.Owner != t.Shards[i].Owner {
		return &OpError{Op: o, Reason: "the two shards have different owners"}
	}
	// The merged shard has the higher of the two epochs, so that its epoch is
	// never lower than one that a backend server has seen for either half.
	before.Epoch = max(before.Epoch, t.Shards[i].Epoch)
	t.Shards = slices.Delete(t.Shards, i, i+1)
	return nil
}

func (o Move) apply(t *Table) error {
	i := t.index(o.Low)
	if i < 0 || t.Shards[i].Low != o.Low {
		return &OpError{Op: o, Reason: "no shard begins at Low"}
	}
	if o.To.IsZero() {
		return &OpError{Op: o, Reason: "no new owner is named"}
	}
	t.Shards[i].Owner = o.To
	t.Shards[i].Epoch = t.allocateEpoch()
	return nil
}

func (o Evict) apply(t *Table) error {
	owners := t.Owners()
	var f Failover
	for i, owner := range owners {
		if slices.Contains(o.OwnerIndexes, i) {
			f.Lost = append(f.Lost, owner)
			continue
		}
		f.Survivors = append(f.Survivors, owner)
	}
	if len(f.Lost) != len(o.OwnerIndexes) {
		return &OpError{Op: o, Reason: "an index is repeated or beyond the list of owners"}
	}
	return f.apply(t)
}

func (o Failover) apply(t *Table) error {
	if len(o.Survivors) == 0 {
		return &OpError{Op: o, Reason: "no survivor is named"}
	}
	lost := make(map[mtid.Holder]bool, len(o.Lost))
	for _, h := range o.Lost {
		lost[h] = true
	}
	for _, h := range o.Survivors {
		if lost[h] {
			return &OpError{Op: o, Reason: "a holder is named both as lost and as survivor"}
		}
	}
	for i := range t.Shards {
		s := &t.Shards[i]
		if !lost[s.Owner] {
			continue
		}
		s.Owner = Choose(s.Low, o.Survivors)
		s.Epoch = t.allocateEpoch()
	}
	return nil
}
