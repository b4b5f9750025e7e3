package mtscene

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtload"
	"magnoliaturn/core/mtplan"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
)

// life is how a server stands in a run.
type life int

const (
	absent life = iota
	serving
	leaving
	lost
	gone
)

// run is one run of one policy.
type run[P mtplan.Policy] struct {
	scene  Scene
	policy P
	at     time.Duration

	lives  []life
	load   []float64 // of each key, offered
	short  *memory
	long   *memory
	dice   *dice
	tables []*mtshard.Table
	table  []ownedLoad // shards in order, with true and measured load
	places map[mtid.Holder]int

	book     *mtload.Estimates
	throttle mtload.Throttle
	losses   mtplan.OwnerLosses
	paces    []mtload.ReportScheduler
	reports  []delivery
	frozen   []*mtload.Report
	sequence []uint64
	mean     float64
	next     time.Duration
	wishes   []wish
	left     map[departure]time.Duration
	stamps   uint64

	totals totals
	result Result
}

// ownedLoad is one shard with its loads.
type ownedLoad struct {
	shard      mtshard.Shard
	chunk      int
	load       float64
	seen, slow float64 // in the short and the long memory of the meters
}

// delivery is a report on its way.
type delivery struct {
	at     time.Duration
	report *mtload.Report
}

// wish is a move that an owner was asked for.
type wish struct {
	at   time.Duration
	move mtplan.Move
}

// batch is the moves that an owner could write at once.
type batch struct {
	owner mtid.Holder
	chunk int
}

// departure is a shard that left an owner.
type departure struct {
	low   mtid.Point
	owner mtid.Holder
}

// totals are sums from which the result is made.
type totals struct {
	load, shed, moved, unavailable float64
	perMinute                      []float64 // bytes of reports
	floors                         []float64
}

// Run lets a policy plan for a scene, from its first table to the end.
func Run[P mtplan.Policy](scene Scene, policy P) Result {
	r := newRun(scene, policy)
	for r.at = 0; r.at < scene.Length; r.at += time.Second {
		r.step()
	}
	return r.finish()
}

func newRun[P mtplan.Policy](scene Scene, policy P) *run[P] {
	n := len(scene.Servers)
	r := &run[P]{
		scene: scene, policy: policy,
		lives:    make([]life, n),
		load:     make([]float64, len(scene.Keys)),
		short:    newMemory(mtload.HalfLife, scene.Busy, len(scene.Keys)),
		long:     newMemory(mtload.SlowHalfLife, scene.Busy, len(scene.Keys)),
		dice:     newDice(scene.Seed),
		places:   make(map[mtid.Holder]int, n),
		book:     mtload.NewEstimates(),
		paces:    make([]mtload.ReportScheduler, n),
		frozen:   make([]*mtload.Report, n),
		sequence: make([]uint64, n),
		left:     make(map[departure]time.Duration),
	}
	r.totals.perMinute = make([]float64, int(scene.Length/time.Minute)+1)
	for i := range scene.Servers {
		r.places[r.holder(i)] = i
	}
	return r
}

func (r *run[P]) holder(server int) mtid.Holder {
	return mtid.Holder{Daemon: r.scene.Servers[server].Name, Incarnation: 1}
}

// now is the model's time as an instant. It starts past zero, which stands for
// "never" in some fields.
func (r *run[P]) now() mtclock.Instant { return mtclock.Instant(time.Hour).Add(r.at) }

func (r *run[P]) warm() bool { return r.at >= r.scene.WarmTime() }

func (r *run[P]) step() {
	r.scene.Load(r.at, r.load)
	r.measure()
	r.comeAndGo()
	r.create()
	r.sum()
	r.score()
	r.report()
	r.deliver()
	r.plan()
	r.carryOut()
}

// measure lets the meters follow the load.
func (r *run[P]) measure() {
	r.short.follow(r.load, r.dice)
	r.long.follow(r.load, r.dice)
}

