package mttakeover_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtmember"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mttakeover"
	"magnoliaturn/core/mtwitness"
)

var (
	modelSteps = flag.Int("model.steps", 120_000, "number of steps of the long random walk")
	modelSeed  = flag.Uint64("model.seed", 1, "seed of the long random walk")
)

const daemons = 7

var modelRef = mtid.Ref{Business: "ratins", Service: "mapsvc"}

// stored is a value in the model's store, or a write in flight to it.
type stored struct {
	name     string
	version  mtid.Version // of the value; for a write, the version it expects
	record   *mtroster.Record
	table    *mtshard.Table
	writeID  mtroster.WriteID
	accepted bool
}

// packet is a datagram in flight.
type packet struct {
	from, to int
	holder   mtid.Holder // the incarnation that requests the promise
	instance int         // its process; an answer to an earlier one is dropped
	request  mtlease.RenewRequest
	answer   *mtlease.Answer
}

// process is one daemon process with its local state.
type process struct {
	name           mtid.Daemon
	instance       int   // incremented by every restart
	rate           int64 // clock ticks per thousand ticks of true time
	origin         mtclock.Instant
	member         *mtmember.Member
	lease          *mtlease.Lease
	witness        *mtwitness.Witness
	sequence       uint64
	roster         mttakeover.Roster
	versions       map[mtid.Daemon]mtid.Version
	table          *mtshard.Table
	confirmedUntil mtclock.Instant // its own incarnation is confirmed until then
	fences         mttakeover.Fences
	takeover       *mttakeover.Takeover
	selfFence      *mttakeover.Takeover // of its previous incarnation
}

// model is a small fleet in which pick decides the fate of every message and
// write and the rate of every clock.
type model struct {
	pick      func(n int) int
	now       time.Duration
	procs     []*process
	inFlight  []packet
	records   map[mtid.Daemon]stored
	table     stored
	delayed   []stored
	storeDown bool
	cut       map[[2]int]bool
	sequence  uint64
	epochs    map[mtid.Epoch]mtid.Holder
	acked     []stored
	events    map[string]int
	violation error
}

type violationError struct{ what string }

func (e *violationError) Error() string { return e.what }

func newModel(pick func(n int) int) *model {
	m := &model{
		pick:    pick,
		now:     time.Hour,
		records: make(map[mtid.Daemon]stored),
		cut:     make(map[[2]int]bool),
		epochs:  make(map[mtid.Epoch]mtid.Holder),
		events:  make(map[string]int),
	}
	for i := range daemons {
		p := &process{
			name:   mtid.Daemon(fmt.Sprintf("d%d", i)),
			rate:   1000 + int64(m.pick(3))*1000/(2*mtlease.DriftShare),
			origin: mtclock.Instant(m.pick(1000)) * mtclock.Instant(time.Hour),
		}
		m.procs = append(m.procs, p)
		m.restart(p)
	}
	return m
}

func (m *model) clock(p *process) mtclock.Instant {
	return p.origin + mtclock.Instant(int64(m.now)/1000*p.rate)
}

// restart replaces a process with a new one that has lost all local state.
func (m *model) restart(p *process) {
	m.sequence += 1000
	p.instance++
	p.member = mtmember.New(mtmember.Profile{
		Daemon: p.name, Zone: "a", Region: "r", RelayAddress: fmt.Sprint(p.name, p.instance), RenewAddress: "x",
	}, m.sequence)
	p.member.PrepareRegistration([]mtroster.Offer{{Service: modelRef}}, mtroster.Serving)
	p.lease = nil
	p.witness = mtwitness.New(p.name, m.clock(p))
	p.sequence = 0
	p.roster = make(mttakeover.Roster)
	p.versions = make(map[mtid.Daemon]mtid.Version)
	p.table = nil
	p.takeover, p.selfFence = nil, nil
	p.confirmedUntil, p.fences = 0, mttakeover.Fences{}
}

func (m *model) index(d mtid.Daemon) int {
	return slices.IndexFunc(m.procs, func(p *process) bool { return p.name == d })
}

func (m *model) requestFails() bool { return m.pick(8) == 0 }

// swap writes to the model's store. The write may be answered or refused, take
// effect with its answer lost, or be delayed and take effect late or never.
func (m *model) swap(w stored) (stored, error) {
	if m.storeDown {
		return stored{}, &refusedError{}
	}
	switch m.pick(6) {
	case 0:
		m.delayed = append(m.delayed, w)
		m.events["write delayed"]++
		return stored{}, &unknownError{}
	case 1:
		_, _ = m.apply(w)
		m.events["answer lost"]++
		return stored{}, &unknownError{}
	}
	return m.apply(w)
}

