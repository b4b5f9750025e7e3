package mtpoison_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
)

type table = mtpoison.Table[mtpoison.Narrow]

func holder(name string) mtid.Holder {
	return mtid.Holder{Daemon: mtid.Daemon(name), Incarnation: 1}
}

func newTable(name string) *table {
	return mtpoison.New(mtpoison.Narrow{}, holder(name), mtpoison.Limits{})
}

// send merges all that one table knows into another, over the wire form.
func send(t assert.TestingT, now mtclock.Instant, from, to *table) {
	value, err := mtpoison.Encode(now, from.Digest(now, 1000))
	assert.NilError(t, err)
	d, err := mtpoison.Decode(now, value)
	assert.NilError(t, err)
	to.Merge(now, d)
}

const (
	poison   = mtpoison.Print(1)
	innocent = mtpoison.Print(2)
	other    = mtpoison.Print(3)
)

// crash runs the prints together and loses the server.
func crash(tb *table, now mtclock.Instant, alone bool, prints ...mtpoison.Print) {
	for i, p := range prints {
		tb.Started(mtpoison.Number(i), p, alone)
	}
	for i := range prints {
		tb.Ended(now, mtpoison.Number(i), mtpoison.Broken)
	}
	tb.ServerLost(now)
}

// A status check crashes the server that answers it, and a desk's order was in
// flight beside it. Both are sent again. The check must not take a third server
// down, and the order must go through.
func TestVerdicts(t *testing.T) {
	minute := mtclock.Instant(time.Minute)
	tests := []struct {
		name  string
		story func(tb *table)
		print mtpoison.Print
		want  mtpoison.Verdict
	}{
		{"nothing happened", func(*table) {}, poison, mtpoison.Clear},
		{"one crash", func(tb *table) { crash(tb, 1, false, poison, innocent) }, innocent, mtpoison.Suspect},
		{"crash while alone", func(tb *table) {
			crash(tb, 1, false, poison, innocent)
			crash(tb, 2, true, poison)
		}, poison, mtpoison.Quarantined},
		{"another's crash while alone", func(tb *table) {
			crash(tb, 1, false, poison, innocent)
			crash(tb, 2, true, poison)
		}, innocent, mtpoison.Suspect},
		{"answered while alone", func(tb *table) {
			crash(tb, 1, false, poison, innocent)
			tb.Started(9, innocent, true)
			tb.Ended(2, 9, mtpoison.Whole)
		}, innocent, mtpoison.Clear},
		{"not run while alone", func(tb *table) {
			crash(tb, 1, false, poison, innocent)
			tb.Started(9, innocent, true)
			tb.Ended(2, 9, mtpoison.NotRun)
		}, innocent, mtpoison.Suspect},
		{"connection broke, server lives", func(tb *table) {
			tb.Started(1, innocent, false)
			tb.Ended(1, 1, mtpoison.Broken)
		}, innocent, mtpoison.Clear},
		{"connection broke long before the crash", func(tb *table) {
			tb.Started(1, innocent, false)
			tb.Ended(1, 1, mtpoison.Broken)
			crash(tb, minute, false, poison)
		}, innocent, mtpoison.Clear},
		{"sent alone to a server that another had crashed just before", func(tb *table) {
			crash(tb, 1, false, other, innocent)
			tb.Started(1, poison, false)
			tb.Ended(2, 1, mtpoison.Broken)
			tb.Started(2, innocent, true)
			tb.Ended(3, 2, mtpoison.Broken)
			tb.ServerLost(4)
		}, innocent, mtpoison.Suspect},
		{"the only one common to two crashes", func(tb *table) {
			crash(tb, 1, false, poison, innocent)
			crash(tb, 2, false, poison, other)
		}, poison, mtpoison.Quarantined},
		{"the only one common to two crashes, cleared in between", func(tb *table) {
			crash(tb, 1, false, poison, innocent)
			tb.Started(9, innocent, true)
			tb.Ended(2, 9, mtpoison.Whole)
			crash(tb, 3, false, other, innocent)
		}, innocent, mtpoison.Suspect},
		{"one of two common to two crashes", func(tb *table) {
			crash(tb, 1, false, poison, innocent)
			crash(tb, 2, false, poison, innocent, other)
		}, poison, mtpoison.Suspect},
		{"relay lost, daemon lives", func(tb *table) {
			tb.Relayed(1, holder("b"), innocent)
			tb.Begun(1)
			tb.RelayLost(1, 1)
		}, innocent, mtpoison.Suspect},
		{"relay lost after it began alone, daemon lost", func(tb *table) {
			tb.Relayed(1, holder("b"), poison)
			tb.Begun(1)
			tb.RelayLost(1, 1)
			tb.HolderLost(2, holder("b"))
		}, poison, mtpoison.Quarantined},
		{"relay open when the daemon is found lost", func(tb *table) {
			tb.Relayed(1, holder("b"), poison)
			tb.Begun(1)
			tb.HolderLost(2, holder("b"))
		}, poison, mtpoison.Quarantined},
		{"relay lost before it began, daemon lost", func(tb *table) {
			tb.Relayed(1, holder("b"), innocent)
			tb.HolderLost(2, holder("b"))
		}, innocent, mtpoison.Suspect},
		{"relay lost after it began, another daemon lost", func(tb *table) {
			tb.Relayed(1, holder("b"), innocent)
			tb.Begun(1)
			tb.RelayLost(1, 1)
			tb.HolderLost(2, holder("c"))
		}, innocent, mtpoison.Suspect},
		{"out of quarantine", func(tb *table) {
			crash(tb, 1, false, poison)
			crash(tb, 2, true, poison)
			tb.Expire(2 + mtclock.Instant(mtpoison.DefaultQuarantine))
		}, poison, mtpoison.Suspect},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb := newTable("a")
			tt.story(tb)
			got := tb.Judge(5, tt.print, false)
			assert.Equal(t, got, tt.want, "got %s, want %s", got, tt.want)
		})
	}
}

