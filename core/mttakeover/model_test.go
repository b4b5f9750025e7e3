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
	modelSteps = flag.Int("model.steps", 120_000, "steps of the long walk of the model")
	modelSeed  = flag.Uint64("model.seed", 1, "seed of the long walk of the model")
)

const daemons = 7

var modelRef = mtid.Ref{Business: "ratins", Service: "mapsvc"}

// stored is a value of the model's store, or a write on its way to it.
type stored struct {
	name     string
	version  mtid.Version // of the value; of a write, the one that it expects
	record   *mtroster.Record
	table    *mtshard.Table
	stampOf  mtroster.Stamp
	accepted bool
}

// packet is a datagram in flight.
type packet struct {
	from, to int
	life     mtid.Holder // the asker's
	lives    int         // the asker's process, which an answer must find again
	ask      mtlease.Ask
	answer   *mtlease.Answer
}

// process is one daemon process with what it knows.
type process struct {
	name     mtid.Daemon
	lives    int
	rate     int64 // clock ticks in a thousand of true time
	origin   mtclock.Instant
	member   *mtmember.Member
	lease    *mtlease.Lease
	witness  *mtwitness.Witness
	sequence uint64
	roster   mttakeover.Roster
	versions map[mtid.Daemon]mtid.Version
	table    *mtshard.Table
	vouched  mtclock.Instant // until when its own life is known to stand
	fences   mttakeover.Fences
	takeover *mttakeover.Takeover
	fence    *mttakeover.Takeover
}

// model is a small fleet whose every message, write and clock is in the hands
// of a drawn sequence of choices.
type model struct {
	pick      func(n int) int
	now       time.Duration
	procs     []*process
	flight    []packet
	records   map[mtid.Daemon]stored
	table     stored
	delayed   []stored
	down      bool
	cut       map[[2]int]bool
	sequence  uint64
	epochs    map[mtid.Epoch]mtid.Holder
	acked     []stored
	happened  map[string]int
	violation error
}

type violationError struct{ what string }

func (e *violationError) Error() string { return e.what }