// apply makes a write take effect if it expects the stored version.
func (m *model) apply(w stored) (stored, error) {
	current := m.current(w.name)
	if current.version != w.version {
		return current, &conflictError{}
	}
	w.version++
	if w.table != nil {
		m.checkEpochs(w.table)
		m.table = w
	} else {
		m.records[mtid.Daemon(w.name)] = w
	}
	return w, nil
}

func (m *model) current(name string) stored {
	if name == tableName {
		return m.table
	}
	return m.records[mtid.Daemon(name)]
}

// checkEpochs checks that no epoch is ever used for two owners.
func (m *model) checkEpochs(table *mtshard.Table) {
	for _, s := range table.Shards {
		if owner, ok := m.epochs[s.Epoch]; ok && owner != s.Owner {
			m.fail("epoch %d was assigned to both %v and %v", s.Epoch, owner, s.Owner)
		}
		m.epochs[s.Epoch] = s.Owner
	}
}

const tableName = "table"

type (
	refusedError  struct{}
	unknownError  struct{}
	conflictError struct{}
)

func (*refusedError) Error() string  { return "store is unavailable" }
func (*unknownError) Error() string  { return "no answer from the store: outcome unknown" }
func (*conflictError) Error() string { return "write conflict: the stored version has changed" }

func (m *model) fail(format string, args ...any) {
	if m.violation == nil {
		m.violation = &violationError{what: fmt.Sprintf(format, args...)}
	}
}

// step performs one randomly picked action and checks the invariants.
func (m *model) step() error {
	p := m.procs[m.pick(daemons)]
	switch n := m.pick(100); {
	case n < 22:
		m.now += time.Duration(m.pick(150)) * time.Millisecond
	case n < 25:
		m.now += time.Duration(300+m.pick(1500)) * time.Millisecond
	case n < 30:
		m.jumpToPromiseEnd(p)
	case n < 40:
		m.renewAll(p)
	case n < 48:
		// Keep the fleet healthy most of the time; otherwise hardly any lease
		// would be valid when a fault occurs.
		for _, q := range m.procs {
			m.renewAll(q)
		}
	case n < 56:
		m.deliverOne()
	case n < 57:
		m.restart(p)
		m.events["restart"]++
	case n < 72:
		m.stepOwnRecord(p)
	case n < 76:
		m.proposeWitnesses(p)
	case n < 87:
		m.stepTakeover(p)
	case n < 90:
		m.applyDelayed()
	case n < 93:
		m.writeFailover(p)
	case n < 98:
		m.readStore(p)
	case n < 99:
		m.partition()
	default:
		m.storeDown = m.pick(6) == 0
	}
	m.check()
	return m.violation
}

// check verifies the invariants across all processes. It runs after every step.
func (m *model) check() {
	owners := make(map[mtid.Point]mtid.Holder)
	for _, p := range m.procs {
		if p.lease == nil || !m.clock(p).Before(p.lease.Until()) {
			continue
		}
		h := p.lease.Holder()
		m.events["may serve"]++
		if m.records[p.name].record.RevokedBelow > h.Incarnation {
			m.fail("%v may serve although it is revoked", h)
		}
		if p.table == nil {
			continue
		}
		for _, s := range p.table.OwnedBy(h) {
			m.events["serves a shard"]++
			if other, ok := owners[s.Low]; ok {
				m.fail("%v and %v may both serve the shard at %d", other, h, s.Low)
			}
			owners[s.Low] = h
		}
	}
	for _, a := range m.acked {
		_, retained := m.table.table.FindStep(a.writeID)
		if !retained && m.table.version < a.version+mtshard.RetainedSteps {
			m.fail("the acknowledged write %v was lost", a.writeID)
		}
	}
}

// jumpToPromiseEnd advances time to just when some witness of p would agree to a
// takeover, and lets another process attempt one. This is when a safety margin
// that is too small would show.
func (m *model) jumpToPromiseEnd(p *process) {
	if p.lease == nil || len(p.lease.Witnesses()) == 0 {
		return
	}
	ws := p.lease.Witnesses()
	w := m.procs[m.index(ws[m.pick(len(ws))].Daemon)]
	left := int64(w.witness.Until(p.lease.Holder()).Sub(m.clock(w)))
	if left <= 0 || left > int64(2*time.Second) {
		return
	}
	elapsed := time.Duration(left * 1000 / w.rate)
	m.now += (elapsed + time.Millisecond).Truncate(time.Millisecond)
	claimant := m.procs[m.pick(daemons)]
	m.readStore(claimant)
	if record, ok := claimant.roster[p.name]; ok && claimant != p && record.MayHoldLease() {
		claimant.takeover = mttakeover.New(record, claimant.versions[p.name])
		m.stepTakeover(claimant)
		m.stepTakeover(claimant)
	}
}

