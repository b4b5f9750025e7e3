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
	skew      = 200 * time.Millisecond
	retention = 10 * time.Second
	owners    = 3
	shards    = 2
)

// epoch is the true time at which a simulation starts.
var epoch = time.UnixMilli(1_800_000_000_000)

// mint returns a UUIDv7 with that time, made unique by n.
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

// sent is a request that a caller has sent at least once.
type sent struct {
	key   mtrecent.DedupKey
	shard int
	runs  int
	// running is set while a try with the verdict Run has not ended. It runs at
	// owner, with the records of table.
	running bool
	owner   int
	table   *mtrecent.Table
}

// simulation holds the owners, their clocks, and a record of which requests have run.
type simulation struct {
	t       *rapid.T
	now     time.Duration
	offsets [owners]time.Duration
	tables  [owners]*mtrecent.Table
	owner   [shards]int
	sent    []*sent
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t}
	for i := range owners {
		// Any two clocks differ by at most the skew.
		sim.offsets[i] = time.Duration(rapid.Int64Range(0, skew.Milliseconds()).Draw(t, "offset")) * time.Millisecond
		sim.restartTable(i)
	}
	for s := range shards {
		low, high := bounds(s)
		assert.NilError(t, sim.tables[0].Grant(low, high, time.Time{}))
	}
	return sim
}

func bounds(shard int) (mtid.Point, mtid.Point) {
	if shard == 0 {
		return 0, 999
	}
	return 1000, ^mtid.Point(0)
}

func (sim *simulation) restartTable(i int) {
	sim.tables[i] = mtrecent.New(mtrecent.Limits{Retention: retention, Skew: skew, Entries: 40, TotalAnswerBytes: 300, Waiters: 2})
}

func (sim *simulation) instant() mtclock.Instant { return mtclock.Instant(sim.now) }

func (sim *simulation) wall(i int) time.Time { return epoch.Add(sim.now + sim.offsets[i]) }

// try sends a request to the current owner of its shard and checks the verdict against
// the record of what has run.
func (sim *simulation) try(s *sent, minted bool, hash mtrecent.Fingerprint) {
	i := sim.owner[s.shard]
	r := mtrecent.Request{DedupKey: s.key, Fingerprint: hash, Minted: minted}
	v := sim.tables[i].Begin(sim.instant(), sim.wall(i), r, 1)
	var refused *mtreply.RefusedError
	switch {
	case v.Kind == mtrecent.Run:
		assert.Equal(sim.t, s.runs, 0, "identifier runs again at owner %d", i)
		assert.Assert(sim.t, !s.running || s.table != sim.tables[i])
		s.runs++
		s.running, s.owner, s.table = true, i, sim.tables[i]
	case v.Kind == mtrecent.Wait:
		assert.Assert(sim.t, s.running && s.table == sim.tables[i])
	case v.Kind == mtrecent.Replay:
		assert.Equal(sim.t, s.runs, 1)
	case errors.As(v.Err, &refused) && refused.Cause != mtreply.CauseMalformed:
		assert.Equal(sim.t, s.runs, 0, "refused with %q although the identifier has run", refused.Cause)
	}
	if minted {
		full := refused != nil && refused.Cause == mtreply.CauseRecentFull
		assert.Assert(sim.t, v.Kind == mtrecent.Run || full, "a new identifier was refused: %v", v.Err)
	}
}

// sendNew sends a request with a new identifier.
func (sim *simulation) sendNew() {
	shard := rapid.IntRange(0, shards-1).Draw(sim.t, "shard")
	minted := rapid.Bool().Draw(sim.t, "minted")
	lead := rapid.Int64Range(-3000, 1000).Draw(sim.t, "lead")
	if minted {
		// The clock of the ingress is within the skew, too. The lead is over true
		// time, which the owner's clock never lags.
		lead = rapid.Int64Range(0, skew.Milliseconds()).Draw(sim.t, "lead")
	}
	low, _ := bounds(shard)
	at := epoch.Add(sim.now + time.Duration(lead)*time.Millisecond)
	s := &sent{key: mtrecent.DedupKey{Point: low + 7, ID: mint(at, len(sim.sent))}, shard: shard}
	sim.sent = append(sim.sent, s)
	sim.try(s, minted, 1)
}

