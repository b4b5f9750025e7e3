package mtpoison

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

const (
	// recurrences is at how many losses of servers a request was in flight before it is
	// held to be their cause.
	recurrences = 3
	// trust is for how long a loss is held against the requests that were in flight. A
	// request that is held back wrongly runs again after that.
	trust = 10 * time.Minute
	// broke is how long before its loss was noticed a server's connections may have
	// broken: the next beat of its next life shows it at the latest.
	broke = 3 * time.Second
	// provenKept is how many answered requests are remembered: those of some tens of
	// seconds of a busy server.
	provenKept = 1024
	// lossesKept is how many losses are remembered, the newest ones.
	lossesKept = 512
)

// Recurring finds the requests that crash each backend server which runs them, for
// servers with many slots, by counting: a request that was in flight at three losses
// and that no server has answered is refused from then on.
//
// Nothing runs alone, as it does with the Narrow rule of a Table: a loss of power takes
// a hundred servers at once, and to run all that was in flight there one by one would
// cost far more than a third crash. What tells the innocent instead is that somebody
// had an answer to the same request: what crashes every server never has one.
//
// The daemon beside a server counts what is in flight there (Began, Ended, Lost). What
// it suspects travels in its record (Suspects) to all others (Heard). Whoever asks for
// a request says whether the same one was answered before (Proven), since a daemon that
// has just started knows of no answers.
//
// A Recurring isn't safe for concurrent use.
type Recurring struct {
	running map[Print]int
	broken  []breach // the oldest first
	proven  ring
	losses  map[lossKey]loss
	order   []lossKey // of losses, the oldest first
	own     Suspects
}

// breach is a request whose connection to the server broke.
type breach struct {
	print Print
	at    mtclock.Instant
}

// lossKey names a loss: of a daemon's server, numbered by the daemon's present life.
type lossKey struct {
	daemon   mtid.Daemon
	suspects Suspects
}

// loss is what was in flight at the loss of a server.
type loss struct {
	at     mtclock.Instant // heard of
	prints []Print
}

// NewRecurring returns a Recurring that knows nothing.
func NewRecurring() *Recurring {
	return &Recurring{running: make(map[Print]int), proven: ring{known: make(map[Print]bool)}, losses: make(map[lossKey]loss)}
}

// Began notes that a request is sent to the server beside this daemon.
func (r *Recurring) Began(p Print) { r.running[p]++ }

// Ended notes how a request that began has ended.
func (r *Recurring) Ended(now mtclock.Instant, p Print, how End) {
	r.running[p]--
	if r.running[p] <= 0 {
		delete(r.running, p)
	}
	switch how {
	case Whole:
		r.Prove(p)
	case Broken:
		r.broken = append(r.recent(now), breach{print: p, at: now})
	}
}

// recent returns the requests whose connections broke not long ago.
func (r *Recurring) recent(now mtclock.Instant) []breach {
	return slices.DeleteFunc(r.broken, func(b breach) bool { return now.Sub(b.at) > broke })
}

// Prove notes that a server has answered a request.
func (r *Recurring) Prove(p Print) { r.proven.add(p) }

// Proven reports whether a server has answered the same request, as far as it is
// remembered here.
func (r *Recurring) Proven(p Print) bool { return r.proven.known[p] }

// Lost notes that the server beside this daemon was lost, and returns what the daemon
// suspects from now on.
func (r *Recurring) Lost(now mtclock.Instant, self mtid.Daemon) Suspects {
	var prints []Print
	for _, b := range r.recent(now) {
		prints = append(prints, b.print)
	}
	for p := range r.running {
		prints = append(prints, p)
	}
	r.broken = nil
	slices.Sort(prints)
	prints = slices.DeleteFunc(slices.Compact(prints), r.Proven)
	if len(prints) == 0 {
		return r.own
	}
	r.own = newSuspects(r.own.number()+1, prints)
	r.Heard(now, self, r.own)
	return r.own
}

// Heard takes in what a daemon suspects.
func (r *Recurring) Heard(now mtclock.Instant, daemon mtid.Daemon, s Suspects) {
	key := lossKey{daemon: daemon, suspects: s}
	prints := s.Prints()
	if _, known := r.losses[key]; known || len(prints) == 0 {
		return
	}
	r.losses[key] = loss{at: now, prints: prints}
	r.order = append(r.order, key)
	if len(r.order) > lossesKept {
		delete(r.losses, r.order[0])
		r.order = slices.Delete(r.order, 0, 1)
	}
}

// Quarantined returns for how long a request is still to be refused, or zero. proven
// says that the daemon which asks for it had an answer to the same one.
func (r *Recurring) Quarantined(now mtclock.Instant, p Print, proven bool) time.Duration {
	if proven || len(r.losses) < recurrences || r.Proven(p) {
		return 0
	}
	var left []time.Duration
	for _, l := range r.losses {
		if age := now.Sub(l.at); age < trust && slices.Contains(l.prints, p) {
			left = append(left, trust-age)
		}
	}
	if len(left) < recurrences {
		return 0
	}
	// It runs again once too few losses are held against it.
	slices.Sort(left)
	return left[len(left)-recurrences]
}

// Suspects are the requests that were in flight at the last loss of a daemon's server,
// in a form that a record holds: the number of the loss in the daemon's life, and the
// fingerprints, each in hexadecimal after a colon.
type Suspects string

// suspected is how many fingerprints Suspects name. A server has about as many slots;
// what is beyond is not known to be in flight elsewhere.
const suspected = 16

// newSuspects returns the Suspects of a loss.
func newSuspects(number int, prints []Print) Suspects {
	text := strconv.AppendInt(nil, int64(number), 16)
	for _, p := range prints[:min(len(prints), suspected)] {
		text = append(text, ':')
		text = strconv.AppendUint(text, uint64(p), 16)
	}
	return Suspects(text)
}

// number returns which loss of the daemon's life it was, from 1, or 0 if there was none.
func (s Suspects) number() int {
	text, _, _ := strings.Cut(string(s), ":")
	number, err := strconv.ParseInt(text, 16, 32)
	if err != nil {
		return 0
	}
	return int(number)
}

// Prints returns the fingerprints. What is no text of Suspects names none: somebody else
// may have written the record.
func (s Suspects) Prints() []Print {
	fields := strings.Split(string(s), ":")
	if s.number() <= 0 || len(fields) > 1+suspected {
		return nil
	}
	prints := make([]Print, 0, len(fields)-1)
	for _, field := range fields[1:] {
		p, err := strconv.ParseUint(field, 16, 64)
		if err != nil {
			return nil
		}
		prints = append(prints, Print(p))
	}
	return prints
}

// ring holds the newest fingerprints that were added.
type ring struct {
	known map[Print]bool
	kept  [provenKept]Print
	next  int
}

// add adds a fingerprint in place of the oldest.
func (r *ring) add(p Print) {
	if r.known[p] {
		return
	}
	delete(r.known, r.kept[r.next])
	r.kept[r.next] = p
	r.next = (r.next + 1) % len(r.kept)
	r.known[p] = true
}
