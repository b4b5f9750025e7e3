// Package mtloss tells from the logs of several daemons what requests were lost to:
// by second, by route and by cause, with the measures of the users' brief beside it.
//
// It reads the lines in which each daemon sums up a second. They hold every request,
// where lines of single requests are left out under load.
//
// # Usage
//
//	losses, err := mtloss.Read(readers...)
//	err = losses.Print(os.Stdout)
//
// Imbalance is the busiest server's running and waiting requests as a multiple of
// the mean of its service, averaged over seconds; churn is the keys that changed
// hands; keys count as unavailable where a request found no owner, no grant, or a
// daemon that could not be reached.
package mtloss

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mtexplain"
)

// Message is that of the lines which are read.
const Message = "second"

// inTime is the end that is no loss.
const inTime = "in time"

// unavailable are the causes by which the owner of a key was not to be had.
var unavailable = []string{
	string(mtreply.CauseNoOwner), string(mtreply.CauseNoLease), string(mtreply.CauseStaleRoute),
	string(mtreply.CauseMoving), string(mtreply.CauseUnreachable),
}

// Ends counts requests by how they ended.
type Ends map[string]int

// Second is what happened in one second, on all VMs.
type Second struct {
	At    time.Time
	Ends  Ends
	Moved int
	// busy is the load of each server of a service.
	busy map[string][]float64
}

// Losses are what the logs hold.
type Losses struct {
	Seconds []*Second
	Routes  map[string]Ends
}

// Read reads the logs. It fails with the error of a reader.
func Read(logs ...io.Reader) (*Losses, error) {
	l := &Losses{Routes: make(map[string]Ends)}
	seconds := make(map[time.Time]*Second)
	err := mtexplain.Each(func(line mtexplain.Line) {
		if line.Message == Message {
			l.add(seconds, line)
		}
	}, logs...)
	if err != nil {
		return nil, err
	}
	l.Seconds = slices.SortedFunc(maps.Values(seconds), func(a, b *Second) int { return a.At.Compare(b.At) })
	return l, nil
}

// add takes in one daemon's line of a second.
func (l *Losses) add(seconds map[time.Time]*Second, line mtexplain.Line) {
	at := line.Time.Truncate(time.Second)
	second, ok := seconds[at]
	if !ok {
		second = &Second{At: at, Ends: make(Ends), busy: make(map[string][]float64)}
		seconds[at] = second
	}
	service, _ := line.Fields["service"].(string)
	if slots := number(line.Fields["slots"]); slots > 0 {
		load := (number(line.Fields["running"]) + number(line.Fields["waiting"])) / slots
		second.busy[service] = append(second.busy[service], load)
	}
	second.Moved += int(number(line.Fields["moved"]))
	routes, _ := line.Fields["ends"].(map[string]any)
	for route, counts := range routes {
		ends, _ := counts.(map[string]any)
		for end, n := range ends {
			second.Ends[end] += int(number(n))
			l.route(route)[end] += int(number(n))
		}
	}
}

func (l *Losses) route(name string) Ends {
	ends, ok := l.Routes[name]
	if !ok {
		ends = make(Ends)
		l.Routes[name] = ends
	}
	return ends
}

// number returns a number of a log line, or zero.
func number(v any) float64 {
	n, _ := v.(float64)
	return n
}

// total returns all ends.
func (e Ends) total() int {
	n := 0
	for _, count := range e {
		n += count
	}
	return n
}

// Unavailable returns how many requests found the owner of their key not to be had.
func (e Ends) Unavailable() int {
	n := 0
	for end, count := range e {
		if slices.Contains(unavailable, strings.TrimPrefix(end, "again ")) {
			n += count
		}
	}
	return n
}

// lost returns the ends but the one that is no loss, the most frequent first.
func (e Ends) lost() string {
	names := slices.Collect(maps.Keys(e))
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(e[b], e[a]), cmp.Compare(a, b)) })
	var parts []string
	for _, name := range names {
		if name != inTime {
			parts = append(parts, fmt.Sprintf("%s %d", name, e[name]))
		}
	}
	return strings.Join(parts, ", ")
}

// Imbalance returns how many times the mean of its service the busiest server had,
// the mean of all services; 0 if nothing ran.
func (s *Second) Imbalance() float64 {
	sum, n := 0.0, 0
	for _, loads := range s.busy {
		mean := 0.0
		for _, load := range loads {
			mean += load / float64(len(loads))
		}
		if mean > 0 {
			sum += slices.Max(loads) / mean
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// Print writes the tables.
func (l *Losses) Print(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) } // Flush returns the error
	row("second\tasked\tin time\timbalance\tmoved\tunavailable\tlost to\n")
	all, moved, imbalance := make(Ends), 0, 0.0
	for i, s := range l.Seconds {
		row("%d\t%d\t%.3f\t%.2f\t%d\t%d\t%s\n", i, s.Ends.total(), s.Ends.share(), s.Imbalance(), s.Moved, s.Ends.Unavailable(), s.Ends.lost())
		for end, n := range s.Ends {
			all[end] += n
		}
		moved += s.Moved
		imbalance += s.Imbalance() / float64(len(l.Seconds))
	}
	row("all\t%d\t%.3f\t%.2f\t%d\t%d\t%s\n", all.total(), all.share(), imbalance, moved, all.Unavailable(), all.lost())
	row("\nroute\tasked\tin time\tlost to\n")
	for _, name := range slices.Sorted(maps.Keys(l.Routes)) {
		ends := l.Routes[name]
		row("%s\t%d\t%.3f\t%s\n", name, ends.total(), ends.share(), ends.lost())
	}
	return out.Flush()
}

// share returns the part of the requests that were answered in time.
func (e Ends) share() float64 { return float64(e[inTime]) / float64(max(e.total(), 1)) }