// renewAll sends a renewal request from p to each of its witnesses. Most datagrams
// arrive at once.
func (m *model) renewAll(p *process) {
	if p.lease == nil {
		return
	}
	for _, w := range p.lease.Witnesses() {
		p.sequence++
		request, ok := p.lease.NewRequest(m.clock(p), w, p.sequence)
		to := m.index(w.Daemon)
		if !ok || to < 0 {
			continue
		}
		m.send(packet{from: m.index(p.name), to: to, holder: p.lease.Holder(), instance: p.instance, request: request})
	}
}

// send delivers, drops or delays a datagram.
func (m *model) send(k packet) {
	if m.cut[[2]int{k.from, k.to}] {
		return
	}
	switch m.pick(10) {
	case 0:
		m.events["datagram lost"]++
	case 1, 2:
		if len(m.inFlight) < 40 {
			m.inFlight = append(m.inFlight, k)
		}
	default:
		m.deliver(k)
	}
}

// deliverOne delivers a random datagram in flight, so that datagrams arrive out of
// order. Some stay in flight and arrive again.
func (m *model) deliverOne() {
	if len(m.inFlight) == 0 {
		return
	}
	i := m.pick(len(m.inFlight))
	k := m.inFlight[i]
	if m.pick(4) > 0 {
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	} else {
		m.events["datagram duplicated"]++
	}
	m.deliver(k)
}

func (m *model) deliver(k packet) {
	to := m.procs[k.to]
	if k.answer == nil {
		answer := to.witness.Renew(m.clock(to), k.holder, k.request, m.clock(to).Before(to.confirmedUntil))
		m.send(packet{from: k.to, to: k.from, holder: k.holder, instance: k.instance, request: k.request, answer: &answer})
		return
	}
	// As in mtrenew, answers for another incarnation are dropped.
	if to.lease == nil || to.instance != k.instance || to.lease.Holder() != k.holder {
		return
	}
	to.lease.Answer(m.clock(to), k.request.Witness, *k.answer)
	if until := to.lease.Until(); until > 0 {
		to.confirmedUntil = max(to.confirmedUntil, until.Add(mtlease.ConfirmationTTL))
	}
}

// stepOwnRecord takes one step of maintaining p's own record.
func (m *model) stepOwnRecord(p *process) {
	step := p.member.Next()
	switch step.Kind {
	case mtmember.Read:
		m.readOwnRecord(p)
	case mtmember.Fence:
		m.fencePrevious(p, step)
	case mtmember.Write:
		m.writeOwnRecord(p, step)
	case mtmember.Idle:
		m.readOwnRecord(p)
	}
	m.syncLease(p)
}

func (m *model) readOwnRecord(p *process) {
	if m.storeDown {
		return
	}
	if current, ok := m.records[p.name]; ok {
		p.member.Observe(current.record, current.version)
		m.confirm(p)
		return
	}
	p.member.ObserveMissing()
}

// confirm records that the store just returned or accepted p's own record.
func (m *model) confirm(p *process) {
	if !p.member.Holder().IsZero() {
		p.confirmedUntil = max(p.confirmedUntil, m.clock(p).Add(mtlease.ConfirmationTTL))
	}
}

// fencePrevious takes one step of fencing p's previous incarnation.
func (m *model) fencePrevious(p *process, step mtmember.Step) {
	if p.selfFence == nil || p.selfFence.Version() != step.Expected {
		p.selfFence = mttakeover.New(step.Record, step.Expected)
	}
	if m.requestRevocations(p, p.selfFence).Kind == mttakeover.Write {
		p.member.MarkFenced(step.Expected)
	}
}

func (m *model) writeOwnRecord(p *process, step mtmember.Step) {
	if p.lease != nil {
		p.lease.Attempt()
	}
	got, err := m.swap(stored{name: string(p.name), version: step.Expected, record: step.Record})
	var refused *refusedError
	var unknown *unknownError
	switch {
	case err == nil:
		p.member.WriteSucceeded(got.version)
		m.confirm(p)
	case errors.As(err, &refused):
		p.member.WriteRejected()
	case errors.As(err, &unknown):
		p.member.WriteUnknown()
	default:
		p.member.Observe(got.record, got.version)
		m.events["own write conflicted"]++
	}
}

