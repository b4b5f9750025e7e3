package mtrecent_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrecent"
	"magnoliaturn/core/mtreply"
)

const (
	skew   = 200 * time.Millisecond
	keep   = 10 * time.Second
	owners = 3
	shards = 2
)

// epoch is the true time at which a world begins.
var epoch = time.UnixMilli(1_800_000_000_000)

// mint returns a UUIDv7 of that time; n makes it unique.
func mint(at time.Time, n int) uuid.UUID {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	id[12], id[13], id[14], id[15] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n)
	return id
}

// sent is a request that some caller has sent at least once.
type sent struct {
	name  mtrecent.Name
	shard int
	runs  int
	// unsettled tries were let run and have not ended yet.
	running bool
	owner   int
	table   *mtrecent.Table
}

// world is a few owners, their clocks, and the truth about what has run.
type world struct {
	t       *rapid.T
	now     time.Duration
	offsets [owners]time.Duration
	tables  [owners]*mtrecent.Table
	owner   [shards]int
	sent    []*sent
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t}
	for i := range owners {
		// Any two clocks differ by the skew at most.
		w.offsets[i] = time.Duration(rapid.Int64Range(0, skew.Milliseconds()).Draw(t, "offset")) * time.Millisecond
		w.restartTable(i)
	}
	for s := range shards {
		low, high := bounds(s)
		assert.NilError(t, w.tables[0].Grant(low, high, time.Time{}))
	}
	return w
}

func bounds(shard int) (mtid.Point, mtid.Point) {
	if shard == 0 {
		return 0, 999
	}
	return 1000, ^mtid.Point(0)
}

func (w *world) restartTable(i int) {
	w.tables[i] = mtrecent.New(mtrecent.Limits{Keep: keep, Skew: skew, Count: 40, Answers: 300, Waiters: 2})
}

func (w *world) instant() mtclock.Instant { return mtclock.Instant(w.now) }

func (w *world) wall(i int) time.Time { return epoch.Add(w.now + w.offsets[i]) }

// try sends a request to the present owner of its shard and checks its word
// against the truth.
func (w *world) try(s *sent, minted bool, hash mtrecent.Fingerprint) {
	i := w.owner[s.shard]
	r := mtrecent.Request{Name: s.name, Fingerprint: hash, Minted: minted}
	v := w.tables[i].Begin(w.instant(), w.wall(i), r, 1)
	var refused *mtreply.RefusedError
	switch {
	case v.Kind == mtrecent.Run:
		assert.Equal(w.t, s.runs, 0, "identifier runs again at owner %d", i)
		assert.Assert(w.t, !s.running || s.table != w.tables[i])
		s.runs++
		s.running, s.owner, s.table = true, i, w.tables[i]
	case v.Kind == mtrecent.Wait:
		assert.Assert(w.t, s.running && s.table == w.tables[i])
	case v.Kind == mtrecent.Replay:
		assert.Equal(w.t, s.runs, 1)
	case errors.As(v.Err, &refused) && refused.Cause != mtreply.CauseMalformed:
		assert.Equal(w.t, s.runs, 0, "told %q of an identifier that has run", refused.Cause)
	}
	if minted {
		full := refused != nil && refused.Cause == mtreply.CauseRecentFull
		assert.Assert(w.t, v.Kind == mtrecent.Run || full, "a new identifier was answered %v", v.Err)
	}
}

// fresh sends a new request.
func (w *world) fresh() {
	shard := rapid.IntRange(0, shards-1).Draw(w.t, "shard")
	minted := rapid.Bool().Draw(w.t, "minted")
	lead := rapid.Int64Range(-3000, 1000).Draw(w.t, "lead")
	if minted {
		// The ingress is a VM as well: its clock keeps the bound. The lead is
		// over true time, and the owner's clock may lag up to nothing.
		lead = rapid.Int64Range(0, skew.Milliseconds()).Draw(w.t, "lead")
	}
	low, _ := bounds(shard)
	at := epoch.Add(w.now + time.Duration(lead)*time.Millisecond)
	s := &sent{name: mtrecent.Name{Point: low + 7, ID: mint(at, len(w.sent))}, shard: shard}
	w.sent = append(w.sent, s)
	w.try(s, minted, 1)
}