func TestAging(t *testing.T) {
	tb := newTable("a")
	crash(tb, 1, false, poison)
	age := mtclock.Instant(mtpoison.DefaultSuspicion)
	assert.Equal(t, tb.Judge(age, poison, false), mtpoison.Suspect)
	assert.Equal(t, tb.Judge(1+age, poison, false), mtpoison.Clear)

	// Who goes on asking for a quarantined request keeps it there.
	crash(tb, 2, true, innocent)
	step := mtclock.Instant(mtpoison.DefaultQuarantine - 1)
	for now := step; now < 10*step; now += step {
		tb.Expire(now)
		assert.Equal(t, tb.Judge(now, innocent, false), mtpoison.Quarantined)
	}
}

func TestHintOfTheIngress(t *testing.T) {
	tb := newTable("a")
	assert.Equal(t, tb.Judge(1, poison, true), mtpoison.Suspect)
	tb.Started(1, poison, true)
	tb.Ended(2, 1, mtpoison.Whole)
	assert.Equal(t, tb.Judge(3, poison, true), mtpoison.Clear)
}

// The ingress of a suspect hears that it ran alone, then the connection breaks.
// The daemons that it tells quarantine the request once they know of the loss,
// each for itself: the new owner may know before the ingress does.
func TestConditionTravels(t *testing.T) {
	ingress, owner := newTable("a"), newTable("c")
	ingress.Relayed(1, holder("b"), poison)
	ingress.Begun(1)
	ingress.RelayLost(1, 1)
	send(t, 2, ingress, owner)
	assert.Equal(t, owner.Judge(3, poison, false), mtpoison.Suspect)
	assert.DeepEqual(t, owner.Conditions(), []mtid.Holder{holder("b")})
	owner.HolderLost(4, holder("b"))
	assert.Equal(t, owner.Judge(5, poison, false), mtpoison.Quarantined)
	assert.Equal(t, len(owner.Conditions()), 0)
}

