package mtscene

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

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

	book     *mtload.Book
	throttle mtload.Throttle
	losses   mtplan.Losses
	paces    []mtload.Pace
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
		book:     mtload.NewBook(),
		paces:    make([]mtload.Pace, n),
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

// dice is a supply of normally distributed numbers, drawn once and walked
// through by chance strides, since a run needs hundreds of millions.
type dice struct {
	source *rand.Rand
	drawn  []float64 // a power of two of them
}

func newDice(seed uint64) *dice {
	const count = 1 << 14
	d := &dice{source: rand.New(rand.NewPCG(seed, 1)), drawn: make([]float64, count)}
	for i := range d.drawn {
		d.drawn[i] = d.source.NormFloat64()
	}
	return d
}

// walk returns where to begin and how far to go each time.
func (d *dice) walk() (at, stride int) {
	return d.source.IntN(len(d.drawn)), 2*d.source.IntN(len(d.drawn)) + 1
}

// memory is an average that the meters keep of each key.
type memory struct {
	keep   float64   // what is left of it after a second
	spread float64   // standard deviation by chance of a load of one slot
	smooth []float64 // what it would be without chance
	chance []float64 // in standard deviations
	seen   []float64
}

func newMemory(halfLife, busy time.Duration, keys int) *memory {
	window := 2 * halfLife.Seconds() / math.Ln2
	return &memory{
		keep:   math.Exp2(-time.Second.Seconds() / halfLife.Seconds()),
		spread: math.Sqrt(busy.Seconds() / window),
		smooth: make([]float64, keys),
		chance: make([]float64, keys),
		seen:   make([]float64, keys),
	}
}

// follow lets the average follow the load for a second. It is off by chance as
// counts of requests are: the arrivals of a key are Poisson. A key's own average
// may fall below zero by that; only sums over many are looked at.
func (m *memory) follow(load []float64, d *dice) {
	fresh := math.Sqrt(1 - m.keep*m.keep)
	at, stride := d.walk()
	for i := range load {
		smooth := m.smooth[i]
		if smooth == 0 {
			smooth = load[i]
		}
		smooth = load[i] + (smooth-load[i])*m.keep
		at = (at + stride) & (len(d.drawn) - 1)
		chance := m.chance[i]*m.keep + d.drawn[at]*fresh
		m.seen[i] = smooth + chance*m.spread*math.Sqrt(smooth)
		m.smooth[i], m.chance[i] = smooth, chance
	}
}

// steady returns the load that a meter states, given its two averages of it.
func (r *run[P]) steady(short, long float64) float64 {
	busy := r.scene.Busy.Seconds()
	return mtload.Steady(max(0, short)/busy, max(0, long)/busy) * busy
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
			r.losses.Lost(r.now(), s.shard.Low)
			r.unavailable(s.load, LossPause)
		}
	}
	survivors := r.holders(serving)
	for chunk, table := range r.tables {
		r.apply(chunk, mtshard.Failover{Lost: dead, Among: table.Survivors(survivors)})
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
	for chunk, ops := range mtplan.Lay(r.scene.Shards, r.scene.Chunks, members) {
		r.tables = append(r.tables, mtshard.New(r.scene.Ref, chunk, r.scene.Chunks))
		r.apply(chunk, ops...)
	}
}

// apply changes a chunk. Ops that don't fit are left out one by one, as a
// compare-and-swap that lost would be planned anew.
func (r *run[P]) apply(chunk int, ops ...mtshard.Op) bool {
	r.stamps++
	stamp := mtroster.Stamp{Writer: r.holder(0), Sequence: r.stamps}
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
	return s.Slots * mtplan.Warmth(r.at-s.Joins)
}

