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

// serverState is the lifecycle state of a server in a run.
type serverState int

const (
	absent serverState = iota
	serving
	leaving
	lost
	removed
)

// run is the state of one policy running through one scenario.
type run[P mtplan.Policy] struct {
	scenario Scenario
	policy   P
	at       time.Duration

	states      []serverState
	load        []float64 // offered load of each key
	short       *keyAverages
	long        *keyAverages
	noise       *noiseSource
	tables      []*mtshard.Table
	shardLoads  []ownedLoad // all shards in order, with actual and measured loads
	serverIndex map[mtid.Holder]int

	estimates     *mtload.Estimates
	throttle      mtload.Throttle
	losses        mtplan.OwnerLosses
	schedulers    []mtload.ReportScheduler
	reports       []delivery
	lastReports   []*mtload.Report // repeated by servers whose reports are frozen
	sequence      []uint64
	mean          float64
	nextPlan      time.Duration // when the next planning round is due
	pendingMoves  []pendingMove
	departedAt    map[departure]time.Duration
	writeSequence uint64

	totals totals
	result Result
}

// ownedLoad is a shard with its actual and measured loads.
type ownedLoad struct {
	shard       mtshard.Shard
	chunk       int
	load        float64
	short, long float64 // short-term and long-term averages of the meters
}

// delivery is a report in transit, with its time of arrival.
type delivery struct {
	at     time.Duration
	report *mtload.Report
}

// pendingMove is a requested move and the time at which the owner executes it.
type pendingMove struct {
	at   time.Duration
	move mtplan.Move
}

// batch identifies the moves that an owner could combine into one write.
type batch struct {
	owner mtid.Holder
	chunk int
}

// departure identifies a shard and an owner that it moved away from.
type departure struct {
	low   mtid.Point
	owner mtid.Holder
}

// totals holds the sums from which the result is computed.
type totals struct {
	load, shed, moved, unavailable float64
	perMinute                      []float64 // bytes of reports in each minute
	floors                         []float64
}

// Run executes a scenario from start to end with a policy as the planner.
func Run[P mtplan.Policy](scenario Scenario, policy P) Result {
	r := newRun(scenario, policy)
	for r.at = 0; r.at < scenario.Length; r.at += time.Second {
		r.step()
	}
	return r.buildResult()
}

func newRun[P mtplan.Policy](scenario Scenario, policy P) *run[P] {
	n := len(scenario.Servers)
	r := &run[P]{
		scenario: scenario, policy: policy,
		states:      make([]serverState, n),
		load:        make([]float64, len(scenario.Keys)),
		short:       newKeyAverages(mtload.HalfLife, scenario.ServiceTime, len(scenario.Keys)),
		long:        newKeyAverages(mtload.SlowHalfLife, scenario.ServiceTime, len(scenario.Keys)),
		noise:       newNoiseSource(scenario.Seed),
		serverIndex: make(map[mtid.Holder]int, n),
		estimates:   mtload.NewEstimates(),
		schedulers:  make([]mtload.ReportScheduler, n),
		lastReports: make([]*mtload.Report, n),
		sequence:    make([]uint64, n),
		departedAt:  make(map[departure]time.Duration),
	}
	r.totals.perMinute = make([]float64, int(scenario.Length/time.Minute)+1)
	for i := range scenario.Servers {
		r.serverIndex[r.holder(i)] = i
	}
	return r
}

func (r *run[P]) holder(server int) mtid.Holder {
	return mtid.Holder{Daemon: r.scenario.Servers[server].Name, Incarnation: 1}
}

// now returns the model time as an instant. It starts above zero, since zero means
// "never" in some fields.
func (r *run[P]) now() mtclock.Instant { return mtclock.Instant(time.Hour).Add(r.at) }

func (r *run[P]) warmedUp() bool { return r.at >= r.scenario.WarmTime() }

func (r *run[P]) step() {
	r.scenario.Load(r.at, r.load)
	r.updateMeters()
	r.updateServers()
	r.createTables()
	r.sumShardLoads()
	r.recordSecond()
	r.sendReports()
	r.deliverReports()
	r.plan()
	r.executeMoves()
}

// updateMeters advances the meters' averages by a second.
func (r *run[P]) updateMeters() {
	r.short.update(r.load, r.noise)
	r.long.update(r.load, r.noise)
}

