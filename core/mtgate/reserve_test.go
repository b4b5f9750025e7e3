package mtgate_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// stream is a series of requests of one class at regular intervals.
type stream struct {
	class            mtid.Class
	priority         int
	nested           bool
	every            time.Duration
	work, objective  time.Duration
	from, until      time.Duration
	started, arrived int
	inTime           int
	ran              time.Duration
}

// trial plays streams against a gate and counts the results of each.
type trial struct {
	gate  *mtgate.Gate[*mtgate.Urgent]
	now   time.Duration
	owner map[mtgate.Number]*stream
	due   map[mtgate.Number]time.Duration // objectives
	ends  map[mtgate.Number]time.Duration // of running requests
}

func newTrial(order *mtgate.Urgent, slots int) *trial {
	gate := mtgate.New(order, mtgate.Limits{MaxWaitFraction: 1})
	gate.Resize(0, slots, slots)
	return &trial{
		gate: gate, owner: make(map[mtgate.Number]*stream), due: make(map[mtgate.Number]time.Duration),
		ends: make(map[mtgate.Number]time.Duration),
	}
}

func (tr *trial) apply(effects []mtgate.Effect) {
	for _, n := range started(effects) {
		s := tr.owner[n]
		s.started++
		s.ran += s.work
		tr.ends[n] = tr.now + s.work
		if tr.ends[n] <= tr.due[n] {
			s.inTime++
		}
	}
}

// play runs the streams for a time, in steps of a millisecond.
func (tr *trial) play(length time.Duration, streams ...*stream) {
	for _, s := range streams {
		tr.gate.SetExpectedService("", s.class, s.work)
	}
	for until := tr.now + length; tr.now < until; tr.now += time.Millisecond {
		for n := range mtgate.Number(len(tr.owner) + 1) {
			if end, ok := tr.ends[n]; ok && end <= tr.now {
				delete(tr.ends, n)
				tr.apply(tr.gate.Done(at(tr.now), n))
			}
		}
		for _, s := range streams {
			if tr.now < s.from || s.until > 0 && tr.now >= s.until || (tr.now-s.from)%s.every != 0 {
				continue
			}
			n := mtgate.Number(len(tr.owner) + 1)
			s.arrived++
			tr.owner[n], tr.due[n] = s, tr.now+s.objective
			tr.apply(tr.gate.Offer(at(tr.now), mtgate.Ticket{
				Number: n, Class: s.class, Priority: s.priority, Nested: s.nested,
				Objective: at(tr.now + s.objective), Deadline: at(tr.now + 3*s.objective),
			}))
		}
	}
}

func flood() *stream {
	return &stream{class: "flood", priority: 2, every: 50 * time.Millisecond, work: time.Second, objective: 8 * time.Second}
}

func trickle() *stream {
	return &stream{class: "trickle", priority: 0, every: 210 * time.Millisecond, work: 100 * time.Millisecond, objective: 200 * time.Millisecond}
}

// Load: a flood of patient requests that run for a second, and a trickle of urgent ones
// that can't wait for one of them to end.
func TestFloodOfPatientRequestsLeavesSlots(t *testing.T) {
	inTime := func(order *mtgate.Urgent) float64 {
		urgent := trickle()
		newTrial(order, 4).play(10*time.Second, flood(), urgent)
		return float64(urgent.inTime) / float64(urgent.arrived)
	}
	assert.Assert(t, inTime(mtgate.NewUrgent()) < 0.5)
	assert.Assert(t, inTime(mtgate.NewReserving()) > 0.9)
}

// Load: a flood of patient requests of which some wait for a reserved slot. An urgent one
// that has no time left to wait must not be refused while that slot is free.
func TestUrgentRequestTakesReservedSlotAtOnce(t *testing.T) {
	tr, patient, urgent := newTrial(mtgate.NewReserving(), 3), flood(), trickle()
	tr.play(4*time.Second, patient, urgent)
	urgent.objective = 126 * time.Millisecond
	urgent.arrived, urgent.inTime = 0, 0
	tr.play(4*time.Second, patient, urgent)
	assert.Assert(t, float64(urgent.inTime) > 0.9*float64(urgent.arrived))
}

// Load: urgent requests for twice what the server can run, and patient ones that must
// still get the slot that is guaranteed to them, one of four.
func TestFloodOfUrgentRequestsStarvesNobody(t *testing.T) {
	urgent := &stream{class: "urgent", priority: 0, every: 25 * time.Millisecond, work: 200 * time.Millisecond, objective: 800 * time.Millisecond}
	patient := &stream{class: "patient", priority: 2, every: 50 * time.Millisecond, work: 200 * time.Millisecond, objective: 2 * time.Second}
	newTrial(mtgate.NewReserving(), 4).play(10*time.Second, urgent, patient)
	assert.Assert(t, patient.ran >= 9*time.Second, "%v", patient.ran)
	assert.Assert(t, urgent.ran >= 25*time.Second, "%v", urgent.ran)
}

// Load: the urgent requests have stopped, and patient ones still come in a flood. Slots
// kept free for nobody would be lost.
func TestNoSlotIsReservedForRequestsThatStopped(t *testing.T) {
	tr, patient, urgent := newTrial(mtgate.NewReserving(), 4), flood(), trickle()
	tr.play(4*time.Second, patient, urgent)
	patient.ran = 0
	tr.play(10*time.Second, patient)
	assert.Assert(t, patient.ran >= 36*time.Second, "%v", patient.ran)
}

