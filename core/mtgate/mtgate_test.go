package mtgate_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
)

const ms = time.Millisecond

var classes = []mtbundle.Class{
	{Name: "status", Priority: 1, Queue: 4, Share: 1},
	{Name: "send", Priority: 3, Queue: 4, Share: 2},
}

func newGate(slots int) *mtgate.Gate[*mtgate.Fair] {
	g := mtgate.New(mtgate.NewFair(mtgate.DefaultGuaranteed), mtgate.Limits{Slots: slots, Connections: 100, Waiting: 6})
	for _, c := range classes {
		g.Declare("ratins", c)
	}
	return g
}

func ticket(n int, class mtid.Class) mtgate.Ticket {
	return mtgate.Ticket{Number: mtgate.Number(n), Business: "ratins", Class: class, Point: mtid.Point(n), Try: mtid.TryID(n), Deadline: mtclock.Instant(time.Second)}
}

// describe formats effects for comparison.
func describe(effects []mtgate.Effect) []string {
	out := []string{}
	for _, effect := range effects {
		switch e := effect.(type) {
		case mtgate.Start:
			out = append(out, fmt.Sprintf("start %d", e.Ticket.Number))
		case mtgate.Refuse:
			out = append(out, fmt.Sprintf("refuse %d %s", e.Ticket.Number, e.Err.Cause))
		case mtgate.RangeIdle:
			out = append(out, fmt.Sprintf("idle %d-%d", e.Low, e.High))
		case mtgate.Idle:
			out = append(out, "idle")
		}
	}
	return out
}