// comeAndGo changes the servers' lives.
func (r *run[P]) comeAndGo() {
	for i := range r.scene.Servers {
		s := &r.scene.Servers[i]
		switch {
		case r.lives[i] == absent && r.at >= s.Joins:
			r.lives[i] = serving
		case r.lives[i] == serving && s.Leaves > 0 && r.at >= s.Leaves:
			r.lives[i] = leaving
		case r.lives[i] == leaving && !r.owns(i):
			r.lives[i] = gone
		case (r.lives[i] == serving || r.lives[i] == leaving) && s.Lost > 0 && r.at >= s.Lost:
			r.lives[i] = lost
		}
	}
	r.failOver()
}

func (r *run[P]) owns(server int) bool {
	for _, s := range r.table {
		if s.shard.Owner == r.holder(server) {
			return true
		}
	}
	return false
}

// failOver gives the shards of lost servers to the others, as every daemon of
// the router would compute it.
func (r *run[P]) failOver() {
	var dead []mtid.Holder
	for i := range r.scene.Servers {
		if r.lives[i] == lost && r.owns(i) {
			dead = append(dead, r.holder(i))
			r.lives[i] = gone
		}
	}
	if len(dead) == 0 {
		return
	}
	for _, s := range r.table {
		if slices.Contains(dead, s.shard.Owner) {
			r.losses.Record(r.now(), s.shard.Low)
			r.unavailable(s.load, LossPause)
		}
	}
	survivors := r.holders(serving)
	for chunk, table := range r.tables {
		r.apply(chunk, mtshard.Failover{Lost: dead, Survivors: table.Survivors(survivors)})
	}
}

func (r *run[P]) holders(l life) []mtid.Holder {
	var found []mtid.Holder
	for i := range r.scene.Servers {
		if r.lives[i] == l {
			found = append(found, r.holder(i))
		}
	}
	return found
}

func (r *run[P]) create() {
	if r.tables != nil {
		return
	}
	var members []mtplan.Member
	for i := range r.scene.Servers {
		if r.lives[i] == serving {
			members = append(members, mtplan.Member{
				Holder: r.holder(i),
				Zone:   r.scene.Servers[i].Zone,
				Slots:  r.scene.Servers[i].Slots,
			})
		}
	}
	for chunk, ops := range mtplan.InitialLayout(r.scene.Shards, r.scene.Chunks, members) {
		r.tables = append(r.tables, mtshard.New(r.scene.Ref, chunk, r.scene.Chunks))
		r.apply(chunk, ops...)
	}
}

// apply changes a chunk. Ops that don't fit are left out one by one, as a
// compare-and-swap that lost would be planned anew.
func (r *run[P]) apply(chunk int, ops ...mtshard.Op) bool {
	r.stamps++
	stamp := mtroster.WriteID{Writer: r.holder(0), Sequence: r.stamps}
	next, err := r.tables[chunk].Apply(stamp, ops...)
	if err != nil {
		return false
	}
	r.tables[chunk] = next
	return true
}

// sum adds up the loads of shards.
func (r *run[P]) sum() {
	r.table = r.table[:0]
	key := 0
	for chunk, t := range r.tables {
		for i, s := range t.Shards {
			last := chunk+1 == len(r.tables) && i+1 == len(t.Shards)
			high, _ := t.High(s.Low)
			o := ownedLoad{shard: s, chunk: chunk}
			for key < len(r.scene.Keys) && (last || r.scene.Keys[key] <= high) {
				o.load += r.load[key]
				o.seen += r.short.seen[key]
				o.slow += r.long.seen[key]
				key++
			}
			r.table = append(r.table, o)
		}
	}
}

// slots returns what a server can use at present.
func (r *run[P]) slots(server int) float64 {
	s := &r.scene.Servers[server]
	if s.Joins == 0 {
		return s.Slots
	}
	return s.Slots * mtplan.WarmShareAfter(r.at-s.Joins)
}

// plan runs a round of the policy if one is due.
func (r *run[P]) plan() {
	if r.at < r.next {
		return
	}
	r.next = r.at + roundTime
	state := r.state()
	plan := r.policy.Plan(r.now(), state)
	r.mean = state.Mean()
	for chunk := range r.tables {
		if ops := plan.Ops[chunk]; len(ops) > 0 {
			r.write(chunk, ops)
		}
	}
	if len(plan.Ops) > 0 {
		r.next = r.at + soonTime
	}
	for _, move := range plan.Moves {
		r.wishes = append(r.wishes, wish{at: r.at + moveTime, move: move})
	}
}

