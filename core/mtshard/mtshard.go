// Package mtshard is the assignment of a keyed service: which holder owns which
// range of the ring, under which epoch, and how that changes.
//
// A Table is one chunk of the assignment. It changes only by ops (create,
// split, merge, move, failover), each a deterministic function of the table, so
// that a change can travel as a few bytes and every daemon that applies it
// arrives at the same table as the one in the store. A failover op names the
// lost holders and the survivors; who gets which shard follows by rendezvous
// rank, so the loss of an availability zone costs one short op per chunk.
//
// # Usage
//
//	next, err := table.Apply(stamp, mtshard.Move{Low: low, To: holder})
//	shard, ok := next.Lookup(ref.Point(key))
//
// A Table is immutable: Apply returns a new one. It is safe for concurrent use.
// The owner in a table may serve only while its lease is valid; the table alone
// is no permission.
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

// KeptSteps is how many past steps a stored chunk carries, so that a daemon
// that watches the store can pass deltas on, and a writer in doubt can find
// its own write.
const KeptSteps = 64

// Shard is a range of the ring with one owner. It reaches from Low to the next
// shard's Low, or to the end of the chunk.
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
	Shards    []Shard // ordered by Low; the first begins at the chunk's low
	Steps     []Step  // the newest KeptSteps steps, oldest first
}

// Step is the change that made one version.
type Step struct {
	Version mtid.Version
	Stamp   mtroster.WriteID
	Ops     []Op
}

// Op is one change of a table.
type Op interface {
	apply(t *Table) error
}

// Create lays the first shards of a chunk.
type Create struct {
	Shards int
	Among  []mtid.Holder
}

// Split cuts the shard that covers Point, so that one begins at Point.
type Split struct{ Point mtid.Point }

// Merge joins the shard that begins at Low to the one before it. Both must
// have the same owner.
type Merge struct{ Low mtid.Point }

// Move gives the shard that begins at Low to another holder.
type Move struct {
	Low mtid.Point
	To  mtid.Holder
}

// Failover gives all shards of the lost holders to others.
type Failover struct {
	Lost  []mtid.Holder
	Among []mtid.Holder
}

// Evict gives all shards of some owners to the other owners of the chunk. It is
// the short form of a Failover whose survivors are just these: the loss of an
// availability zone then costs two bytes a daemon lost instead of the names of
// the whole fleet.
type Evict struct {
	Places []int // of the lost, among Owners
}

// OpError says that an op does not fit the table that it met.
type OpError struct {
	Op     Op
	Reason string
}

// Error implements error.
func (e *OpError) Error() string { return fmt.Sprintf("shard: %T: %s", e.Op, e.Reason) }

// New returns the empty table (version zero) of a chunk.
func New(ref mtid.Ref, chunk, chunks int) *Table {
	return &Table{Service: ref, Chunk: chunk, Chunks: chunks, NextEpoch: 1}
}

// ChunkOf returns which of chunks covers the point.
func ChunkOf(p mtid.Point, chunks int) int {
	hi, _ := bits.Mul64(uint64(p), uint64(chunks))
	return int(hi)
}

// ChunkLow returns where a chunk begins on the ring.
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

// Apply returns the table after one step of ops. t stays as it was. It fails
// with an *OpError, and then nothing has changed.
func (t *Table) Apply(stamp mtroster.WriteID, ops ...Op) (*Table, error) {
	next := *t
	next.Shards = slices.Clone(t.Shards)
	next.Version++
	for _, op := range ops {
		if err := op.apply(&next); err != nil {
			return nil, err
		}
	}
	step := Step{Version: next.Version, Stamp: stamp, Ops: ops}
	next.Steps = append(slices.Clone(t.Steps), step)
	if over := len(next.Steps) - KeptSteps; over > 0 {
		next.Steps = next.Steps[over:]
	}
	return &next, nil
}

// Replay returns the table after steps, which must begin at t's next version.
// Steps at or below t's version are passed over. It fails with a *GapError or
// an *OpError.
func (t *Table) Replay(steps []Step) (*Table, error) {
	next := t
	for _, s := range steps {
		if s.Version <= next.Version {
			continue
		}
		if s.Version != next.Version+1 {
			return nil, &GapError{Have: next.Version, Got: s.Version}
		}
		after, err := next.Apply(s.Stamp, s.Ops...)
		if err != nil {
			return nil, err
		}
		next = after
	}
	return next, nil
}

// GapError says that steps between two versions are missing, so that the whole
// table has to be read.
type GapError struct {
	Have mtid.Version
	Got  mtid.Version
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("shard: steps from version %d to %d are missing", e.Have, e.Got)
}

// Since returns the steps after version, and whether they are complete.
func (t *Table) Since(version mtid.Version) ([]Step, bool) {
	if version >= t.Version {
		return nil, true
	}
	i := slices.IndexFunc(t.Steps, func(s Step) bool { return s.Version == version+1 })
	if i < 0 {
		return nil, false
	}
	return t.Steps[i:], true
}

