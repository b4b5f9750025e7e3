// Package mtloss summarizes from the logs of several daemons why requests were lost,
// by second, route and cause, together with the imbalance, churn and unavailability
// that the users' brief asks for.
//
// It reads the line that each daemon logs once a second. These lines count every
// request, while lines about single requests are dropped under load.
//
// # Usage
//
//	losses, err := mtloss.Read(readers...)
//	err = losses.Print(os.Stdout)
//
// Imbalance is the running and waiting requests per slot of the busiest server as a
// multiple of the mean of its service, averaged over seconds. Churn is the number of
// keys that changed owner. A key counts as unavailable for each request that found no
// owner, no grant or an unreachable daemon.
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

// Message is the log message of the per-second lines.
const Message = "second"

// inTime is the end of a request that was answered in time; all others are losses.
const inTime = "in time"

// unavailable are the causes of requests that did not reach an owner of their key.
var unavailable = []string{
	string(mtreply.CauseNoOwner), string(mtreply.CauseNoLease), string(mtreply.CauseStaleRoute),
	string(mtreply.CauseMoving), string(mtreply.CauseUnreachable),
}

// Ends counts requests by how they ended.
type Ends map[string]int

// Second sums up one second over all VMs.
type Second struct {
	At    time.Time
	Ends  Ends
	Moved int // keys that changed owner
	// busy holds the load per slot of each server, by service.
	busy map[string][]float64
}

// Losses holds the request counts read from the logs, by second and by route.
type Losses struct {
	Seconds []*Second
	Routes  map[string]Ends
	// Searches counts how requests found a server, by route and kind of count.
	Searches map[string]Ends
}

// searchKinds are the counts of searches, in the order of their columns.
var searchKinds = []string{"handed back", "known full", "slow start"}

// Read sums up the per-second lines of the logs. It fails with the error of a
// reader.
func Read(logs ...io.Reader) (*Losses, error) {
	l := &Losses{Routes: make(map[string]Ends), Searches: make(map[string]Ends)}
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

// add adds the line that one daemon logged for a second.
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
	addCounts(l.Routes, line.Fields["ends"])
	addCounts(l.Searches, line.Fields["room"])
	routes, _ := line.Fields["ends"].(map[string]any)
	for _, counts := range routes {
		ends, _ := counts.(map[string]any)
		for end, n := range ends {
			second.Ends[end] += int(number(n))
		}
	}
}

// addCounts adds the counts of a log field, which has them by route and name.
func addCounts(sums map[string]Ends, field any) {
	routes, _ := field.(map[string]any)
	for route, counts := range routes {
		if sums[route] == nil {
			sums[route] = make(Ends)
		}
		named, _ := counts.(map[string]any)
		for name, n := range named {
			sums[route][name] += int(number(n))
		}
	}
}

// number returns the value of a numeric log field, or 0 if v is not a number.
func number(v any) float64 {
	n, _ := v.(float64)
	return n
}

// total returns the number of requests.
func (e Ends) total() int {
	n := 0
	for _, count := range e {
		n += count
	}
	return n
}

// Unavailable returns how many requests did not reach an owner of their key.
func (e Ends) Unavailable() int {
	n := 0
	for end, count := range e {
		if slices.Contains(unavailable, strings.TrimPrefix(end, "again ")) {
			n += count
		}
	}
	return n
}

// losses lists the causes of lost requests with their counts, most frequent first.
func (e Ends) losses() string {
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

// Imbalance returns the load of the busiest server as a multiple of the mean of its
// service, averaged over services, or 0 if nothing ran.
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

// Print writes one table by second and one by route.
func (l *Losses) Print(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) } // Flush returns the error
	row("second\tasked\tin time\timbalance\tmoved\tunavailable\tlost to\n")
	all, moved, imbalance := make(Ends), 0, 0.0
	for i, s := range l.Seconds {
		row("%d\t%d\t%.3f\t%.2f\t%d\t%d\t%s\n", i, s.Ends.total(), s.Ends.inTimeShare(), s.Imbalance(), s.Moved, s.Ends.Unavailable(), s.Ends.losses())
		for end, n := range s.Ends {
			all[end] += n
		}
		moved += s.Moved
		imbalance += s.Imbalance() / float64(len(l.Seconds))
	}
	row("all\t%d\t%.3f\t%.2f\t%d\t%d\t%s\n", all.total(), all.inTimeShare(), imbalance, moved, all.Unavailable(), all.losses())
	row("\nroute\tasked\tin time\tlost to\n")
	for _, name := range slices.Sorted(maps.Keys(l.Routes)) {
		ends := l.Routes[name]
		row("%s\t%d\t%.3f\t%s\n", name, ends.total(), ends.inTimeShare(), ends.losses())
	}
	l.printSearches(row)
	return out.Flush()
}

// printSearches writes a table of how requests found a server, if the logs have any.
func (l *Losses) printSearches(row func(format string, args ...any)) {
	if len(l.Searches) == 0 {
		return
	}
	row("\nroute\t%s\n", strings.Join(searchKinds, "\t"))
	for _, name := range slices.Sorted(maps.Keys(l.Searches)) {
		row("%s", name)
		for _, kind := range searchKinds {
			row("\t%d", l.Searches[name][kind])
		}
		row("\n")
	}
}

// inTimeShare returns the fraction of requests that were answered in time.
func (e Ends) inTimeShare() float64 { return float64(e[inTime]) / float64(max(e.total(), 1)) }
