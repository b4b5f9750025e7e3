package mtgate_test

import (
	"testing"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
)

// BenchmarkIdle measures a request that finds a free slot.
func BenchmarkIdle(b *testing.B) {
	g := newGate(12)
	n := 0
	for b.Loop() {
		n++
		t := ticket(n, "send")
		t.Deadline = mtclock.Instant(n) + mtclock.Instant(time.Second)
		g.Offer(mtclock.Instant(n), t)
		g.Done(mtclock.Instant(n), t.Number)
	}
}

// BenchmarkOverload measures a request at a gate whose slots are in use and whose
// queues are full.
func BenchmarkOverload(b *testing.B) {
	g := mtgate.New(mtgate.NewFair(mtgate.DefaultGuaranteed), mtgate.Limits{Slots: 12, Connections: 12, MaxWaitFraction: 1})
	running := []mtgate.Number{}
	take := func(effects []mtgate.Effect) {
		for _, effect := range effects {
			if s, ok := effect.(mtgate.Start); ok {
				running = append(running, s.Ticket.Number)
			}
		}
	}
	n := 0
	offer := func() {
		n++
		t := ticket(n, "send")
		if n%2 == 0 {
			t.Class = "status"
		}
		now := mtclock.Instant(n) * mtclock.Instant(time.Microsecond)
		t.Deadline = now.Add(time.Hour)
		take(g.Offer(now, t))
	}
	for range 300 {
		offer()
	}
	for b.Loop() {
		offer()
		if n%3 == 0 {
			first := running[0]
			running = running[1:]
			take(g.Done(mtclock.Instant(n)*mtclock.Instant(time.Microsecond), first))
		}
	}
}