// resend sends one of the requests again.
func (w *world) resend() {
	if len(w.sent) == 0 {
		return
	}
	s := w.sent[rapid.IntRange(0, len(w.sent)-1).Draw(w.t, "which")]
	w.try(s, false, mtrecent.Fingerprint(rapid.IntRange(1, 2).Draw(w.t, "print")))
}

// end ends one running request.
func (w *world) end(s *sent) {
	if !s.running {
		return
	}
	s.running = false
	o := mtrecent.Outcome{What: rapid.SampledFrom([]mtreply.Outcome{mtreply.Answered, mtreply.Unknown, mtreply.NotRun}).Draw(w.t, "what")}
	if o.What == mtreply.Answered {
		o.Answer = &mtrecent.Answer{Status: 200, Body: []byte("done")}
	}
	if o.What == mtreply.NotRun {
		s.runs--
	}
	s.table.End(w.instant(), s.name, o)
}

func (w *world) endOne() {
	for _, s := range w.sent {
		if s.running {
			w.end(s)
			return
		}
	}
}

// move hands a shard over as planned; the store may refuse the change.
func (w *world) move() {
	shard := rapid.IntRange(0, shards-1).Draw(w.t, "shard")
	to := rapid.IntRange(0, owners-1).Draw(w.t, "to")
	from := w.owner[shard]
	if to == from {
		return
	}
	for _, s := range w.sent {
		if s.shard == shard && s.table == w.tables[from] {
			w.end(s)
		}
	}
	low, high := bounds(shard)
	value, err := mtrecent.Encode(w.tables[from].Export(w.instant(), low, high))
	assert.NilError(w.t, err)
	h, err := mtrecent.Decode(value)
	assert.NilError(w.t, err)
	if err := w.tables[to].Import(w.instant(), h); err != nil {
		var full *mtrecent.FullError
		assert.Assert(w.t, errors.As(err, &full), "%v", err)
		return
	}
	if rapid.Bool().Draw(w.t, "store refuses") {
		return
	}
	w.owner[shard] = to
	w.tables[from].Revoke(low, high)
}

// takeOver gives a shard of a lost owner to another one. The lost one may have
// been restarted or merely cut off.
func (w *world) takeOver() {
	shard := rapid.IntRange(0, shards-1).Draw(w.t, "shard")
	to := rapid.IntRange(0, owners-1).Draw(w.t, "to")
	if rapid.Bool().Draw(w.t, "restarted") || to == w.owner[shard] {
		lost := w.owner[shard]
		w.restartTable(lost)
		for s := range shards {
			if w.owner[s] == lost {
				low, high := bounds(s)
				assert.NilError(w.t, w.tables[lost].Grant(low, high, w.wall(lost)))
			}
		}
	}
	w.owner[shard] = to
	low, high := bounds(shard)
	assert.NilError(w.t, w.tables[to].Grant(low, high, w.wall(to)))
}

func (w *world) pass() {
	w.now += time.Duration(rapid.Int64Range(0, 400).Draw(w.t, "ms")) * time.Millisecond
}

func (w *world) passLong() {
	w.now += time.Duration(rapid.Int64Range(0, 15000).Draw(w.t, "ms")) * time.Millisecond
}

// A hotel's front desk sends a robot and hears nothing. It sends the same order
// again, through any number of moves, takeovers and restarts of the owner, with
// clocks that differ. However that goes, one robot leaves at most, and a desk
// that is told "not run" of an order finds no robot on its way.
func TestNoIdentifierRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		step := func(f func()) func(*rapid.T) {
			return func(rt *rapid.T) {
				w.t = rt
				f()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"fresh":    step(w.fresh),
			"fresh2":   step(w.fresh),
			"resend":   step(w.resend),
			"resend2":  step(w.resend),
			"end":      step(w.endOne),
			"move":     step(w.move),
			"takeover": step(w.takeOver),
			"pass":     step(w.pass),
			"passlong": step(w.passLong),
		})
	})
}