func TestGate(t *testing.T) {
	at := func(d time.Duration) mtclock.Instant { return mtclock.Instant(d) }
	type step struct {
		do   func(g *mtgate.Gate[*mtgate.Fair]) []mtgate.Effect
		want []string
	}
	offer := func(d time.Duration, n int, class mtid.Class) func(*mtgate.Gate[*mtgate.Fair]) []mtgate.Effect {
		return func(g *mtgate.Gate[*mtgate.Fair]) []mtgate.Effect { return g.Offer(at(d), ticket(n, class)) }
	}
	alone := func(n int) func(*mtgate.Gate[*mtgate.Fair]) []mtgate.Effect {
		return func(g *mtgate.Gate[*mtgate.Fair]) []mtgate.Effect {
			tk := ticket(n, "send")
			tk.Alone = true
			return g.Offer(0, tk)
		}
	}
	done := func(d time.Duration, n int) func(*mtgate.Gate[*mtgate.Fair]) []mtgate.Effect {
		return func(g *mtgate.Gate[*mtgate.Fair]) []mtgate.Effect { return g.Done(at(d), mtgate.Number(n)) }
	}
	type gate = *mtgate.Gate[*mtgate.Fair]
	tests := []struct {
		name  string
		steps []step
	}{
		{"slots are a hard limit", []step{
			{offer(0, 1, "send"), []string{"start 1"}},
			{offer(0, 2, "send"), []string{}},
			{done(ms, 1), []string{"start 2"}},
		}},
		{"the higher priority starts first", []step{
			{offer(0, 1, "send"), []string{"start 1"}},
			{offer(0, 2, "status"), []string{}},
			{offer(0, 3, "send"), []string{}},
			{done(ms, 1), []string{"start 3"}},
		}},
		{"a class has its own queue", []step{
			{offer(0, 1, "send"), []string{"start 1"}},
			{offer(0, 2, "status"), []string{}},
			{offer(0, 3, "status"), []string{}},
			{offer(0, 4, "status"), []string{}},
			{offer(0, 5, "status"), []string{}},
			{offer(0, 6, "status"), []string{"refuse 6 queue-full"}},
			{offer(0, 7, "send"), []string{}},
		}},
		{"the lowest priority is shed when the gate is full", []step{
			{offer(0, 1, "send"), []string{"start 1"}},
			{offer(0, 2, "status"), []string{}},
			{offer(0, 3, "status"), []string{}},
			{offer(0, 4, "status"), []string{}},
			{offer(0, 5, "send"), []string{}},
			{offer(0, 6, "send"), []string{}},
			{offer(0, 7, "send"), []string{}},
			{offer(0, 8, "send"), []string{"refuse 4 shed"}},
			{offer(0, 9, "status"), []string{"refuse 9 shed"}},
		}},
		{"a request waits for at most half of the time to its deadline", []step{
			{offer(0, 1, "send"), []string{"start 1"}},
			{offer(0, 2, "status"), []string{}},
			{func(g gate) []mtgate.Effect { return g.Expire(at(499 * ms)) }, []string{}},
			{func(g gate) []mtgate.Effect { return g.Expire(at(500 * ms)) }, []string{"refuse 2 shed"}},
			{done(501*ms, 1), []string{}},
		}},
		{"a request past its deadline is refused", []step{
			{offer(2*time.Second, 1, "send"), []string{"refuse 1 expired"}},
		}},
		{"without a server all requests are refused", []step{
			{offer(0, 1, "send"), []string{"start 1"}},
			{offer(0, 2, "send"), []string{}},
			{func(g gate) []mtgate.Effect { return g.Resize(0, 0, 0) }, []string{"refuse 2 no-server"}},
			{offer(0, 3, "send"), []string{"refuse 3 no-server"}},
			{func(g gate) []mtgate.Effect { return g.Resize(0, 1, 0) }, []string{}},
			{offer(0, 4, "send"), []string{"refuse 4 no-server"}},
		}},
		{"drain lets requests in flight finish", []step{
			{offer(0, 1, "send"), []string{"start 1"}},
			{offer(0, 2, "send"), []string{}},
			{func(g gate) []mtgate.Effect { return g.Drain(0) }, []string{"refuse 2 draining"}},
			{offer(0, 3, "send"), []string{"refuse 3 draining"}},
			{done(ms, 1), []string{"idle"}},
			{done(ms, 1), []string{}},
		}},
		{"requests outside of a stopped range start", []step{
			{offer(0, 1, "send"), []string{"start 1"}},
			{offer(0, 2, "send"), []string{}},
			{func(g gate) []mtgate.Effect { return g.Stop(0, 0, 2, mtgate.HoldNew) }, []string{}},
			{offer(0, 3, "send"), []string{}},
			{done(ms, 1), []string{"start 3", "idle 0-2"}},
			{func(g gate) []mtgate.Effect { return g.Release(at(ms), 0, 2) }, []string{"refuse 2 stale-route"}},
		}},
		{"resume starts held requests", []step{
			{func(g gate) []mtgate.Effect { return g.Stop(0, 0, 2, mtgate.HoldNew) }, []string{"idle 0-2"}},
			{offer(0, 1, "send"), []string{}},
			{func(g gate) []mtgate.Effect { return g.Resume(at(ms), 0, 2) }, []string{"start 1"}},
		}},
		{"RefuseNew refuses new requests", []step{
			{func(g gate) []mtgate.Effect { return g.Stop(0, 0, 2, mtgate.RefuseNew) }, []string{"idle 0-2"}},
			{offer(0, 1, "send"), []string{"refuse 1 moving"}},
		}},
		{"a request with Alone set runs alone", []step{
			{offer(0, 1, "send"), []string{"start 1"}},
			{alone(2), []string{}},
			{offer(0, 3, "send"), []string{}},
			{done(ms, 1), []string{"start 2"}},
			{done(2*ms, 2), []string{"start 3"}},
		}},
		{"cancel removes a waiting request", []step{
			{offer(0, 1, "send"), []string{"start 1"}},
			{offer(0, 2, "send"), []string{}},
			{func(g gate) []mtgate.Effect { return g.Cancel(0, 2) }, []string{"refuse 2 expired"}},
			{func(g gate) []mtgate.Effect { return g.Cancel(0, 1) }, []string{}},
			{done(ms, 1), []string{}},
		}},
		{"withdraw removes waiting requests, also held ones", []step{
			{offer(0, 1, "send"), []string{"start 1"}},
			{offer(0, 2, "send"), []string{}},
			{offer(0, 3, "send"), []string{}},
			{offer(0, 4, "send"), []string{}},
			{func(g gate) []mtgate.Effect { return g.Stop(0, 3, 3, mtgate.HoldNew) }, []string{"idle 3-3"}},
			{func(g gate) []mtgate.Effect {
				return g.Withdraw(0, map[mtid.TryID]bool{1: true, 2: true, 3: true})
			}, []string{"refuse 2 withdrawn", "refuse 3 withdrawn"}},
			{done(ms, 1), []string{"start 4"}},
			{func(g gate) []mtgate.Effect { return g.Resume(at(ms), 3, 3) }, []string{}},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(1)
			for i, s := range tt.steps {
				got := describe(s.do(g))
				assert.Assert(t, slices.Equal(got, s.want), "step %d: got %q, want %q", i, got, s.want)
			}
		})
	}
}

