package mtaudit

import (
	"slices"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Count is the number of calls with one outcome and cause.
type Count struct {
	Outcome mtreply.Outcome
	Cause   mtreply.Cause
	Calls   int
}

// Outage is a period in which no call for a key was answered. Its length can
// only be bounded by the calls for the key: AtLeast is the time from when the first
// failed call was planned to when the last one was, and AtMost the time to the first
// answer to a call that was planned later. Two consecutive failed calls more than maxGap
// apart give no evidence about the time between them, so they count as two
// outages.
type Outage struct {
	Service mtid.Ref
	Key     mtid.Key
	From    time.Time
	AtLeast time.Duration
	AtMost  time.Duration
	Failed  int  // number of calls that were not answered
	Open    bool // no later answer is known: the next call failed too and AtMost ends with it, or there was none
}

// Phase summarizes the calls that were planned in one phase.
type Phase struct {
	Name    string
	Counts  []Count
	Outages int
	// Longest is the outage with the largest AtLeast among those that began in
	// the phase; it is zero if there was none.
	Longest Outage
	// P50, P99 and Slowest are latencies of the answered calls, measured from
	// their planned time to the answer.
	P50     time.Duration
	P99     time.Duration
	Slowest time.Duration
}

// maxGap is the longest time between two consecutive failed calls for a key that
// count as one outage.
const maxGap = time.Second

// firstPhase is the name of the phase before the first mark.
const firstPhase = "start"

// callerErrors lists the refusals that are independent of a key's availability:
// any server would refuse the same request at any time.
var callerErrors = []mtreply.Cause{
	mtreply.CauseMalformed, mtreply.CauseTooLarge, mtreply.CauseSkew, mtreply.CauseQuarantined, mtreply.CauseLimited,
}

// phases summarizes the calls by phase. The calls are ordered by planned time.
func phases(calls []tries, marks []Mark) []Phase {
	marks = slices.Clone(marks)
	slices.SortStableFunc(marks, func(a, b Mark) int { return a.At.Compare(b.At) })
	out := []Phase{{Name: firstPhase}}
	for _, m := range marks {
		out = append(out, Phase{Name: m.Name})
	}
	phaseAt := func(at time.Time) int {
		n := 0
		for n < len(marks) && !marks[n].At.After(at) {
			n++
		}
		return n
	}
	latencies := make([][]time.Duration, len(out))
	for _, t := range calls {
		n := phaseAt(t[0].Planned)
		out[n].add(t.last())
		if t.last().Outcome == mtreply.Answered {
			latencies[n] = append(latencies[n], t.last().Ended.Sub(t[0].Planned))
		}
	}
	for n := range out {
		out[n].setQuantiles(latencies[n])
	}
	for _, o := range outages(calls) {
		phase := &out[phaseAt(o.From)]
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

// setQuantiles sets the latency quantiles from the latencies of the answered calls.
func (p *Phase) setQuantiles(latencies []time.Duration) {
	const percent = 100
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	last := len(latencies) - 1
	p.P50, p.P99, p.Slowest = latencies[last*50/percent], latencies[last*99/percent], latencies[last]
}

// outages returns the outages of all keys, leaving out calls that were refused
// because of the caller's own error.
func outages(calls []tries) []Outage {
	counted := slices.DeleteFunc(slices.Clone(calls), func(t tries) bool { return slices.Contains(callerErrors, t.last().Cause) })
	var found []Outage
	for _, group := range groupByKey(counted) {
		found = append(found, outagesOf(group.at, group.items)...)
	}
	return found
}

func outagesOf(at keyRef, calls []tries) []Outage {
	var found []Outage
	for i := 0; i < len(calls); {
		if calls[i].last().Outcome == mtreply.Answered {
			i++
			continue
		}
		o := Outage{Service: at.service, Key: at.key, From: calls[i][0].Planned, Open: true}
		lastFailed := o.From
		for i < len(calls) && calls[i].last().Outcome != mtreply.Answered && calls[i][0].Planned.Sub(lastFailed) <= maxGap {
			lastFailed = calls[i][0].Planned
			o.Failed++
			o.AtMost = calls[i].last().Ended.Sub(o.From)
			i++
		}
		o.AtLeast = lastFailed.Sub(o.From)
		if i < len(calls) {
			o.Open = calls[i].last().Outcome != mtreply.Answered
			o.AtMost = calls[i].last().Ended.Sub(o.From)
		}
		found = append(found, o)
	}
	return found
}
