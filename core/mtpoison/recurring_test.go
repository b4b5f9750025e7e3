package mtpoison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
)

// suspecting is daemons that hear of each other's suspects as the records spread.
type suspecting struct {
	daemons []*mtpoison.Recurring
	now     mtclock.Instant
}

func newSuspecting(size int) *suspecting {
	f := &suspecting{now: mtclock.Instant(time.Hour)}
	for range size {
		f.daemons = append(f.daemons, mtpoison.NewRecurring())
	}
	return f
}

func name(i int) mtid.Daemon { return mtid.Daemon(fmt.Sprintf("vm-%03d", i)) }

// lose loses the server of a daemon while the requests are in flight there, and
// spreads its record.
func (f *suspecting) lose(i int, prints ...mtpoison.Print) mtpoison.Suspects {
	for _, p := range prints {
		f.daemons[i].Began(p)
	}
	suspects := f.daemons[i].Lost(f.now, name(i))
	for _, p := range prints {
		f.daemons[i].Ended(f.now, p, mtpoison.Broken)
	}
	for j, other := range f.daemons {
		if j != i {
			other.Heard(f.now, name(i), suspects)
		}
	}
	return suspects
}

// refused reports whether a daemon refuses a request for which another one asks.
func (f *suspecting) refused(host, ingress int, p mtpoison.Print) bool {
	proven := f.daemons[ingress].Proven(p)
	return f.daemons[host].Quarantined(f.now, p, proven) > 0
}

// A request crashes each server that runs it, and its caller sends it again through
// any daemon, to any server of 155. Innocent requests are in flight beside it, others at
// each loss. The fourth server must not fall, and the innocent ones must be served.
func TestARecurringRequestIsRefusedByAllAfterThreeLosses(t *testing.T) {
	f := newSuspecting(155)
	random := rand.New(rand.NewPCG(1, 2))
	lost := 0
	for try := range 40 {
		host, ingress := random.IntN(155), random.IntN(155)
		if f.refused(host, ingress, poison) {
			continue
		}
		lost++
		beside := mtpoison.Print(1000 + 10*try)
		f.lose(host, poison, beside, beside+1, beside+2)
		assert.Assert(t, !f.refused(random.IntN(155), ingress, beside))
		f.now = f.now.Add(time.Second)
	}
	assert.Equal(t, lost, 3)
}

// All status checks look alike. A loss of power takes sixty servers a few moments after
// they began, each with status checks in flight. Held to be the cause, the checks were
// refused for minutes, and nobody could ever have an answer that showed otherwise.
func TestARequestThatSomebodyHadAnAnswerToIsNotRefused(t *testing.T) {
	f := newSuspecting(155)
	for i := range 60 {
		f.lose(i, innocent)
	}
	assert.Assert(t, f.refused(100, 101, innocent), "nobody has had an answer yet")
	f.daemons[101].Prove(innocent)
	assert.Assert(t, !f.refused(100, 101, innocent), "the daemon that asks had one")
	f.daemons[100].Began(innocent)
	f.daemons[100].Ended(f.now, innocent, mtpoison.Whole)
	assert.Assert(t, !f.refused(100, 102, innocent), "the server itself gave one")
	assert.Equal(t, len(f.lose(101, innocent).Prints()), 0, "a later loss is not held against it")
}

// A request was in flight at three losses by chance. It runs again when too few of them
// are recent, without anybody's help, and however often it was asked for.
func TestAWrongSuspicionEndsByItself(t *testing.T) {
	f := newSuspecting(4)
	for i := range 3 {
		f.lose(i, innocent)
		f.now = f.now.Add(time.Minute)
	}
	left := f.daemons[3].Quarantined(f.now, innocent, false)
	assert.Assert(t, left > 0)
	for range 100 {
		f.now = f.now.Add(left / 100)
		_ = f.refused(3, 3, innocent)
	}
	f.now = f.now.Add(time.Second)
	assert.Assert(t, !f.refused(3, 3, innocent), "the time that callers were told is over")
}

// The process of a server ends, and its daemon notices a moment after the connections
// broke. What broke long before, or was answered or not run, has nothing to do with it.
func TestWhatBrokeJustBeforeALossIsSuspected(t *testing.T) {
	r := mtpoison.NewRecurring()
	now := mtclock.Instant(time.Hour)
	end := func(p mtpoison.Print, how mtpoison.End) {
		r.Began(p)
		r.Ended(now, p, how)
	}
	end(10, mtpoison.Broken)
	now = now.Add(5 * time.Second)
	end(11, mtpoison.Broken)
	end(12, mtpoison.Whole)
	end(13, mtpoison.NotRun)
	end(14, mtpoison.Left)
	r.Began(15)
	now = now.Add(300 * time.Millisecond)
	assert.DeepEqual(t, r.Lost(now, "a").Prints(), []mtpoison.Print{11, 15})
}

// A record is at most so long, however many requests were in flight, and what somebody
// else writes into one names no request and costs no memory.
func TestSuspectsAreBoundedAndChecked(t *testing.T) {
	r := mtpoison.NewRecurring()
	for p := range mtpoison.Print(5000) {
		r.Began(^p)
	}
	suspects := r.Lost(0, "a")
	assert.Equal(t, len(suspects.Prints()), 16)
	assert.Assert(t, len(suspects) < 300)
	for _, foreign := range []mtpoison.Suspects{"", "x", "0:1", "1:x", "-1:2", "1:", "1:10000000000000000", mtpoison.Suspects("1" + string(make([]byte, 1<<20)))} {
		assert.Equal(t, len(foreign.Prints()), 0, "%.20q", string(foreign))
	}
}

// Whatever the order in which records are heard, once or more often, all daemons that
// heard the same refuse the same.
func TestSuspectsAreHeardInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type word struct {
			daemon   mtid.Daemon
			suspects mtpoison.Suspects
		}
		var words []word
		for i := range rapid.IntRange(1, 8).Draw(t, "losses") {
			source := mtpoison.NewRecurring()
			for range rapid.IntRange(1, 4).Draw(t, "in flight") {
				source.Began(mtpoison.Print(rapid.IntRange(1, 5).Draw(t, "print")))
			}
			words = append(words, word{daemon: name(i), suspects: source.Lost(0, name(i))})
		}
		judge := func(order []int) [6]time.Duration {
			r := mtpoison.NewRecurring()
			for _, i := range order {
				r.Heard(0, words[i].daemon, words[i].suspects)
			}
			var left [6]time.Duration
			for p := range left {
				left[p] = r.Quarantined(0, mtpoison.Print(p), false)
			}
			return left
		}
		var once []int
		for i := range words {
			once = append(once, i)
		}
		again := append(rapid.Permutation(once).Draw(t, "order"), rapid.SliceOf(rapid.IntRange(0, len(words)-1)).Draw(t, "again")...)
		assert.DeepEqual(t, judge(once), judge(again))
	})
}