// syncLease updates p's lease to match its record, as io/mtrenew does.
func (m *model) syncLease(p *process) {
	h := p.member.Holder()
	record, version := p.member.Record()
	switch {
	case h.IsZero() && p.lease != nil:
		p.lease.Close()
		p.confirmedUntil = 0
		m.events["found revoked"]++
	case !h.IsZero() && (p.lease == nil || p.lease.Holder() != h):
		p.lease = mtlease.New(h)
		p.witness.Register(h.Incarnation)
		p.lease.Adopt(mtlease.Set{Version: version, Witnesses: record.Witnesses})
		m.events["registered"]++
	case !h.IsZero() && !p.member.WritePending() && p.lease.Current().Version != version:
		p.lease.Settle(mtlease.Set{Version: version, Witnesses: record.Witnesses})
		m.events["set changed"]++
	case !h.IsZero() && !p.member.WritePending() && p.lease.Current().Version == version:
		p.lease.Withdraw()
	}
}

// proposeWitnesses makes p change its witnesses to three arbitrary others, whether
// or not they have promised yet: safety must not depend on Ready.
func (m *model) proposeWitnesses(p *process) {
	record, version := p.member.Record()
	if p.lease == nil || p.member.Holder().IsZero() || p.member.WritePending() {
		return
	}
	next := *record
	next.Witnesses = nil
	first := m.pick(daemons)
	for i := range daemons {
		other := m.procs[(first+i)%daemons].name
		current, ok := m.records[other]
		if other != p.name && ok && len(next.Witnesses) < mtwitness.SetSize {
			next.Witnesses = append(next.Witnesses, current.record.Holder)
		}
	}
	if !p.lease.Propose(mtlease.Set{Version: version + 1, Witnesses: next.Witnesses}) {
		return
	}
	m.renewAll(p)
	if !p.member.Change(&next) {
		p.lease.Withdraw()
	}
}

// requestRevocations takes the next step of a takeover, and sends the revocation
// requests if they are due.
func (m *model) requestRevocations(p *process, t *mttakeover.Takeover) mttakeover.Step {
	record := m.records[t.Target().Daemon].record
	for _, w := range record.Witnesses {
		if p.fences.PromisesExpired(m.clock(p), w) {
			t.CountAsAgreed(w)
			m.events["expired witness"]++
		}
	}
	step := t.Next(m.clock(p))
	if step.Kind != mttakeover.Ask {
		return step
	}
	for _, w := range step.Witnesses {
		to := m.index(w.Daemon)
		request := t.Request(w)
		if m.requestFails() || m.cut[[2]int{m.index(p.name), to}] {
			t.Failed(m.clock(p), request)
			continue
		}
		other := m.procs[to]
		reply := other.witness.Revoke(m.clock(other), request)
		if reply.Granted {
			m.events["revoked by a witness"]++
		}
		if m.requestFails() {
			t.Failed(m.clock(p), request)
			continue
		}
		t.Replied(m.clock(p), request, reply)
	}
	return t.Next(m.clock(p))
}

// stepTakeover takes one step of p's takeover of some daemon, lost or not.
func (m *model) stepTakeover(p *process) {
	if p.takeover == nil {
		target := m.procs[m.pick(daemons)].name
		record, ok := p.roster[target]
		if !ok || target == p.name || !record.MayHoldLease() {
			return
		}
		p.takeover = mttakeover.New(record, p.versions[target])
	}
	t := p.takeover
	if m.pick(30) == 0 {
		p.takeover = nil
		return
	}
	switch step := m.requestRevocations(p, t); step.Kind {
	case mttakeover.Done:
		p.takeover = nil
	case mttakeover.Write:
		m.writeRevoked(p, t)
	}
}

// writeRevoked writes the record that fences the target of t.
func (m *model) writeRevoked(p *process, t *mttakeover.Takeover) {
	m.sequence++
	writeID := mtroster.WriteID{Writer: mtid.Holder{Daemon: p.name}, Sequence: m.sequence}
	name := string(t.Target().Daemon)
	got, err := m.swap(stored{name: name, version: t.Version(), record: t.RevokedRecord(writeID)})
	var conflict *conflictError
	if err != nil && !errors.As(err, &conflict) {
		if m.pick(2) == 0 {
			got = m.current(name)
			t.Observe(got.record, got.version)
		}
		return
	}
	if err == nil {
		m.events["taken over"]++
	}
	t.Observe(got.record, got.version)
}