// Load: nested requests of patient parents for more than the server can run must not keep
// urgent requests from it.
func TestNestedRequestsOfPatientParentsLeaveSlots(t *testing.T) {
	nested := &stream{class: "nested", priority: 2, nested: true, every: 10 * time.Millisecond, work: 100 * time.Millisecond, objective: time.Second}
	urgent := &stream{class: "urgent", priority: 0, every: 100 * time.Millisecond, work: 100 * time.Millisecond, objective: 500 * time.Millisecond}
	newTrial(mtgate.NewReserving(), 4).play(10*time.Second, nested, urgent)
	assert.Assert(t, urgent.inTime >= 90, "%d", urgent.inTime)
	assert.Assert(t, nested.ran >= 25*time.Second, "%v", nested.ran)
}

// Load: in a flood the configuration turns the priorities of two classes around, and back.
// The order is as before once the requests that came in between have started.
func TestPrioritiesThatChangeInAFlood(t *testing.T) {
	tr, patient, urgent := newTrial(mtgate.NewReserving(), 4), flood(), trickle()
	tr.play(4*time.Second, patient, urgent)
	patient.priority, urgent.priority = 0, 2
	tr.play(4*time.Second, patient, urgent)
	patient.priority, urgent.priority = 2, 0
	tr.play(patient.objective, patient, urgent)
	urgent.arrived, urgent.inTime = 0, 0
	tr.play(4*time.Second, patient, urgent)
	assert.Assert(t, float64(urgent.inTime) > 0.9*float64(urgent.arrived))
}

// event is a step of a random load.
type event struct {
	after  time.Duration
	kind   int
	ticket mtgate.Ticket
	slots  int
	number mtgate.Number
}

// drawEvents draws offers, ends, cancels, changed slots, slow servers and jumps of the
// clock, with priorities drawn from some.
func drawEvents(t *rapid.T, priorities []int) []event {
	var events []event
	for i := range rapid.IntRange(1, 80).Draw(t, "length") {
		e := event{
			after: time.Duration(rapid.IntRange(0, 200).Draw(t, "after")) * time.Millisecond,
			kind:  rapid.IntRange(0, 9).Draw(t, "kind"), slots: rapid.IntRange(0, 6).Draw(t, "slots"),
			number: mtgate.Number(rapid.IntRange(0, 80).Draw(t, "number")),
		}
		if rapid.IntRange(0, 30).Draw(t, "jump") == 0 {
			e.after += time.Minute
		}
		e.ticket = mtgate.Ticket{
			Number: mtgate.Number(i), Class: rapid.SampledFrom([]mtid.Class{"a", "b"}).Draw(t, "class"),
			Priority: rapid.SampledFrom(priorities).Draw(t, "priority"), Nested: rapid.Bool().Draw(t, "nested"),
			Objective: at(time.Duration(rapid.IntRange(0, 900).Draw(t, "objective")) * time.Millisecond),
			Deadline:  at(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond),
		}
		events = append(events, e)
	}
	return events
}

// run plays events against a gate and returns all effects.
func run(order *mtgate.Urgent, events []event, check func(*mtgate.Gate[*mtgate.Urgent], int, []mtgate.Effect)) []mtgate.Effect {
	gate := mtgate.New(order, mtgate.Limits{MaxWaitFraction: 1})
	gate.SetExpectedService("", "a", 100*time.Millisecond)
	slots := 3
	gate.Resize(0, slots, slots)
	var all []mtgate.Effect
	now := mtclock.Instant(0)
	for _, e := range events {
		now = now.Add(e.after)
		var effects []mtgate.Effect
		switch {
		case e.kind < 5:
			ticket := e.ticket
			ticket.Deadline += now
			if ticket.Objective != 0 {
				ticket.Objective += now
			}
			effects = gate.Offer(now, ticket)
		case e.kind < 8:
			effects = gate.Done(now, e.number)
		case e.kind == 8:
			effects = gate.Cancel(now, e.number)
		default:
			slots = e.slots
			effects = gate.Resize(now, slots, slots)
		}
		check(gate, slots, effects)
		all = append(all, effects...)
	}
	return all
}

// A gate that reserves slots must not change what deployments without different
// priorities see.
func TestEqualPrioritiesDecideLikeUrgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := drawEvents(t, []int{rapid.IntRange(-3, 3).Draw(t, "all")})
		ignore := func(*mtgate.Gate[*mtgate.Urgent], int, []mtgate.Effect) {}
		assert.DeepEqual(t, run(mtgate.NewReserving(), events, ignore), run(mtgate.NewUrgent(), events, ignore))
	})
}

// Whatever the priorities, also negative and huge ones: no start exceeds the slots, and
// each ticket is started or refused once.
func TestReservingKeepsGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := drawEvents(t, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, -1, math.MinInt, math.MaxInt})
		resolved := make(map[mtgate.Number]bool)
		check := func(gate *mtgate.Gate[*mtgate.Urgent], slots int, effects []mtgate.Effect) {
			for _, e := range effects {
				var n mtgate.Number
				switch e := e.(type) {
				case mtgate.Start:
					n = e.Ticket.Number
					running, _ := gate.Busy()
					assert.Assert(t, running <= slots)
				case mtgate.Refuse:
					n = e.Ticket.Number
					assert.Assert(t, e.Err.Cause != mtreply.CauseNoServer || slots == 0)
				}
				assert.Assert(t, !resolved[n], "%d again", n)
				resolved[n] = true
			}
		}
		run(mtgate.NewReserving(), events, check)
	})
}
