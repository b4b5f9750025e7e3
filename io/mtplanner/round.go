package mtplanner

import (
	"context"
	"slices"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtload"
	"magnoliaturn/core/mtplan"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtwire"
)

// serviceState is what the duty keeps of one service while its daemon leads it.
type serviceState struct {
	creation mtplan.SettleDetector
	policy   *mtplan.Planner
	book     *mtload.Estimates
	throttle mtload.Throttle
	losses   mtplan.OwnerLosses
	joined   map[mtid.Holder]mtclock.Instant
	slots    map[mtid.Holder]float64
	tables   []*mtshard.Table // of the last round, by chunk
	mean     float64
	next     mtclock.Instant
}

func newServiceState() *serviceState {
	return &serviceState{
		policy: mtplan.NewPlanner(),
		book:   mtload.NewEstimates(),
		joined: make(map[mtid.Holder]mtclock.Instant),
		slots:  make(map[mtid.Holder]float64),
	}
}

// round plans once for a service whose table is complete.
func (p *Planner) round(ctx context.Context, now mtclock.Instant, state *serviceState, ref mtid.Ref, service *mtbundle.Service, servers []*mtroster.Record) {
	tables, ok := p.tables(ref)
	if !ok {
		return
	}
	state.next = now.Add(RoundTime)
	state.noteLosses(now, tables)
	seen := state.survey(now, ref, service, servers, tables)
	plan := state.policy.Plan(now, seen)
	state.mean = seen.Mean()
	if p.config.Seen != nil {
		p.config.Seen(ref, seen)
	}
	for _, table := range tables {
		if ops := plan.Ops[table.Chunk]; len(ops) > 0 {
			p.writer.write(ctx, table, ops...)
			state.next = now.Add(SoonTime)
		}
	}
	for _, move := range plan.Moves {
		if !p.wishes.Put(wish{service: ref, move: move}) {
			state.policy.Refused(now, move.Low)
		}
	}
}

// tables returns all chunks of a service, or false if one is missing.
func (p *Planner) tables(ref mtid.Ref) ([]*mtshard.Table, bool) {
	first, ok := p.view.Table(ref, 0)
	if !ok {
		return nil, false
	}
	tables := []*mtshard.Table{first}
	for chunk := 1; chunk < first.Chunks; chunk++ {
		table, ok := p.view.Table(ref, chunk)
		if !ok {
			return nil, false
		}
		tables = append(tables, table)
	}
	return tables, true
}

// noteLosses compares tables with those of the last round, and notes the shards
// that a failover took from their owners since.
func (s *serviceState) noteLosses(now mtclock.Instant, tables []*mtshard.Table) {
	for i, table := range tables {
		if i >= len(s.tables) {
			break
		}
		before := s.tables[i]
		steps, _ := table.StepsSince(before.Version)
		lost := lostIn(steps)
		if len(lost) == 0 {
			continue
		}
		for _, shard := range before.Shards {
			if lost[shard.Owner] {
				s.losses.Record(now, shard.Low)
			}
		}
	}
	s.tables = tables
}

// lostIn returns the holders that steps name as lost.
func lostIn(steps []mtshard.Step) map[mtid.Holder]bool {
	lost := make(map[mtid.Holder]bool)
	for _, step := range steps {
		for _, op := range step.Ops {
			if failover, ok := op.(mtshard.Failover); ok {
				for _, holder := range failover.Lost {
					lost[holder] = true
				}
			}
		}
	}
	return lost
}