// applyDelayed makes a delayed write take effect, or drops it.
func (m *model) applyDelayed() {
	if len(m.delayed) == 0 {
		return
	}
	i := m.pick(len(m.delayed))
	w := m.delayed[i]
	m.delayed = slices.Delete(m.delayed, i, i+1)
	if m.pick(4) == 0 {
		return
	}
	if _, err := m.apply(w); err == nil {
		m.events["write applied late"]++
	}
}

// writeFailover makes p write the failover that is due according to its own view,
// or create the table if p knows none.
func (m *model) writeFailover(p *process) {
	m.sequence++
	writeID := mtroster.WriteID{Writer: mtid.Holder{Daemon: p.name}, Sequence: m.sequence}
	if p.table == nil {
		m.createTable(p, writeID)
		return
	}
	op, ok := mttakeover.Failover(p.table, p.roster)
	if !ok {
		return
	}
	next, err := p.table.Apply(writeID, op)
	if err != nil {
		m.fail("failover op was rejected: %v", err)
		return
	}
	m.writeTable(p, writeID, next)
}

func (m *model) createTable(p *process, writeID mtroster.WriteID) {
	var holders []mtid.Holder
	for _, q := range m.procs {
		if r, ok := p.roster[q.name]; ok && r.MayHoldLease() {
			holders = append(holders, r.Holder)
		}
	}
	next, err := mtshard.New(modelRef, 0, 1).Apply(writeID, mtshard.Create{Shards: 8, Holders: holders})
	if err == nil {
		m.writeTable(p, writeID, next)
	}
}

func (m *model) writeTable(p *process, writeID mtroster.WriteID, next *mtshard.Table) {
	got, err := m.swap(stored{name: tableName, version: next.Version - 1, table: next, writeID: writeID})
	var conflict *conflictError
	switch {
	case err == nil:
		p.table = next
		m.acked = append(m.acked, got)
		m.acked = m.acked[max(0, len(m.acked)-mtshard.RetainedSteps):]
		m.events["failed over"]++
	case errors.As(err, &conflict):
		m.adoptTable(p, got.table)
	}
}

// adoptTable replaces p's table if the given one is newer. An older one would undo
// changes that p has already acted on.
func (m *model) adoptTable(p *process, table *mtshard.Table) {
	if table != nil && (p.table == nil || table.Version > p.table.Version) {
		p.table = table
	}
}

// readStore updates p's view of the records and the table from the store.
func (m *model) readStore(p *process) {
	if m.storeDown {
		return
	}
	m.adoptTable(p, m.table.table)
	for d, s := range m.records {
		if s.version < p.versions[d] {
			m.fail("the record of %s went back to an older version", d)
		}
		p.roster[d] = s.record
		p.versions[d] = s.version
		p.fences.Note(m.clock(p), s.record)
	}
}

// partition heals all partitions, or cuts one direction between two daemons.
func (m *model) partition() {
	if m.pick(2) == 0 {
		clear(m.cut)
		return
	}
	a, b := m.pick(daemons), m.pick(daemons)
	m.cut[[2]int{a, b}] = true
	m.events["partition"]++
}

// A fleet goes through random sequences of datagram loss, delay and duplication,
// restarts, partitions, fast clocks, store faults, takeovers and witness changes.
// At no time may two daemons serve the same shard, or a revoked one serve at all.
func TestSingleOwnerUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			assert.NilError(t, m.step())
		}
	})
}

// The same as one long random walk. Each kind of event must occur at least once,
// since otherwise the walk would show nothing about it.
func TestSingleOwnerOnLongRandomWalk(t *testing.T) {
	random := rand.New(rand.NewPCG(*modelSeed, 0))
	m := newModel(random.IntN)
	for i := range *modelSteps {
		assert.NilError(t, m.step(), "seed %d, step %d", *modelSeed, i)
	}
	t.Logf("%d steps: %v", *modelSteps, m.events)
	for _, what := range []string{
		"may serve", "serves a shard", "datagram lost", "datagram duplicated", "restart", "registered", "set changed",
		"own write conflicted", "write delayed", "answer lost", "write applied late", "partition",
		"revoked by a witness", "expired witness", "taken over", "found revoked", "failed over",
	} {
		assert.Assert(t, m.events[what] > 0, "event did not occur: %s", what)
	}
}