// resend sends one of the earlier requests again, possibly with different content.
func (sim *simulation) resend() {
	if len(sim.sent) == 0 {
		return
	}
	s := sim.sent[rapid.IntRange(0, len(sim.sent)-1).Draw(sim.t, "which")]
	sim.try(s, false, mtrecent.Fingerprint(rapid.IntRange(1, 2).Draw(sim.t, "fingerprint")))
}

// end ends a request if it is running, with a random outcome.
func (sim *simulation) end(s *sent) {
	if !s.running {
		return
	}
	s.running = false
	o := mtrecent.Result{Outcome: rapid.SampledFrom([]mtreply.Outcome{mtreply.Answered, mtreply.Unknown, mtreply.NotRun}).Draw(sim.t, "what")}
	if o.Outcome == mtreply.Answered {
		o.Answer = &mtrecent.Answer{Status: 200, Body: []byte("done")}
	}
	if o.Outcome == mtreply.NotRun {
		s.runs--
	}
	s.table.End(sim.instant(), s.key, o)
}

func (sim *simulation) endOne() {
	for _, s := range sim.sent {
		if s.running {
			sim.end(s)
			return
		}
	}
}

// move transfers a shard in a planned move. The new owner may lack capacity, and the
// store may refuse the change.
func (sim *simulation) move() {
	shard := rapid.IntRange(0, shards-1).Draw(sim.t, "shard")
	to := rapid.IntRange(0, owners-1).Draw(sim.t, "to")
	from := sim.owner[shard]
	if to == from {
		return
	}
	for _, s := range sim.sent {
		if s.shard == shard && s.table == sim.tables[from] {
			sim.end(s)
		}
	}
	low, high := bounds(shard)
	value, err := mtrecent.Encode(sim.tables[from].Export(sim.instant(), low, high))
	assert.NilError(sim.t, err)
	h, err := mtrecent.Decode(value)
	assert.NilError(sim.t, err)
	if err := sim.tables[to].Import(sim.instant(), h); err != nil {
		var full *mtrecent.FullError
		assert.Assert(sim.t, errors.As(err, &full), "%v", err)
		return
	}
	if rapid.Bool().Draw(sim.t, "store refuses") {
		return
	}
	sim.owner[shard] = to
	sim.tables[from].Revoke(low, high)
}

// takeOver grants a shard of a lost owner to another one. The lost owner was either
// restarted without its records or only disconnected.
func (sim *simulation) takeOver() {
	shard := rapid.IntRange(0, shards-1).Draw(sim.t, "shard")
	to := rapid.IntRange(0, owners-1).Draw(sim.t, "to")
	if rapid.Bool().Draw(sim.t, "restarted") || to == sim.owner[shard] {
		lost := sim.owner[shard]
		sim.restartTable(lost)
		for s := range shards {
			if sim.owner[s] == lost {
				low, high := bounds(s)
				assert.NilError(sim.t, sim.tables[lost].Grant(low, high, sim.wall(lost)))
			}
		}
	}
	sim.owner[shard] = to
	low, high := bounds(shard)
	assert.NilError(sim.t, sim.tables[to].Grant(low, high, sim.wall(to)))
}

func (sim *simulation) advance() {
	sim.now += time.Duration(rapid.Int64Range(0, 400).Draw(sim.t, "ms")) * time.Millisecond
}

func (sim *simulation) advanceFar() {
	sim.now += time.Duration(rapid.Int64Range(0, 15000).Draw(sim.t, "ms")) * time.Millisecond
}

// A caller gets no reply and resends its request, across any number of moves, takeovers
// and restarts of the owner, with clocks that differ. The request must run at most once,
// and must not have run if the reply is "not run".
func TestNoIdentifierRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		step := func(f func()) func(*rapid.T) {
			return func(rt *rapid.T) {
				sim.t = rt
				f()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"fresh":    step(sim.sendNew),
			"fresh2":   step(sim.sendNew),
			"resend":   step(sim.resend),
			"resend2":  step(sim.resend),
			"end":      step(sim.endOne),
			"move":     step(sim.move),
			"takeover": step(sim.takeOver),
			"pass":     step(sim.advance),
			"passlong": step(sim.advanceFar),
		})
	})
}