// survey puts together what the policy decides from.
func (s *serviceState) survey(now mtclock.Instant, ref mtid.Ref, service *mtbundle.Service, records []*mtroster.Record, tables []*mtshard.Table) *mtplan.State {
	state := &mtplan.State{Weights: service.Weights, Target: service.Shards}
	s.noteServers(now, ref, records, tables)
	for _, record := range records {
		if record.State == mtroster.Gone {
			continue
		}
		heardAt, _ := s.book.LastReport(record.Holder)
		state.Servers = append(state.Servers, mtplan.Server{
			Holder:     record.Holder,
			Zone:       record.Zone,
			Slots:      s.slots[record.Holder],
			WarmShare:  mtplan.WarmShareAfter(now.Sub(s.joined[record.Holder])),
			Leaving:    record.State == mtroster.Leaving,
			LoadKnown:  s.book.LoadKnown(now, record.Holder),
			LastReport: heardAt,
		})
	}
	mtplan.SortServers(state.Servers)
	state.Shards = mtplan.CollectShards(now, tables, state.Servers, s.book)
	state.HotKeys = s.book.HotKeys()
	state.Total = s.book.Total()
	s.losses.Pin(now, state.Shards)
	return state
}

// noteServers keeps when each server joined. One that owns shards when it is
// first seen has joined before this daemon became the leader, and is taken for
// warm.
func (s *serviceState) noteServers(now mtclock.Instant, ref mtid.Ref, records []*mtroster.Record, tables []*mtshard.Table) {
	live := make(map[mtid.Holder]bool, len(records))
	for _, record := range records {
		offer, _ := record.Offer(ref)
		live[record.Holder] = true
		s.slots[record.Holder] = float64(max(1, offer.Slots))
		if _, ok := s.joined[record.Holder]; ok {
			continue
		}
		s.joined[record.Holder] = now
		if slices.ContainsFunc(tables, func(t *mtshard.Table) bool { return len(t.OwnedBy(record.Holder)) > 0 }) {
			s.joined[record.Holder] = now.Add(-mtplan.WarmUpTime)
		}
	}
	for holder := range s.joined {
		if !live[holder] {
			delete(s.joined, holder)
			delete(s.slots, holder)
		}
	}
	s.book.Retain(func(holder mtid.Holder) bool { return live[holder] })
}

// ask carries one wish to the owner.
func (p *Planner) ask(ctx context.Context, w wish) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := p.mover.Move(ctx, w.move.From, w.service, w.move.Low, w.move.To)
	if err == nil {
		return
	}
	p.config.Log.Info("move not taken", "service", w.service, "low", uint64(w.move.Low), "from", w.move.From, "to", w.move.To, "error", err)
	// A full ring loses the refusal; the policy then waits until the wish
	// lapses by itself.
	p.refused.Put(w)
}

// forget tells the policy of a refusal.
func (p *Planner) forget(w wish) {
	if state, ok := p.services[w.service]; ok {
		state.policy.Refused(p.config.Now(), w.move.Low)
	}
}

// Report implements mtwire.PlannerServer. It hands the report to the duty and
// waits for the answer.
func (p *Planner) Report(ctx context.Context, w *mtwire.LoadReport) (*mtwire.LoadReply, error) {
	report, err := mtload.Read(w)
	if err != nil {
		return nil, err
	}
	d := delivery{report: report, answer: make(chan *mtwire.LoadReply, 1)}
	if !p.reports.Put(d) {
		return &mtwire.LoadReply{Leader: false}, nil
	}
	select {
	case reply := <-d.answer:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// take notes a report and returns the answer.
func (p *Planner) take(report *mtload.Report) *mtwire.LoadReply {
	state, ok := p.services[report.Service]
	if !ok || len(state.tables) == 0 {
		return &mtwire.LoadReply{}
	}
	now := p.config.Now()
	again := state.book.AddReport(now, report, state.owned(report.From))
	load := report.Load / max(1, state.slots[report.From])
	pause := state.throttle.Arrived(now, load > state.mean*(1+mtload.Band))
	return mtload.Reply{Mean: state.mean, Pause: pause, Again: again}.Wire()
}

// owned returns the shards that the tables of the last round give a holder.
func (s *serviceState) owned(holder mtid.Holder) []mtshard.Shard {
	var found []mtshard.Shard
	for _, table := range s.tables {
		found = append(found, table.OwnedBy(holder)...)
	}
	return found
}