// score adds the present second to the figures.
func (r *run[P]) score() {
	loads := make([]float64, len(r.scene.Servers))
	var total, room float64
	for _, s := range r.table {
		total += s.load
		if i, ok := r.places[s.shard.Owner]; ok {
			loads[i] += s.load
		}
	}
	servers := 0
	for i := range loads {
		if r.lives[i] == serving {
			room += r.slots(i)
			servers++
		}
	}
	mean := total / room
	worst, shed := 0.0, 0.0
	for i, load := range loads {
		if r.lives[i] != serving {
			continue
		}
		worst = max(worst, load/r.slots(i)/mean)
		shed += max(0, load-r.slots(i))
	}
	r.result.Series = append(r.result.Series, worst)
	if !r.warm() {
		return
	}
	r.totals.load += total
	r.totals.shed += shed
	r.totals.floors = append(r.totals.floors, slices.Max(r.load)/(total/float64(servers)))
}

func (r *run[P]) unavailable(load float64, pause time.Duration) {
	if r.warm() {
		r.totals.unavailable += load * pause.Seconds()
	}
}

// deliver hands the reports that have arrived to the book.
func (r *run[P]) deliver() {
	for len(r.reports) > 0 && r.reports[0].at <= r.at {
		report := r.reports[0].report
		r.reports = r.reports[1:]
		again := r.book.Take(r.now(), report, r.owned(report.From))
		server := r.places[report.From]
		load := report.Load / r.slots(server)
		pause := r.throttle.Arrived(r.now(), load > r.mean*(1+mtload.Band))
		r.paces[server].Heard(r.mean, pause, again)
	}
}

func (r *run[P]) owned(holder mtid.Holder) []mtshard.Shard {
	var found []mtshard.Shard
	for _, s := range r.table {
		if s.shard.Owner == holder {
			found = append(found, s.shard)
		}
	}
	return found
}

// report lets each server's daemon report if it is due.
func (r *run[P]) report() {
	byServer := make([][]ownedLoad, len(r.scene.Servers))
	for _, s := range r.table {
		if i, ok := r.places[s.shard.Owner]; ok {
			byServer[i] = append(byServer[i], s)
		}
	}
	for i := range r.scene.Servers {
		if r.lives[i] != serving && r.lives[i] != leaving {
			continue
		}
		load := r.claimed(i, byServer[i]) / r.slots(i)
		r.paces[i].Shards(mark(byServer[i]))
		if !r.paces[i].Due(r.now(), r.holder(i), r.holder(0), load, mtload.Spread(len(r.scene.Servers))) {
			continue
		}
		r.paces[i].Sent(r.now(), load)
		report := r.measured(i, byServer[i])
		r.reports = append(r.reports, delivery{at: r.at + r.scene.Faults.Late, report: report})
		r.totals.perMinute[int(r.at/time.Minute)] += reportBytes(report)
	}
}

// mark returns a number that differs when the shards do.
func mark(shards []ownedLoad) uint64 {
	var lows uint64
	for _, s := range shards {
		lows ^= uint64(s.shard.Low)
	}
	return lows
}

// reportBytes returns what a report costs the planner's daemon on the wire.
func reportBytes(report *mtload.Report) float64 {
	return float64(proto.Size(report.Wire()) + mtload.ReportHeaders)
}

// isFrozen reports whether a server repeats an old report.
func (r *run[P]) isFrozen(server int) bool {
	frozen := r.scene.Faults.Frozen
	return frozen != nil && frozen(server, r.at) && r.frozen[server] != nil
}

// factor returns what a server's reports multiply its load by.
func (r *run[P]) factor(server int) float64 {
	if r.scene.Faults.Lies == nil {
		return 1
	}
	return r.scene.Faults.Lies(server)
}

// claimed returns the load that a server's report would state.
func (r *run[P]) claimed(server int, shards []ownedLoad) float64 {
	if r.isFrozen(server) {
		return r.frozen[server].Load
	}
	short, long := 0.0, 0.0
	for _, s := range shards {
		short += s.seen
		long += s.slow
	}
	return r.steady(short, long) * r.factor(server)
}