// updateServers applies the joins, drains, removals and losses that are due.
func (r *run[P]) updateServers() {
	for i := range r.scenario.Servers {
		s := &r.scenario.Servers[i]
		switch {
		case r.states[i] == absent && r.at >= s.Joins:
			r.states[i] = serving
		case r.states[i] == serving && s.Leaves > 0 && r.at >= s.Leaves:
			r.states[i] = leaving
		case r.states[i] == leaving && !r.owns(i):
			r.states[i] = removed
		case (r.states[i] == serving || r.states[i] == leaving) && s.Lost > 0 && r.at >= s.Lost:
			r.states[i] = lost
		}
	}
	r.failOver()
}

func (r *run[P]) owns(server int) bool {
	for _, s := range r.shardLoads {
		if s.shard.Owner == r.holder(server) {
			return true
		}
	}
	return false
}

// failOver reassigns the shards of lost servers to the survivors by the same
// computation as the daemons of the router.
func (r *run[P]) failOver() {
	var lostHolders []mtid.Holder
	for i := range r.scenario.Servers {
		if r.states[i] == lost && r.owns(i) {
			lostHolders = append(lostHolders, r.holder(i))
			r.states[i] = removed
		}
	}
	if len(lostHolders) == 0 {
		return
	}
	for _, s := range r.shardLoads {
		if slices.Contains(lostHolders, s.shard.Owner) {
			r.losses.Record(r.now(), s.shard.Low)
			r.addUnavailable(s.load, LossPause)
		}
	}
	survivors := r.holders(serving)
	for chunk, table := range r.tables {
		r.apply(chunk, mtshard.Failover{Lost: lostHolders, Survivors: table.Survivors(survivors)})
	}
}

func (r *run[P]) holders(state serverState) []mtid.Holder {
	var found []mtid.Holder
	for i := range r.scenario.Servers {
		if r.states[i] == state {
			found = append(found, r.holder(i))
		}
	}
	return found
}

func (r *run[P]) createTables() {
	if r.tables != nil {
		return
	}
	var members []mtplan.Member
	for i := range r.scenario.Servers {
		if r.states[i] == serving {
			members = append(members, mtplan.Member{
				Holder: r.holder(i),
				Zone:   r.scenario.Servers[i].Zone,
				Slots:  r.scenario.Servers[i].Slots,
			})
		}
	}
	for chunk, ops := range mtplan.InitialLayout(r.scenario.Shards, r.scenario.Chunks, members) {
		r.tables = append(r.tables, mtshard.New(r.scenario.Ref, chunk, r.scenario.Chunks))
		r.apply(chunk, ops...)
	}
}

// apply writes ops to a chunk. If one of them does not apply, none is written, as
// with a compare-and-swap that failed; the policy plans again in a later round.
func (r *run[P]) apply(chunk int, ops ...mtshard.Op) bool {
	r.writeSequence++
	writeID := mtroster.WriteID{Writer: r.holder(0), Sequence: r.writeSequence}
	next, err := r.tables[chunk].Apply(writeID, ops...)
	if err != nil {
		return false
	}
	r.tables[chunk] = next
	return true
}

// sumShardLoads computes the loads of all shards from those of their keys.
func (r *run[P]) sumShardLoads() {
	r.shardLoads = r.shardLoads[:0]
	key := 0
	for chunk, t := range r.tables {
		for i, s := range t.Shards {
			last := chunk+1 == len(r.tables) && i+1 == len(t.Shards)
			high, _ := t.High(s.Low)
			o := ownedLoad{shard: s, chunk: chunk}
			for key < len(r.scenario.Keys) && (last || r.scenario.Keys[key] <= high) {
				o.load += r.load[key]
				o.short += r.short.measured[key]
				o.long += r.long.measured[key]
				key++
			}
			r.shardLoads = append(r.shardLoads, o)
		}
	}
}

// slots returns the usable slots of a server, fewer while it warms up after
// joining.
func (r *run[P]) slots(server int) float64 {
	s := &r.scenario.Servers[server]
	if s.Joins == 0 {
		return s.Slots
	}
	return s.Slots * mtplan.WarmShareAfter(r.at-s.Joins)
}