// Wrote returns the step with that stamp, if it is among the kept ones. A
// writer whose answer was lost calls it to learn whether its write landed.
func (t *Table) Wrote(stamp mtroster.WriteID) (Step, bool) {
	i := slices.IndexFunc(t.Steps, func(s Step) bool { return s.Stamp == stamp })
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

// High returns the last point of the shard that begins at low, or false if
// none begins there.
func (t *Table) High(low mtid.Point) (mtid.Point, bool) {
	i := t.index(low)
	if i < 0 || t.Shards[i].Low != low {
		return 0, false
	}
	if i+1 < len(t.Shards) {
		return t.Shards[i+1].Low - 1, true
	}
	return t.last(), true
}

// Owned returns the shards of holder, in order.
func (t *Table) Owned(holder mtid.Holder) []Shard {
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

// Short returns the op that changes t as f does and is the shortest to send: an
// Evict where the survivors are the other owners of the chunk, else f itself.
func (t *Table) Short(f Failover) Op {
	var places []int
	rest := 0
	for i, owner := range t.Owners() {
		switch {
		case slices.Contains(f.Lost, owner):
			places = append(places, i)
		case slices.Contains(f.Among, owner):
			rest++
		default:
			return f
		}
	}
	if len(places) == 0 || rest != len(f.Among) {
		return f
	}
	return Evict{Places: places}
}

// index returns the place of the shard that covers p, or -1.
func (t *Table) index(p mtid.Point) int {
	i, found := slices.BinarySearchFunc(t.Shards, p, func(s Shard, p mtid.Point) int {
		return cmp.Compare(s.Low, p)
	})
	if found {
		return i
	}
	return i - 1
}

// last returns the last point of the chunk.
func (t *Table) last() mtid.Point {
	if t.Chunk+1 == t.Chunks {
		return ^mtid.Point(0)
	}
	return ChunkLow(t.Chunk+1, t.Chunks) - 1
}

// epoch takes the next epoch.
func (t *Table) epoch() mtid.Epoch {
	e := t.NextEpoch
	t.NextEpoch++
	return e
}

// Choose returns the rendezvous choice for p among holders, or the zero holder
// if there are none.
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

// MaxSurvivors is how many holders take over from the lost owners of a chunk.
// Naming all of 480 cost each daemon 2.7 MB for the loss of an availability zone
// in 250 chunks. Chunks choose differently, so the loss of many owners is still
// spread over all.
const MaxSurvivors = 16

// Survivors returns who takes over in a chunk: the first MaxSurvivors of the
// holders by rendezvous rank for the chunk, ordered by name. All daemons that
// see the same holders choose alike.
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
		return &OpError{Op: o, Reason: "the chunk has shards already"}
	}
	if o.Shards < 1 || len(o.Among) == 0 {
		return &OpError{Op: o, Reason: "needs a shard and a holder"}
	}
	low := ChunkLow(t.Chunk, t.Chunks)
	width := (uint64(t.last()-low) / uint64(o.Shards)) + 1
	for i := range o.Shards {
		at := low + mtid.Point(uint64(i)*width)
		t.Shards = append(t.Shards, Shard{Low: at, Owner: Choose(at, o.Among), Epoch: t.epoch()})
	}
	return nil
}

func (o Split) apply(t *Table) error {
	if ChunkOf(o.Point, t.Chunks) != t.Chunk {
		return &OpError{Op: o, Reason: "the point lies in another chunk"}
	}
	i := t.index(o.Point)
	if i < 0 {
		return &OpError{Op: o, Reason: "no shard covers the point"}
	}
	if t.Shards[i].Low == o.Point {
		return &OpError{Op: o, Reason: "a shard begins there already"}
	}
	part := t.Shards[i]
	part.Low = o.Point
	t.Shards = slices.Insert(t.Shards, i+1, part)
	return nil
}

func (o Merge) apply(t *Table) error {
	i := t.index(o.Low)
	if i < 1 || t.Shards[i].Low != o.Low {
		return &OpError{Op: o, Reason: "no shard begins there with one before it"}
	}
	before := &t.Shards[i-1]
	if before.Owner != t.Shards[i].Owner {
		return &OpError{Op: o, Reason: "the two shards have different owners"}
	}
	// The higher epoch is kept: an epoch seen by a backend server for either
	// half must never be undercut by the whole.
	before.Epoch = max(before.Epoch, t.Shards[i].Epoch)
	t.Shards = slices.Delete(t.Shards, i, i+1)
	return nil
}

func (o Move) apply(t *Table) error {
	i := t.index(o.Low)
	if i < 0 || t.Shards[i].Low != o.Low {
		return &OpError{Op: o, Reason: "no shard begins there"}
	}
	if o.To.IsZero() {
		return &OpError{Op: o, Reason: "names no holder"}
	}
	t.Shards[i].Owner = o.To
	t.Shards[i].Epoch = t.epoch()
	return nil
}

func (o Evict) apply(t *Table) error {
	owners := t.Owners()
	var f Failover
	for i, owner := range owners {
		if slices.Contains(o.Places, i) {
			f.Lost = append(f.Lost, owner)
			continue
		}
		f.Among = append(f.Among, owner)
	}
	if len(f.Lost) != len(o.Places) {
		return &OpError{Op: o, Reason: "names a place that no owner has"}
	}
	return f.apply(t)
}

func (o Failover) apply(t *Table) error {
	if len(o.Among) == 0 {
		return &OpError{Op: o, Reason: "names no survivor"}
	}
	lost := make(map[mtid.Holder]bool, len(o.Lost))
	for _, h := range o.Lost {
		lost[h] = true
	}
	for _, h := range o.Among {
		if lost[h] {
			return &OpError{Op: o, Reason: "a survivor is among the lost"}
		}
	}
	for i := range t.Shards {
		s := &t.Shards[i]
		if !lost[s.Owner] {
			continue
		}
		s.Owner = Choose(s.Low, o.Among)
		s.Epoch = t.epoch()
	}
	return nil
}