// Two poison requests crash a server each, and one innocent request was in
// flight both times, cleared in between at its owner. A daemon that only hears
// of the crashes must not hold that against it.
func TestClearingTravels(t *testing.T) {
	owner, hearer := newTable("a"), newTable("b")
	crash(owner, 1, false, poison, innocent)
	owner.Started(9, innocent, true)
	owner.Ended(2, 9, mtpoison.Whole)
	crash(owner, 3, false, other, innocent)
	send(t, 4, owner, hearer)
	assert.Equal(t, hearer.Judge(5, innocent, false), mtpoison.Suspect)
}

func TestBounds(t *testing.T) {
	tb := mtpoison.New(mtpoison.Narrow{}, holder("a"), mtpoison.Limits{Crashes: 3, Prints: 2, Quarantined: 4})
	for i := range 20 {
		now := mtclock.Instant(i + 1)
		crash(tb, now, false, mtpoison.Print(3*i+10), mtpoison.Print(3*i+11), mtpoison.Print(3*i+12))
		crash(tb, now, true, mtpoison.Print(1000+i))
	}
	counts := tb.Counts()
	assert.Equal(t, counts.Crashes, 3)
	assert.Equal(t, counts.Quarantined, 4)
	d := tb.Digest(21, 5)
	size := len(d.Quarantines)
	for _, c := range d.Crashes {
		size += len(c.Prints)
	}
	assert.Equal(t, size, 5)
}

// fleet is some daemons, each with a server, and one key that they serve in
// turn. Evidence is sent before callers are answered.
type fleet struct {
	t      *rapid.T
	now    mtclock.Instant
	tables []*table
	lives  []mtid.Incarnation
	owner  int
	number mtpoison.Number
	kills  int
}

func (f *fleet) holder(i int) mtid.Holder {
	return mtid.Holder{Daemon: mtid.Daemon(fmt.Sprint(i)), Incarnation: f.lives[i]}
}

func (f *fleet) spread() {
	for i, from := range f.tables {
		for j, to := range f.tables {
			if i != j {
				send(f.t, f.now, from, to)
			}
		}
	}
}

// flying is a request on its way.
type flying struct {
	print   mtpoison.Print
	ingress int
	number  mtpoison.Number
}

// batch sends requests to the owner at the same time. What is suspected runs
// alone, after the rest.
func (f *fleet) batch(reqs []flying) {
	var together []flying
	var lone []flying
	for _, r := range reqs {
		hint := f.tables[r.ingress].Judge(f.now, r.print, false)
		if hint == mtpoison.Quarantined {
			assert.Equal(f.t, r.print, poison, "an innocent request is quarantined")
			continue
		}
		verdict := f.tables[f.owner].Judge(f.now, r.print, hint == mtpoison.Suspect)
		f.number++
		r.number = f.number
		switch verdict {
		case mtpoison.Clear:
			together = append(together, r)
		case mtpoison.Suspect:
			lone = append(lone, r)
		default:
			assert.Equal(f.t, r.print, poison, "an innocent request is quarantined")
		}
	}
	if f.run(together, lone) {
		return
	}
	for i := range lone {
		if f.run(lone[i:i+1], lone[i+1:]) {
			return
		}
	}
}

// run runs requests at the owner while others wait there, and reports whether
// the server was lost.
func (f *fleet) run(running, waiting []flying) bool {
	f.now += mtclock.Instant(time.Millisecond)
	owner := f.tables[f.owner]
	alone := len(running) == 1 && owner.Judge(f.now, running[0].print, true) == mtpoison.Suspect
	killed := false
	for _, r := range waiting {
		f.tables[r.ingress].Relayed(r.number, f.holder(f.owner), r.print)
	}
	for _, r := range running {
		f.tables[r.ingress].Relayed(r.number, f.holder(f.owner), r.print)
		owner.Started(r.number, r.print, alone)
		if alone {
			f.tables[r.ingress].Begun(r.number)
		}
		killed = killed || r.print == poison
	}
	if !killed {
		for _, r := range running {
			owner.Ended(f.now, r.number, mtpoison.Whole)
			f.tables[r.ingress].Returned(f.now, r.number, true)
		}
		return false
	}
	f.kills++
	all := append(append([]flying(nil), running...), waiting...)
	if rapid.Bool().Draw(f.t, "whole VM") {
		f.loseVM(all)
	} else {
		f.loseServer(running, all)
	}
	f.spread()
	return true
}

