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

// serviceState is the state of the planner for a service that this daemon leads.
type serviceState struct {
	creation  mtplan.SettleDetector
	policy    *mtplan.Planner
	estimates *mtload.Estimates
	throttle  mtload.Throttle
	losses    mtplan.OwnerLosses
	joined    map[mtid.Holder]mtclock.Instant
	slots     map[mtid.Holder]float64
	tables    []*mtshard.Table // as of the last round, by chunk
	mean      float64
	nextRound mtclock.Instant
}

func newServiceState() *serviceState {
	return &serviceState{
		policy:    mtplan.NewPlanner(),
		estimates: mtload.NewEstimates(),
		joined:    make(map[mtid.Holder]mtclock.Instant),
		slots:     make(map[mtid.Holder]float64),
	}
}

// round runs the policy for a service unless a chunk of its assignment is missing,
// writes the planned splits and merges, and queues the planned moves.
func (p *Planner) round(ctx context.Context, now mtclock.Instant, state *serviceState, ref mtid.Ref, service *mtbundle.Service, servers []*mtroster.Record) {
	tables, ok := p.tables(ref)
	if !ok {
		return
	}
	state.nextRound = now.Add(RoundInterval)
	state.recordLosses(now, tables)
	input := state.policyInput(now, ref, service, servers, tables)
	plan := state.policy.Plan(now, input)
	state.mean = input.Mean()
	if p.config.ObserveRound != nil {
		p.config.ObserveRound(ref, input)
	}
	for _, table := range tables {
		if ops := plan.Ops[table.Chunk]; len(ops) > 0 {
			p.writer.write(ctx, table, ops...)
			state.nextRound = now.Add(FollowUpInterval)
		}
	}
	for _, move := range plan.Moves {
		if !p.moveRequests.Put(moveRequest{service: ref, move: move}) {
			state.policy.Refused(now, move.Low)
		}
	}
}

// tables returns all chunks of a service's assignment, or false if one is missing.
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

// recordLosses records the shards whose owners were lost since the last round, that
// is, those that a failover has reassigned.
func (s *serviceState) recordLosses(now mtclock.Instant, tables []*mtshard.Table) {
	for i, table := range tables {
		if i >= len(s.tables) {
			break
		}
		before := s.tables[i]
		steps, _ := table.StepsSince(before.Version)
		lost := lostHolders(steps)
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

// lostHolders returns the holders that failovers among the steps declare lost.
func lostHolders(steps []mtshard.Step) map[mtid.Holder]bool {
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

// policyInput builds the input of the policy.
func (s *serviceState) policyInput(now mtclock.Instant, ref mtid.Ref, service *mtbundle.Service, records []*mtroster.Record, tables []*mtshard.Table) *mtplan.State {
	state := &mtplan.State{Weights: service.Weights, Target: service.Shards}
	s.updateServers(now, ref, records, tables)
	for _, record := range records {
		if record.State == mtroster.Gone {
			continue
		}
		lastReport, _ := s.estimates.LastReport(record.Holder)
		state.Servers = append(state.Servers, mtplan.Server{
			Holder:     record.Holder,
			Zone:       record.Zone,
			Slots:      s.slots[record.Holder],
			WarmShare:  mtplan.WarmShareAfter(now.Sub(s.joined[record.Holder])),
			Leaving:    record.State == mtroster.Leaving,
			LoadKnown:  s.estimates.LoadKnown(now, record.Holder),
			LastReport: lastReport,
		})
	}
	mtplan.SortServers(state.Servers)
	state.Shards = mtplan.CollectShards(now, tables, state.Servers, s.estimates)
	state.HotKeys = s.estimates.HotKeys()
	state.Total = s.estimates.Total()
	s.losses.Pin(now, state.Shards)
	return state
}

// updateServers updates the slots and the joining times of the servers. A server that
// already owns shards when it is first seen joined before this daemon became the
// leader, and is assumed to be warm.
func (s *serviceState) updateServers(now mtclock.Instant, ref mtid.Ref, records []*mtroster.Record, tables []*mtshard.Table) {
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
	s.estimates.Retain(func(holder mtid.Holder) bool { return live[holder] })
}

// requestMove sends a move request to the owner of the shard.
func (p *Planner) requestMove(ctx context.Context, request moveRequest) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	err := p.mover.Move(ctx, request.move.From, request.service, request.move.Low, request.move.To)
	if err == nil {
		return
	}
	p.config.Log.Info("move request failed", "service", request.service, "low", uint64(request.move.Low), "from", request.move.From, "to", request.move.To, "error", err)
	// If the queue is full, the refusal is dropped, and the move counts as pending
	// until the policy lets it expire.
	p.failedMoves.Put(request)
}

// moveFailed notifies the policy that a move request failed.
func (p *Planner) moveFailed(request moveRequest) {
	if state, ok := p.services[request.service]; ok {
		state.policy.Refused(p.config.Now(), request.move.Low)
	}
}

// Report implements mtwire.PlannerServer. It passes the report to the planner's
// goroutine and waits for the reply. If the queue is full, it replies as if this
// daemon were not the leader, so that the report is sent again.
func (p *Planner) Report(ctx context.Context, w *mtwire.LoadReport) (*mtwire.LoadReply, error) {
	report, err := mtload.Read(w)
	if err != nil {
		return nil, err
	}
	d := queuedReport{report: report, reply: make(chan *mtwire.LoadReply, 1)}
	if !p.reports.Put(d) {
		return &mtwire.LoadReply{Leader: false}, nil
	}
	select {
	case reply := <-d.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// addReport records a load report and returns the reply. The reply says that this
// daemon is not the leader if it has not planned for the service yet.
func (p *Planner) addReport(report *mtload.Report) *mtwire.LoadReply {
	state, ok := p.services[report.Service]
	if !ok || len(state.tables) == 0 {
		return &mtwire.LoadReply{}
	}
	now := p.config.Now()
	again := state.estimates.AddReport(now, report, state.owned(report.From))
	load := report.Load / max(1, state.slots[report.From])
	pause := state.throttle.Arrived(now, load > state.mean*(1+mtload.Band))
	return mtload.Reply{Mean: state.mean, Pause: pause, Again: again}.Wire()
}

// owned returns the shards that a holder owned as of the last round.
func (s *serviceState) owned(holder mtid.Holder) []mtshard.Shard {
	var found []mtshard.Shard
	for _, table := range s.tables {
		found = append(found, table.OwnedBy(holder)...)
	}
	return found
}
