package mtstandin

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliaturn/core/mtaudit"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// The range of a latency histogram in nanoseconds and its significant digits.
const (
	lowest    = int64(time.Microsecond)
	highest   = int64(time.Minute)
	precision = 3
)

// tally holds the latency histograms of calls by class, outcome and cause.
type tally struct {
	mu    sync.Mutex
	lines map[tallyKey]*hdrhistogram.Histogram
	sent  uint64
}

type tallyKey struct {
	class   mtid.Class
	outcome mtreply.Outcome
	cause   mtreply.Cause
}

func newTally() *tally { return &tally{lines: make(map[tallyKey]*hdrhistogram.Histogram)} }

// add counts a call with the outcome of its last try. Its latency is measured from
// the planned send time.
func (t *tally) add(c mtaudit.Call) {
	took := min(max(int64(c.Ended.Sub(c.Planned)), lowest), highest)
	t.mu.Lock()
	defer t.mu.Unlock()
	key := tallyKey{class: c.Class, outcome: c.Outcome, cause: c.Cause}
	line := t.lines[key]
	if line == nil {
		line = hdrhistogram.New(lowest, highest, precision)
		t.lines[key] = line
	}
	_ = line.RecordValue(took) // in range: clamped above
	t.sent++
}

// SummaryLine sums up the calls of one class with the same outcome and cause.
// Latencies are measured from the planned send time of a call to the end of its last
// try.
type SummaryLine struct {
	Class   mtid.Class
	Outcome mtreply.Outcome
	Cause   mtreply.Cause
	Calls   int64
	P50     time.Duration
	P99     time.Duration
	P999    time.Duration
	Max     time.Duration
}

// Summary holds the number of calls of a load, its duration and the results.
type Summary struct {
	Calls uint64
	Took  time.Duration
	Lines []SummaryLine
}

func (t *tally) summary(took time.Duration) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{Calls: t.sent, Took: took}
	for key, h := range t.lines {
		s.Lines = append(s.Lines, SummaryLine{
			Class: key.class, Outcome: key.outcome, Cause: key.cause, Calls: h.TotalCount(),
			P50:  time.Duration(h.ValueAtQuantile(50)),
			P99:  time.Duration(h.ValueAtQuantile(99)),
			P999: time.Duration(h.ValueAtQuantile(99.9)),
			Max:  time.Duration(h.Max()),
		})
	}
	slices.SortFunc(s.Lines, func(a, b SummaryLine) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	return s
}

// Print writes the summary as a table.
func (s Summary) Print(to io.Writer) error {
	const padding = 2
	w := tabwriter.NewWriter(to, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintf(w, "%d calls in %s\n", s.Calls, s.Took.Round(time.Millisecond))
	_, _ = fmt.Fprintln(w, "class\toutcome\tcause\tcalls\tp50\tp99\tp99.9\tmax")
	for _, l := range s.Lines {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", l.Class, l.Outcome, l.Cause, l.Calls,
			formatLatency(l.P50), formatLatency(l.P99), formatLatency(l.P999), formatLatency(l.Max))
	}
	return w.Flush()
}

// formatLatency formats a latency, rounded to microseconds.
func formatLatency(d time.Duration) string { return d.Round(time.Microsecond).String() }