func (f *fleet) loseServer(running, all []flying) {
	owner := f.tables[f.owner]
	for _, r := range running {
		owner.Ended(f.now, r.number, mtpoison.Broken)
	}
	owner.ServerLost(f.now)
	for _, r := range all {
		f.tables[r.ingress].Returned(f.now, r.number, false)
	}
	if rapid.Bool().Draw(f.t, "moves") {
		f.owner = (f.owner + 1) % len(f.tables)
	}
}

func (f *fleet) loseVM(all []flying) {
	lost := f.owner
	gone := f.holder(lost)
	f.lives[lost]++
	f.tables[lost] = mtpoison.New(mtpoison.Narrow{}, f.holder(lost), mtpoison.Limits{})
	for _, r := range all {
		if rapid.Bool().Draw(f.t, "connection breaks") {
			f.tables[r.ingress].RelayLost(f.now, r.number)
		}
	}
	for _, tb := range f.tables {
		tb.HolderLost(f.now, gone)
	}
	f.owner = (f.owner + 1) % len(f.tables)
}

// One request crashes each server that runs it, sometimes with the whole VM.
// Its caller, and the callers of innocent requests that were in flight beside
// it, send theirs again through any daemon, several at once. Two servers fall at
// most, and no innocent request is ever quarantined.
func TestAPoisonRequestKillsTwoServersAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, owner: 0}
		for i := range 4 {
			f.lives = append(f.lives, 1)
			f.tables = append(f.tables, mtpoison.New(mtpoison.Narrow{}, f.holder(i), mtpoison.Limits{}))
		}
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			var reqs []flying
			for range rapid.IntRange(1, 8).Draw(t, "requests") {
				ingress := rapid.IntRange(0, 3).Draw(t, "ingress")
				if ingress == f.owner {
					// A daemon's own relays fall with it: they have no evidence
					// to give and no caller that could be answered.
					ingress = (ingress + 1) % 4
				}
				reqs = append(reqs, flying{print: mtpoison.Print(rapid.IntRange(1, 4).Draw(t, "print")), ingress: ingress})
			}
			f.batch(reqs)
			f.now += mtclock.Instant(time.Second)
		}
		assert.Assert(t, f.kills <= 2, "%d servers were lost", f.kills)
	})
}

func FuzzDecode(f *testing.F) {
	tb := newTable("a")
	crash(tb, 1, false, poison, innocent)
	crash(tb, 2, true, poison)
	value, err := mtpoison.Encode(3, tb.Digest(3, 100))
	assert.NilError(f, err)
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		now := mtclock.Instant(1000 * time.Hour)
		d, err := mtpoison.Decode(now, value)
		if err != nil {
			var want *mtpoison.DecodeError
			assert.Assert(t, errors.As(err, &want), "got %T", err)
			return
		}
		to := newTable("b")
		to.Merge(now, d)
		before := to.Digest(now, 1<<20)
		to.Merge(now, d)
		assert.DeepEqual(t, len(to.Digest(now, 1<<20).Crashes), len(before.Crashes))
		counts := to.Counts()
		assert.Assert(t, counts.Crashes <= mtpoison.DefaultCrashes)
		assert.Assert(t, counts.Quarantined <= mtpoison.DefaultQuarantined)
	})
}

// BenchmarkRequest is one request at an owner that suspects nothing.
func BenchmarkRequest(b *testing.B) {
	tb := newTable("a")
	n := mtpoison.Number(0)
	for b.Loop() {
		n++
		now := mtclock.Instant(n)
		tb.Judge(now, mtpoison.Print(n), false)
		tb.Started(n, mtpoison.Print(n), false)
		tb.Ended(now, n, mtpoison.Whole)
	}
}
