package mtgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

func urgentGate(slots int) *mtgate.Gate[*mtgate.Urgent] {
	gate := mtgate.New(mtgate.NewUrgent(), mtgate.Limits{MaxWaitFraction: 1})
	gate.Declare("", mtbundle.Class{Name: "pay", Priority: -1, Queue: 100})
	gate.Declare("", mtbundle.Class{Name: "look", Priority: -2, Queue: 100})
	gate.Resize(0, slots, slots)
	return gate
}

func at(d time.Duration) mtclock.Instant { return mtclock.Instant(d) }

// started returns the ticket numbers of the Start effects.
func started(effects []mtgate.Effect) []mtgate.Number {
	var out []mtgate.Number
	for _, e := range effects {
		if s, ok := e.(mtgate.Start); ok {
			out = append(out, s.Ticket.Number)
		}
	}
	return out
}

// A server gets more requests than it can run, and in order of arrival every answer
// is late. Nested requests start first, then those that can still meet their
// objective, in order of class priority and latest start.
func TestUrgentOrder(t *testing.T) {
	gate := urgentGate(1)
	ticket := func(n mtgate.Number, class mtid.Class, objective time.Duration, nested bool) mtgate.Ticket {
		return mtgate.Ticket{Number: n, Class: class, Objective: at(objective), Deadline: at(20 * time.Second), Nested: nested}
	}
	assert.DeepEqual(t, started(gate.Offer(0, ticket(1, "look", time.Second, false))), []mtgate.Number{1})
	gate.Offer(0, ticket(2, "look", 100*time.Millisecond, false)) // late by the time a slot is free
	gate.Offer(0, ticket(3, "look", 5*time.Second, false))
	gate.Offer(0, ticket(4, "pay", 6*time.Second, false))
	gate.Offer(0, ticket(5, "look", 4*time.Second, false))
	gate.Offer(0, ticket(6, "look", 9*time.Second, true))
	var order []mtgate.Number
	now, running := time.Second, mtgate.Number(1)
	for {
		next := started(gate.Done(at(now), running))
		if len(next) == 0 {
			break
		}
		order = append(order, next...)
		running = next[0]
		now += 10 * time.Millisecond
	}
	assert.DeepEqual(t, order, []mtgate.Number{6, 4, 5, 3, 2})
}

// A full gate sheds the request that would start last, not the one that arrived last.
func TestUrgentVictim(t *testing.T) {
	gate := mtgate.New(mtgate.NewUrgent(), mtgate.Limits{MaxWaitFraction: 1, Waiting: 1})
	gate.Declare("", mtbundle.Class{Name: "pay", Priority: -1, Queue: 100})
	gate.Declare("", mtbundle.Class{Name: "look", Priority: -2, Queue: 100})
	gate.Resize(0, 1, 1)
	offer := func(n mtgate.Number, class mtid.Class) []mtgate.Effect {
		return gate.Offer(0, mtgate.Ticket{Number: n, Class: class, Objective: at(time.Second), Deadline: at(9 * time.Second)})
	}
	offer(1, "look")
	offer(2, "look")
	effects := offer(3, "pay")
	assert.Equal(t, len(effects), 1)
	refused, ok := effects[0].(mtgate.Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, refused.Ticket.Number, mtgate.Number(2))
}

// After a power loss of all VMs every key is cold: valuations take 2.5 s, three times
// their objective. If they occupied every slot, the loan desk's collateral checks, which
// take a quarter of a second, would get none before their deadline.
func TestLateRequestsLeaveSlotsForNestedOnes(t *testing.T) {
	gate := urgentGate(4)
	gate.SetExpectedService("", "look", 2500*time.Millisecond)
	number := mtgate.Number(0)
	offer := func(now time.Duration, class mtid.Class, nested bool) int {
		number++
		return len(started(gate.Offer(at(now), mtgate.Ticket{
			Number: number, Class: class, Nested: nested, Objective: at(now + 800*time.Millisecond), Deadline: at(now + 8*time.Second),
		})))
	}
	assert.Equal(t, offer(0, "check", true), 1)
	running := 0
	for range 6 {
		running += offer(time.Millisecond, "look", false)
	}
	assert.Equal(t, running, 2, "late requests have half of the slots")
	assert.Equal(t, offer(2*time.Millisecond, "check", true), 1)
	assert.Equal(t, offer(3*time.Millisecond, "check", true), 0, "all slots are in use")
	// The waiting check starts first. Once no nested requests have arrived for a
	// while, late requests may use all slots.
	assert.DeepEqual(t, started(gate.Done(at(4*time.Millisecond), 1)), []mtgate.Number{number})
	assert.Equal(t, len(started(gate.Done(at(5*time.Millisecond), number))), 0, "a slot is reserved for nested requests")
	assert.Equal(t, offer(1200*time.Millisecond, "look", false), 1)
}

// Guards against a call that queues here while another server has a free slot: it is handed
// back at once with the wait to expect, and doesn't take the place of those without a limit.
func TestImpatientRequestIsHandedBack(t *testing.T) {
	gate := urgentGate(1)
	gate.SetExpectedService("", "pay", 100*time.Millisecond)
	impatient := mtgate.Ticket{Number: 1, Class: "pay", Objective: at(time.Second), Deadline: at(2 * time.Second), Patience: time.Millisecond}
	assert.DeepEqual(t, started(gate.Offer(0, impatient)), []mtgate.Number{1})
	impatient.Number = 2
	effects := gate.Offer(0, impatient)
	assert.Equal(t, len(effects), 1)
	refused := effects[0].(mtgate.Refuse).Err
	assert.Equal(t, refused.Cause, mtreply.CauseBusy)
	assert.Equal(t, refused.RetryAfter, 100*time.Millisecond)
	patient := impatient
	patient.Number, patient.Patience = 3, 0
	assert.Equal(t, len(gate.Offer(0, patient)), 0, "it waits")
	assert.DeepEqual(t, started(gate.Done(at(100*time.Millisecond), 1)), []mtgate.Number{3})
}