func (r *run[P]) write(chunk int, ops []mtshard.Op) {
	if !r.apply(chunk, ops...) || !r.warm() {
		return
	}
	r.result.Writes++
	r.result.Batches++
	for _, op := range ops {
		switch op.(type) {
		case mtshard.Split:
			r.result.Splits++
		case mtshard.Merge:
			r.result.Merges++
		}
	}
}

// state is what the policy sees.
func (r *run[P]) state() *mtplan.State {
	state := &mtplan.State{Weights: r.scene.Weights, Target: r.scene.Shards}
	for i := range r.scene.Servers {
		if r.lives[i] != serving && r.lives[i] != leaving {
			continue
		}
		s := &r.scene.Servers[i]
		heardAt, _ := r.book.LastReport(r.holder(i))
		state.Servers = append(state.Servers, mtplan.Server{
			Holder:     r.holder(i),
			Zone:       s.Zone,
			Slots:      s.Slots,
			WarmShare:  r.slots(i) / s.Slots,
			Leaving:    r.lives[i] == leaving,
			LoadKnown:  r.book.LoadKnown(r.now(), r.holder(i)),
			LastReport: heardAt,
		})
	}
	mtplan.SortServers(state.Servers)
	state.Shards = mtplan.CollectShards(r.now(), r.tables, state.Servers, r.book)
	state.HotKeys = r.book.HotKeys()
	state.Total = r.book.Total()
	r.losses.Pin(r.now(), state.Shards)
	return state
}

// carryOut lets owners do the moves that are due.
func (r *run[P]) carryOut() {
	done := make(map[mtid.Holder]int)
	var later []wish
	byChunk := make([][]mtshard.Op, len(r.tables))
	batches := make(map[batch]bool)
	for _, w := range r.wishes {
		if w.at > r.at {
			later = append(later, w)
			continue
		}
		if done[w.move.From] >= movesPerOwner {
			later = append(later, w)
			continue
		}
		if op, chunk, ok := r.accept(w.move); ok {
			done[w.move.From]++
			batches[batch{owner: w.move.From, chunk: chunk}] = true
			byChunk[chunk] = append(byChunk[chunk], op)
		}
	}
	r.wishes = later
	if r.warm() {
		r.result.Batches += len(batches)
	}
	for chunk, ops := range byChunk {
		if len(ops) > 0 {
			r.apply(chunk, ops...)
		}
	}
}

// accept checks a wish as the owner would, and counts it.
func (r *run[P]) accept(m mtplan.Move) (mtshard.Op, int, bool) {
	to := r.places[m.To]
	chunk := mtshard.ChunkOf(m.Low, len(r.tables))
	s, ok := r.tables[chunk].Lookup(m.Low)
	if !ok || s.Low != m.Low || s.Owner != m.From || r.lives[to] != serving {
		return nil, 0, false
	}
	if r.warm() {
		r.count(m)
	}
	return mtshard.Move{Low: m.Low, To: m.To}, chunk, true
}

// count adds a move to the figures.
func (r *run[P]) count(m mtplan.Move) {
	const backWithin = 2 * time.Minute
	i, _ := slices.BinarySearchFunc(r.table, m.Low, func(s ownedLoad, low mtid.Point) int {
		if s.shard.Low < low {
			return -1
		}
		if s.shard.Low > low {
			return 1
		}
		return 0
	})
	if i < len(r.table) && r.table[i].shard.Low == m.Low {
		r.totals.moved += r.table[i].load
		r.unavailable(r.table[i].load, MovePause)
	}
	r.result.Moves++
	r.result.Writes++
	if at, ok := r.left[departure{low: m.Low, owner: m.To}]; ok && r.at-at <= backWithin {
		r.result.Returns++
	}
	r.left[departure{low: m.Low, owner: m.From}] = r.at
}