func newModel(pick func(n int) int) *model {
	m := &model{
		pick:     pick,
		now:      time.Hour,
		records:  make(map[mtid.Daemon]stored),
		cut:      make(map[[2]int]bool),
		epochs:   make(map[mtid.Epoch]mtid.Holder),
		happened: make(map[string]int),
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

// restart ends a process and begins the next one, which remembers nothing.
func (m *model) restart(p *process) {
	m.sequence += 1000
	p.lives++
	p.member = mtmember.New(mtmember.Profile{
		Daemon: p.name, Zone: "a", Region: "r", Relay: fmt.Sprint(p.name, p.lives), Renew: "x",
	}, m.sequence)
	p.member.Carry([]mtroster.Offer{{Service: modelRef}}, mtroster.Serving)
	p.lease = nil
	p.witness = mtwitness.New(p.name, m.clock(p))
	p.sequence = 0
	p.roster = make(mttakeover.Roster)
	p.versions = make(map[mtid.Daemon]mtid.Version)
	p.table = nil
	p.takeover, p.fence = nil, nil
	p.vouched, p.fences = 0, mttakeover.Fences{}
}

func (m *model) index(d mtid.Daemon) int {
	return slices.IndexFunc(m.procs, func(p *process) bool { return p.name == d })
}

func (m *model) fails() bool { return m.pick(8) == 0 }

// swap is a write to the model's store. It may be answered, refused, lose its
// answer after the effect, or stay on its way and land late or never.
func (m *model) swap(w stored) (stored, error) {
	if m.down {
		return stored{}, &refusedError{}
	}
	switch m.pick(6) {
	case 0:
		m.delayed = append(m.delayed, w)
		m.happened["write delayed"]++
		return stored{}, &unknownError{}
	case 1:
		_, _ = m.land(w)
		m.happened["answer lost"]++
		return stored{}, &unknownError{}
	}
	return m.land(w)
}

// land lets a write take effect if it expects what stands.
func (m *model) land(w stored) (stored, error) {
	current := m.current(w.name)
	if current.version != w.version {
		return current, &conflictError{}
	}
	w.version++
	if w.table != nil {
		m.note(w.table)
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

// note checks that no epoch is ever used for two owners.
func (m *model) note(table *mtshard.Table) {
	for _, s := range table.Shards {
		if owner, ok := m.epochs[s.Epoch]; ok && owner != s.Owner {
			m.fail("epoch %d was given to %v and to %v", s.Epoch, owner, s.Owner)
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

func (*refusedError) Error() string  { return "store is down" }
func (*unknownError) Error() string  { return "no answer" }
func (*conflictError) Error() string { return "version has moved on" }

func (m *model) fail(format string, args ...any) {
	if m.violation == nil {
		m.violation = &violationError{what: fmt.Sprintf(format, args...)}
	}
}

// step does one drawn thing and checks what must always hold.
func (m *model) step() error {
	p := m.procs[m.pick(daemons)]
	switch n := m.pick(100); {
	case n < 22:
		m.now += time.Duration(m.pick(150)) * time.Millisecond
	case n < 25:
		m.now += time.Duration(300+m.pick(1500)) * time.Millisecond
	case n < 30:
		m.jump(p)
	case n < 40:
		m.round(p)
	case n < 48:
		// Mostly the fleet is well; else its leases would hardly ever meet the
		// faults.
		for _, q := range m.procs {
			m.round(q)
		}
	case n < 56:
		m.deliverOne()
	case n < 57:
		m.restart(p)
		m.happened["restart"]++
	case n < 72:
		m.own(p)
	case n < 76:
		m.propose(p)
	case n < 87:
		m.take(p)
	case n < 90:
		m.landLate()
	case n < 93:
		m.failover(p)
	case n < 98:
		m.refresh(p)
	case n < 99:
		m.partition()
	default:
		m.down = m.pick(6) == 0
	}
	m.check()
	return m.violation
}

// check looks at every process after every step.
func (m *model) check() {
	owners := make(map[mtid.Point]mtid.Holder)
	for _, p := range m.procs {
		if p.lease == nil || !m.clock(p).Before(p.lease.Until()) {
			continue
		}
		h := p.lease.Holder()
		m.happened["may serve"]++
		if m.records[p.name].record.Revoked > h.Incarnation {
			m.fail("%v may serve, and is revoked", h)
		}
		if p.table == nil {
			continue
		}
		for _, s := range p.table.OwnedBy(h) {
			m.happened["serves a shard"]++
			if other, ok := owners[s.Low]; ok {
				m.fail("%v and %v may both serve the shard at %d", other, h, s.Low)
			}
			owners[s.Low] = h
		}
	}
	for _, a := range m.acked {
		_, kept := m.table.table.FindStep(a.stampOf)
		if !kept && m.table.version < a.version+mtshard.RetainedSteps {
			m.fail("the acknowledged write %v is gone", a.stampOf)
		}
	}
}

// jump moves time to just when some witness of p would agree to its takeover,
// and lets others try it: where margins are thin, this is the moment.
func (m *model) jump(p *process) {
	if p.lease == nil || len(p.lease.Witnesses()) == 0 {
		return
	}
	ws := p.lease.Witnesses()
	w := m.procs[m.index(ws[m.pick(len(ws))].Daemon)]
	left := int64(w.witness.Until(p.lease.Holder()).Sub(m.clock(w)))
	if left <= 0 || left > int64(2*time.Second) {
		return
	}
	passed := time.Duration(left * 1000 / w.rate)
	m.now += (passed + time.Millisecond).Truncate(time.Millisecond)
	taker := m.procs[m.pick(daemons)]
	m.refresh(taker)
	if record, ok := taker.roster[p.name]; ok && taker != p && record.Live() {
		taker.takeover = mttakeover.New(record, taker.versions[p.name])
		m.take(taker)
		m.take(taker)
	}
}

// round lets p ask all its witnesses; most datagrams arrive at once.
func (m *model) round(p *process) {
	if p.lease == nil {
		return
	}
	for _, w := range p.lease.Witnesses() {
		p.sequence++
		ask, ok := p.lease.Ask(m.clock(p), w, p.sequence)
		to := m.index(w.Daemon)
		if !ok || to < 0 {
			continue
		}
		m.send(packet{from: m.index(p.name), to: to, life: p.lease.Holder(), lives: p.lives, ask: ask})
	}
}

// send delivers, loses or delays a datagram.
func (m *model) send(k packet) {
	if m.cut[[2]int{k.from, k.to}] {
		return
	}
	switch m.pick(10) {
	case 0:
		m.happened["datagram lost"]++
	case 1, 2:
		if len(m.flight) < 40 {
			m.flight = append(m.flight, k)
		}
	default:
		m.deliver(k)
	}
}

// deliverOne delivers any datagram in flight, so that they come out of order;
// some stay in flight and come twice.
func (m *model) deliverOne() {
	if len(m.flight) == 0 {
		return
	}
	i := m.pick(len(m.flight))
	k := m.flight[i]
	if m.pick(4) > 0 {
		m.flight = slices.Delete(m.flight, i, i+1)
	} else {
		m.happened["datagram twice"]++
	}
	m.deliver(k)
}

func (m *model) deliver(k packet) {
	to := m.procs[k.to]
	if k.answer == nil {
		answer := to.witness.Renew(m.clock(to), k.life, k.ask, m.clock(to).Before(to.vouched))
		m.send(packet{from: k.to, to: k.from, life: k.life, lives: k.lives, ask: k.ask, answer: &answer})
		return
	}
	// The duty drops answers that are for another life.
	if to.lease == nil || to.lives != k.lives || to.lease.Holder() != k.life {
		return
	}
	to.lease.Answer(m.clock(to), k.ask.Witness, *k.answer)
	if until := to.lease.Until(); until > 0 {
		to.vouched = max(to.vouched, until.Add(mtlease.Vouch))
	}
}

// own takes one step of p's own record.
func (m *model) own(p *process) {
	step := p.member.Next()
	switch step.Kind {
	case mtmember.Read:
		m.read(p)
	case mtmember.Fence:
		m.fence(p, step)
	case mtmember.Write:
		m.write(p, step)
	case mtmember.Idle:
		m.read(p)
	}
	m.settle(p)
}

func (m *model) read(p *process) {
	if m.down {
		return
	}
	if current, ok := m.records[p.name]; ok {
		p.member.Seen(current.record, current.version)
		m.vouch(p)
		return
	}
	p.member.Missing()
}

// vouch notes that the store just showed or took p's own record.
func (m *model) vouch(p *process) {
	if !p.member.Holder().IsZero() {
		p.vouched = max(p.vouched, m.clock(p).Add(mtlease.Vouch))
	}
}

func (m *model) fence(p *process, step mtmember.Step) {
	if p.fence == nil || p.fence.Version() != step.Expected {
		p.fence = mttakeover.New(step.Record, step.Expected)
	}
	if m.ask(p, p.fence).Kind == mttakeover.Write {
		p.member.Fenced(step.Expected)
	}
}

func (m *model) write(p *process, step mtmember.Step) {
	if p.lease != nil {
		p.lease.Attempt()
	}
	got, err := m.swap(stored{name: string(p.name), version: step.Expected, record: step.Record})
	var refused *refusedError
	var unknown *unknownError
	switch {
	case err == nil:
		p.member.Landed(got.version)
		m.vouch(p)
	case errors.As(err, &refused):
		p.member.Refused()
	case errors.As(err, &unknown):
		p.member.Unknown()
	default:
		p.member.Seen(got.record, got.version)
		m.happened["own write refused"]++
	}
}

// settle brings p's lease in line with its record, as the duty does.
func (m *model) settle(p *process) {
	h := p.member.Holder()
	record, version := p.member.Record()
	switch {
	case h.IsZero() && p.lease != nil:
		p.lease.Close()
		p.vouched = 0
		m.happened["found revoked"]++
	case !h.IsZero() && (p.lease == nil || p.lease.Holder() != h):
		p.lease = mtlease.New(h)
		p.witness.Register(h.Incarnation)
		p.lease.Adopt(mtlease.Set{Version: version, Witnesses: record.Witnesses})
		m.happened["registered"]++
	case !h.IsZero() && !p.member.Writing() && p.lease.Current().Version != version:
		p.lease.Settle(mtlease.Set{Version: version, Witnesses: record.Witnesses})
		m.happened["set changed"]++
	case !h.IsZero() && !p.member.Writing() && p.lease.Current().Version == version:
		p.lease.Withdraw()
	}
}

// propose lets p change its witnesses to some three others, whether or not
// they have promised yet: safety must not rest on Ready.
func (m *model) propose(p *process) {
	record, version := p.member.Record()
	if p.lease == nil || p.member.Holder().IsZero() || p.member.Writing() {
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
	m.round(p)
	if !p.member.Change(&next) {
		p.lease.Withdraw()
	}
}

// ask takes the next step of a takeover, asking the witnesses where it is due.
func (m *model) ask(p *process, t *mttakeover.Takeover) mttakeover.Step {
	record := m.records[t.Target().Daemon].record
	for _, w := range record.Witnesses {
		if p.fences.Silent(m.clock(p), w) {
			t.Silent(w)
			m.happened["silent witness"]++
		}
	}
	step := t.Next(m.clock(p))
	if step.Kind != mttakeover.Ask {
		return step
	}
	for _, w := range step.Witnesses {
		to := m.index(w.Daemon)
		request := t.Request(w)
		if m.fails() || m.cut[[2]int{m.index(p.name), to}] {
			t.Failed(m.clock(p), request)
			continue
		}
		other := m.procs[to]
		reply := other.witness.Revoke(m.clock(other), request)
		if reply.Granted {
			m.happened["revoked by a witness"]++
		}
		if m.fails() {
			t.Failed(m.clock(p), request)
			continue
		}
		t.Replied(m.clock(p), request, reply)
	}
	return t.Next(m.clock(p))
}

// take lets p work on the takeover of some daemon, lost or not.
func (m *model) take(p *process) {
	if p.takeover == nil {
		target := m.procs[m.pick(daemons)].name
		record, ok := p.roster[target]
		if !ok || target == p.name || !record.Live() {
			return
		}
		p.takeover = mttakeover.New(record, p.versions[target])
	}
	t := p.takeover
	if m.pick(30) == 0 {
		p.takeover = nil
		return
	}
	switch step := m.ask(p, t); step.Kind {
	case mttakeover.Done:
		p.takeover = nil
	case mttakeover.Write:
		m.revoke(p, t)
	}
}

func (m *model) revoke(p *process, t *mttakeover.Takeover) {
	m.sequence++
	stamp := mtroster.Stamp{Writer: mtid.Holder{Daemon: p.name}, Sequence: m.sequence}
	name := string(t.Target().Daemon)
	got, err := m.swap(stored{name: name, version: t.Version(), record: t.Revoked(stamp)})
	var conflict *conflictError
	if err != nil && !errors.As(err, &conflict) {
		if m.pick(2) == 0 {
			got = m.current(name)
			t.Seen(got.record, got.version)
		}
		return
	}
	if err == nil {
		m.happened["taken over"]++
	}
	t.Seen(got.record, got.version)
}

// landLate lets a write land that was on its way, or loses it.
func (m *model) landLate() {
	if len(m.delayed) == 0 {
		return
	}
	i := m.pick(len(m.delayed))
	w := m.delayed[i]
	m.delayed = slices.Delete(m.delayed, i, i+1)
	if m.pick(4) == 0 {
		return
	}
	if _, err := m.land(w); err == nil {
		m.happened["write landed late"]++
	}
}

// failover lets p write what it believes is due, from what it knows.
func (m *model) failover(p *process) {
	m.sequence++
	stamp := mtroster.Stamp{Writer: mtid.Holder{Daemon: p.name}, Sequence: m.sequence}
	if p.table == nil {
		m.create(p, stamp)
		return
	}
	op, ok := mttakeover.Failover(p.table, p.roster)
	if !ok {
		return
	}
	next, err := p.table.Apply(stamp, op)
	if err != nil {
		m.fail("failover does not fit: %v", err)
		return
	}
	m.put(p, stamp, next)
}

func (m *model) create(p *process, stamp mtroster.Stamp) {
	var among []mtid.Holder
	for _, q := range m.procs {
		if r, ok := p.roster[q.name]; ok && r.Live() {
			among = append(among, r.Holder)
		}
	}
	next, err := mtshard.New(modelRef, 0, 1).Apply(stamp, mtshard.Create{Shards: 8, Holders: among})
	if err == nil {
		m.put(p, stamp, next)
	}
}

func (m *model) put(p *process, stamp mtroster.Stamp, next *mtshard.Table) {
	got, err := m.swap(stored{name: tableName, version: next.Version - 1, table: next, stampOf: stamp})
	var conflict *conflictError
	switch {
	case err == nil:
		p.table = next
		m.acked = append(m.acked, got)
		m.acked = m.acked[max(0, len(m.acked)-mtshard.RetainedSteps):]
		m.happened["failed over"]++
	case errors.As(err, &conflict):
		m.adopt(p, got.table)
	}
}

// adopt takes a newer table; an older one would go back in time.
func (m *model) adopt(p *process, table *mtshard.Table) {
	if table != nil && (p.table == nil || table.Version > p.table.Version) {
		p.table = table
	}
}

// refresh lets p learn some of what stands in the store.
func (m *model) refresh(p *process) {
	if m.down {
		return
	}
	m.adopt(p, m.table.table)
	for d, s := range m.records {
		if s.version < p.versions[d] {
			m.fail("the record of %s went back", d)
		}
		p.roster[d] = s.record
		p.versions[d] = s.version
		p.fences.Note(m.clock(p), s.record)
	}
}

func (m *model) partition() {
	if m.pick(2) == 0 {
		clear(m.cut)
		return
	}
	a, b := m.pick(daemons), m.pick(daemons)
	m.cut[[2]int{a, b}] = true
	m.happened["partition"]++
}

// A fleet runs through any order of loss, delay, duplicates, restarts, cuts,
// fast clocks, store faults, takeovers and changes of witnesses. At no moment
// may two daemons serve one shard, nor one that is revoked.
func TestOneOwnerThroughAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			assert.NilError(t, m.step())
		}
	})
}

// The same, as one long walk. Each kind of fault must have come up, or the walk
// would prove nothing about it.
func TestOneOwnerThroughALongWalk(t *testing.T) {
	random := rand.New(rand.NewPCG(*modelSeed, 0))
	m := newModel(random.IntN)
	for i := range *modelSteps {
		assert.NilError(t, m.step(), "seed %d, step %d", *modelSeed, i)
	}
	t.Logf("%d steps: %v", *modelSteps, m.happened)
	for _, what := range []string{
		"may serve", "serves a shard", "datagram lost", "datagram twice", "restart", "registered", "set changed",
		"own write refused", "write delayed", "answer lost", "write landed late", "partition",
		"revoked by a witness", "silent witness", "taken over", "found revoked", "failed over",
	} {
		assert.Assert(t, m.happened[what] > 0, "never happened: %s", what)
	}
}
