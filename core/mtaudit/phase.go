package mtaudit

import (
	"slices"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Count is how many calls ended in one way.
type Count struct {
	Outcome mtreply.Outcome
	Cause   mtreply.Cause
	Calls   int
}

// Outage is a time in which no call for a key was answered. It is known as well
// as the key was asked for often: AtLeast reaches from when the first of the
// failed calls was due to when the last one was, AtMost to the first answer to a
// call that was due later. Two failed calls further apart than maxGap, with none in
// between, say nothing about that time, and count as two outages.
type Outage struct {
	Service mtid.Ref
	Key     mtid.Key
	From    time.Time
	AtLeast time.Duration
	AtMost  time.Duration
	Failed  int  // calls that were not answered
	Open    bool // the next call failed too, or there was none; AtMost ends with it
}

// Phase sums up the calls that were due in one phase, by how they ended.
type Phase struct {
	Name    string
	Counts  []Count
	Outages int
	// Longest is the outage that began in the phase and has the largest
	// AtLeast; it is zero if every call was answered.
	Longest Outage
	// P50, P99 and Slowest are how long calls were waited for until their
	// answer, from when they were due.
	P50     time.Duration
	P99     time.Duration
	Slowest time.Duration
}

// maxGap is the longest time between two failed calls for a key that is taken as
// one outage.
const maxGap = time.Second

// firstPhase is the name of what comes before the first mark.
const firstPhase = "start"

// callersFault are the refusals that say nothing about whether a key is
// available: the same request would be refused by any server at any time.
var callersFault = []mtreply.Cause{
	mtreply.CauseMalformed, mtreply.CauseTooLarge, mtreply.CauseSkew, mtreply.CauseQuarantined, mtreply.CauseLimited,
}

// phases sums up the calls, which are ordered by when they were due.
func phases(calls []tries, marks []Mark) []Phase {
	marks = slices.Clone(marks)
	slices.SortStableFunc(marks, func(a, b Mark) int { return a.At.Compare(b.At) })
	out := []Phase{{Name: firstPhase}}
	for _, m := range marks {
		out = append(out, Phase{Name: m.Name})
	}
	in := func(at time.Time) int {
		n := 0
		for n < len(marks) && !marks[n].At.After(at) {
			n++
		}
		return n
	}
	waits := make([][]time.Duration, len(out))
	for _, t := range calls {
		n := in(t[0].Planned)
		out[n].add(t.last())
		if t.last().Outcome == mtreply.Answered {
			waits[n] = append(waits[n], t.last().Ended.Sub(t[0].Planned))
		}
	}
	for n := range out {
		out[n].rank(waits[n])
	}
	for _, o := range outages(calls) {
		phase := &out[in(o.From)]
		phase.Outages++
		if phase.Longest.Failed == 0 || o.AtLeast > phase.Longest.AtLeast {
			phase.Longest = o
		}
	}
	return out
}

func (p *Phase) add(last *Call) {
	i := slices.IndexFunc(p.Counts, func(c Count) bool { return c.Outcome == last.Outcome && c.Cause == last.Cause })
	if i < 0 {
		p.Counts = append(p.Counts, Count{Outcome: last.Outcome, Cause: last.Cause})
		i = len(p.Counts) - 1
	}
	p.Counts[i].Calls++
}

// rank works the quantiles of the waits out.
func (p *Phase) rank(waits []time.Duration) {
	const percent = 100
	if len(waits) == 0 {
		return
	}
	slices.Sort(waits)
	last := len(waits) - 1
	p.P50, p.P99, p.Slowest = waits[last*50/percent], waits[last*99/percent], waits[last]
}

// outages returns the times in which keys were not available.
func outages(calls []tries) []Outage {
	byPlace := make(map[place][]tries)
	var order []place
	for _, t := range calls {
		if slices.Contains(callersFault, t.last().Cause) {
			continue
		}
		at := t.place()
		if byPlace[at] == nil {
			order = append(order, at)
		}
		byPlace[at] = append(byPlace[at], t)
	}
	var found []Outage
	for _, at := range order {
		found = append(found, outagesOf(at, byPlace[at])...)
	}
	return found
}

func outagesOf(at place, calls []tries) []Outage {
	var found []Outage
	for i := 0; i < len(calls); {
		if calls[i].last().Outcome == mtreply.Answered {
			i++
			continue
		}
		o := Outage{Service: at.service, Key: at.key, From: calls[i][0].Planned, Open: true}
		until := o.From
		for i < len(calls) && calls[i].last().Outcome != mtreply.Answered && calls[i][0].Planned.Sub(until) <= maxGap {
			until = calls[i][0].Planned
			o.Failed++
			o.AtMost = calls[i].last().Ended.Sub(o.From)
			i++
		}
		o.AtLeast = until.Sub(o.From)
		if i < len(calls) {
			o.Open = calls[i].last().Outcome != mtreply.Answered
			o.AtMost = calls[i].last().Ended.Sub(o.From)
		}
		found = append(found, o)
	}
	return found
}