func TestRateLimit(t *testing.T) {
	g := newGate(100)
	g.Declare("ratins", mtbundle.Class{Name: "status", Rate: 4})
	assert.DeepEqual(t, describe(g.Offer(0, ticket(1, "status"))), []string{"start 1"})
	effects := g.Offer(0, ticket(2, "status"))
	assert.DeepEqual(t, describe(effects), []string{"refuse 2 limited"})
	assert.Equal(t, effects[0].(mtgate.Refuse).Err.RetryAfter, 250*ms)
	assert.DeepEqual(t, describe(g.Offer(mtclock.Instant(250*ms), ticket(3, "status"))), []string{"start 3"})
}

// For any sequence of calls, each request gets exactly one Start or Refuse, running
// requests never exceed the slots, no request starts past its deadline or in a
// stopped range, and a request with Alone set runs with no other.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGate(3)
		slots := 3
		now := mtclock.Instant(0)
		outcomes := map[mtgate.Number]string{}
		running := map[mtgate.Number]mtgate.Ticket{}
		stopped := map[mtid.Point]bool{}
		number := 0
		take := func(effects []mtgate.Effect) {
			for _, effect := range effects {
				switch e := effect.(type) {
				case mtgate.Start:
					assert.Equal(t, outcomes[e.Ticket.Number], "", "second effect for one ticket")
					outcomes[e.Ticket.Number] = "start"
					assert.Assert(t, e.Ticket.Deadline.After(now), "started past its deadline")
					assert.Assert(t, !stopped[e.Ticket.Point/100], "started in a stopped range")
					for _, other := range running {
						assert.Assert(t, !e.Ticket.Alone && !other.Alone, "a request with Alone set runs beside another")
					}
					assert.Assert(t, len(running) < slots, "more requests in flight than slots")
					running[e.Ticket.Number] = e.Ticket
				case mtgate.Refuse:
					assert.Equal(t, outcomes[e.Ticket.Number], "", "second effect for one ticket")
					outcomes[e.Ticket.Number] = "refuse"
				case mtgate.RangeIdle:
					for _, other := range running {
						assert.Assert(t, other.Point < e.Low || e.High < other.Point, "request in flight in an idle range")
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				number++
				tk := ticket(number, rapid.SampledFrom([]mtid.Class{"send", "status", "new"}).Draw(t, "class"))
				tk.Point = mtid.Point(rapid.IntRange(0, 299).Draw(t, "point"))
				tk.Alone = rapid.IntRange(0, 5).Draw(t, "alone") == 0
				tk.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 60).Draw(t, "left")) * ms)
				take(g.Offer(now, tk))
			},
			"done": func(*rapid.T) {
				for n := range mtgate.Number(number + 1) {
					if _, ok := running[n]; ok {
						delete(running, n)
						take(g.Done(now, n))
						return
					}
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * ms)
				take(g.Expire(now))
				if next, ok := g.Next(); ok {
					assert.Assert(t, next.After(now), "Next returned %d, which is not after now (%d)", next, now)
				}
			},
			"stop": func(t *rapid.T) {
				part := mtid.Point(rapid.IntRange(0, 2).Draw(t, "part"))
				low, high := part*100, part*100+99
				if stopped[part] {
					delete(stopped, part)
					if rapid.Bool().Draw(t, "resume") {
						take(g.Resume(now, low, high))
					} else {
						take(g.Release(now, low, high))
					}
					return
				}
				stopped[part] = true
				take(g.Stop(now, low, high, mtgate.HoldNew))
			},
			"resize": func(t *rapid.T) {
				slots = rapid.IntRange(0, 3).Draw(t, "slots")
				take(g.Resize(now, slots, 100))
			},
		})
		// By now every request must have started or been refused.
		now = now.Add(time.Hour)
		for n := range mtgate.Number(number + 1) {
			if _, ok := running[n]; ok {
				delete(running, n)
				take(g.Done(now, n))
			}
		}
		take(g.Expire(now))
		for n := 1; n <= number; n++ {
			assert.Assert(t, outcomes[mtgate.Number(n)] != "", "request %d neither started nor was refused", n)
		}
	})
}