// plan runs a planning round if one is due, writes its splits and merges, and
// queues its moves.
func (r *run[P]) plan() {
	if r.at < r.nextPlan {
		return
	}
	r.nextPlan = r.at + planInterval
	state := r.state()
	plan := r.policy.Plan(r.now(), state)
	r.mean = state.Mean()
	for chunk := range r.tables {
		if ops := plan.Ops[chunk]; len(ops) > 0 {
			r.writeOps(chunk, ops)
		}
	}
	if len(plan.Ops) > 0 {
		r.nextPlan = r.at + replanDelay
	}
	for _, move := range plan.Moves {
		r.pendingMoves = append(r.pendingMoves, pendingMove{at: r.at + moveDelay, move: move})
	}
}

func (r *run[P]) writeOps(chunk int, ops []mtshard.Op) {
	if !r.apply(chunk, ops...) || !r.warmedUp() {
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

// state returns the input of the policy.
func (r *run[P]) state() *mtplan.State {
	state := &mtplan.State{Weights: r.scenario.Weights, Target: r.scenario.Shards}
	for i := range r.scenario.Servers {
		if r.states[i] != serving && r.states[i] != leaving {
			continue
		}
		s := &r.scenario.Servers[i]
		lastReport, _ := r.estimates.LastReport(r.holder(i))
		state.Servers = append(state.Servers, mtplan.Server{
			Holder:     r.holder(i),
			Zone:       s.Zone,
			Slots:      s.Slots,
			WarmShare:  r.slots(i) / s.Slots,
			Leaving:    r.states[i] == leaving,
			LoadKnown:  r.estimates.LoadKnown(r.now(), r.holder(i)),
			LastReport: lastReport,
		})
	}
	mtplan.SortServers(state.Servers)
	state.Shards = mtplan.CollectShards(r.now(), r.tables, state.Servers, r.estimates)
	state.HotKeys = r.estimates.HotKeys()
	state.Total = r.estimates.Total()
	r.losses.Pin(r.now(), state.Shards)
	return state
}

// executeMoves executes the moves that are due, up to movesPerOwner for each
// owner.
func (r *run[P]) executeMoves() {
	done := make(map[mtid.Holder]int)
	var later []pendingMove
	byChunk := make([][]mtshard.Op, len(r.tables))
	batches := make(map[batch]bool)
	for _, p := range r.pendingMoves {
		if p.at > r.at {
			later = append(later, p)
			continue
		}
		if done[p.move.From] >= movesPerOwner {
			later = append(later, p)
			continue
		}
		if op, chunk, ok := r.checkMove(p.move); ok {
			done[p.move.From]++
			batches[batch{owner: p.move.From, chunk: chunk}] = true
			byChunk[chunk] = append(byChunk[chunk], op)
		}
	}
	r.pendingMoves = later
	if r.warmedUp() {
		r.result.Batches += len(batches)
	}
	for chunk, ops := range byChunk {
		if len(ops) > 0 {
			r.apply(chunk, ops...)
		}
	}
}

// checkMove validates a move as its owner would, and counts it if it is valid.
func (r *run[P]) checkMove(m mtplan.Move) (mtshard.Op, int, bool) {
	to := r.serverIndex[m.To]
	chunk := mtshard.ChunkOf(m.Low, len(r.tables))
	s, ok := r.tables[chunk].Lookup(m.Low)
	if !ok || s.Low != m.Low || s.Owner != m.From || r.states[to] != serving {
		return nil, 0, false
	}
	if r.warmedUp() {
		r.countMove(m)
	}
	return mtshard.Move{Low: m.Low, To: m.To}, chunk, true
}

// countMove adds a move to the result.
func (r *run[P]) countMove(m mtplan.Move) {
	const returnWindow = 2 * time.Minute
	i, _ := slices.BinarySearchFunc(r.shardLoads, m.Low, func(s ownedLoad, low mtid.Point) int {
		if s.shard.Low < low {
			return -1
		}
		if s.shard.Low > low {
			return 1
		}
		return 0
	})
	if i < len(r.shardLoads) && r.shardLoads[i].shard.Low == m.Low {
		r.totals.moved += r.shardLoads[i].load
		r.addUnavailable(r.shardLoads[i].load, MovePause)
	}
	r.result.Moves++
	r.result.Writes++
	if at, ok := r.departedAt[departure{low: m.Low, owner: m.To}]; ok && r.at-at <= returnWindow {
		r.result.Returns++
	}
	r.departedAt[departure{low: m.Low, owner: m.From}] = r.at
}