// measured returns a server's report, with the faults of the scene.
func (r *run[P]) measured(server int, shards []ownedLoad) *mtload.Report {
	if r.isFrozen(server) {
		return r.frozen[server]
	}
	factor := r.factor(server)
	r.sequence[server]++
	report := &mtload.Report{From: r.holder(server), Service: r.scene.Ref, Sequence: r.sequence[server]}
	sum := 0.0
	for _, s := range shards {
		load := r.steady(s.seen, s.slow) * factor
		sum += load
		report.Shards = append(report.Shards, mtload.ShardLoad{Low: s.shard.Low, Load: load})
		report.Points = r.hottest(report.Points, s, factor)
	}
	report.Load = r.claimed(server, shards)
	report.Shards = mtload.Fit(report.Shards, report.Load, sum)
	report.Shards, report.Points = mtload.Cut(report.Shards, report.Points)
	r.frozen[server] = report
	return report
}

// hottest adds the keys of a shard that a sketch would find.
func (r *run[P]) hottest(points []mtload.PointLoad, s ownedLoad, factor float64) []mtload.PointLoad {
	const visible = 0.02 // slots
	if s.seen < visible {
		return points
	}
	high, _ := r.tables[s.chunk].High(s.shard.Low)
	first, _ := slices.BinarySearch(r.scene.Keys, s.shard.Low)
	for k := first; k < len(r.scene.Keys) && r.scene.Keys[k] <= high; k++ {
		if r.short.seen[k] >= visible {
			points = append(points, mtload.PointLoad{Point: r.scene.Keys[k], Load: r.short.seen[k] * factor})
		}
	}
	return points
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
		heardAt, _ := r.book.HeardAt(r.holder(i))
		state.Servers = append(state.Servers, mtplan.Server{
			Holder:  r.holder(i),
			Zone:    s.Zone,
			Slots:   s.Slots,
			Warm:    r.slots(i) / s.Slots,
			Leaving: r.lives[i] == leaving,
			Heard:   r.book.Heard(r.now(), r.holder(i)),
			HeardAt: heardAt,
		})
	}
	mtplan.SortServers(state.Servers)
	state.Shards = mtplan.Survey(r.now(), r.tables, state.Servers, r.book)
	state.Points = r.book.Points()
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

// finish makes the result from the sums.
func (r *run[P]) finish() Result {
	result := &r.result
	result.Scene, result.Policy = r.scene.Name, r.policy.Name()
	measured := result.Series[int(r.scene.WarmTime()/time.Second):]
	result.Mean = average(measured)
	sorted := slices.Sorted(slices.Values(measured))
	result.P99 = sorted[len(sorted)*99/100]
	result.Floor = average(r.totals.floors)
	result.Over, result.Longest = above(measured, Aim)
	seconds := float64(len(measured))
	result.Churn = r.totals.moved / r.totals.load * time.Minute.Seconds()
	result.Unavailable = time.Duration(r.totals.unavailable / r.totals.load * float64(time.Minute))
	result.Shed = r.totals.shed / r.totals.load
	for _, t := range r.tables {
		result.Shards += len(t.Shards)
	}
	result.ChunkBytes, result.StepBytes = sizes(r.tables)
	counted := r.totals.perMinute[int(r.scene.WarmTime()/time.Minute):]
	for _, bytes := range counted {
		result.ReportRate += bytes / seconds
		result.ReportPeak = max(result.ReportPeak, bytes/time.Minute.Seconds())
	}
	return *result
}

// sizes returns the mean size of a stored chunk and of a step.
func sizes(tables []*mtshard.Table) (chunk, step float64) {
	steps := 0
	for _, t := range tables {
		value, err := t.Encode()
		if err != nil {
			continue
		}
		chunk += float64(len(value)) / float64(len(tables))
		for _, w := range mtshard.WireSteps(t.Steps) {
			if w.GetVersion() > 1 {
				step += float64(proto.Size(w))
				steps++
			}
		}
	}
	return chunk, step / float64(max(1, steps))
}

func average(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// above returns the share of seconds over a bound, and the longest stretch.
func above(series []float64, bound float64) (float64, time.Duration) {
	count, stretch, longest := 0, 0, 0
	for _, v := range series {
		if v <= bound {
			stretch = 0
			continue
		}
		count++
		stretch++
		longest = max(longest, stretch)
	}
	return float64(count) / float64(len(series)), time.Duration(longest) * time.Second
}
