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
	// lossesToRefuse is the number of server losses with a request in flight after
	// which that request is refused as their cause.
	lossesToRefuse = 3
	// lossTTL is how long a loss counts against the requests that were in flight. A
	// harmless request that was refused runs again after that.
	lossTTL = 10 * time.Minute
	// detectionDelay bounds the time between the first broken connection to a lost
	// server and the detection of the loss, which the first heartbeat of the server's
	// next incarnation shows at the latest.
	detectionDelay = 3 * time.Second
	// maxAnswered is the number of answered requests retained: those of some tens of
	// seconds of a busy server.
	maxAnswered = 1024
	// maxLosses is the number of losses retained, the newest ones.
	maxLosses = 512
)

// Recurring detects requests that crash every backend server that runs them, by
// counting, for servers with many slots: a request that was in flight at three losses
// and that no server has answered is refused from then on.
//
// Unlike with the Narrow rule of a Table, suspects don't run alone: a power failure
// terminates a hundred servers at once, and running all requests that were in flight
// there one by one would cost far more than a third crash. Harmless requests are
// recognized by an answer to the same request instead, which a request that crashes
// every server never gets.
//
// The daemon beside a server tracks the requests in flight there (Began, Ended, Lost).
// It publishes its suspects in its record (Suspects), from which all other daemons
// merge them (Heard). The daemon that sends a request reports whether the same request
// was answered before (Proven), since a daemon that has just started has no record of
// answers.
//
// A Recurring isn't safe for concurrent use.
type Recurring struct {
	running  map[Print]int
	broken   []brokenRequest // oldest first
	answered fingerprintRing
	losses   map[lossKey]loss
	order    []lossKey // keys of losses, oldest first
	own      Suspects
}

// brokenRequest is a request whose connection to the server broke.
type brokenRequest struct {
	fingerprint Print
	at          mtclock.Instant
}

// lossKey identifies a loss of a daemon's server. The suspects contain the number of
// the loss within the daemon's incarnation.
type lossKey struct {
	daemon   mtid.Daemon
	suspects Suspects
}

// loss holds the requests that were in flight at the loss of a server.
type loss struct {
	at           mtclock.Instant // when this daemon received the report
	fingerprints []Print
}

// NewRecurring returns a Recurring without any evidence.
func NewRecurring() *Recurring {
	return &Recurring{running: make(map[Print]int), answered: fingerprintRing{known: make(map[Print]bool)}, losses: make(map[lossKey]loss)}
}

// Began records that a request is sent to the server beside this daemon.
func (r *Recurring) Began(p Print) { r.running[p]++ }

// Ended records how a request that was sent to the server ended.
func (r *Recurring) Ended(now mtclock.Instant, p Print, how End) {
	r.running[p]--
	if r.running[p] <= 0 {
		delete(r.running, p)
	}
	switch how {
	case Whole:
		r.Prove(p)
	case Broken:
		r.broken = append(r.recentlyBroken(now), brokenRequest{fingerprint: p, at: now})
	}
}

// recentlyBroken returns the requests whose connections broke within detectionDelay.
func (r *Recurring) recentlyBroken(now mtclock.Instant) []brokenRequest {
	return slices.DeleteFunc(r.broken, func(b brokenRequest) bool { return now.Sub(b.at) > detectionDelay })
}

// Prove records that a server has answered a request.
func (r *Recurring) Prove(p Print) { r.answered.add(p) }

// Proven reports whether a server is known to have answered the same request. Only the
// newest answers are retained.
func (r *Recurring) Proven(p Print) bool { return r.answered.known[p] }

// Lost records that the server beside this daemon was lost, and returns the suspects
// that the daemon publishes from now on.
func (r *Recurring) Lost(now mtclock.Instant, self mtid.Daemon) Suspects {
	var fingerprints []Print
	for _, b := range r.recentlyBroken(now) {
		fingerprints = append(fingerprints, b.fingerprint)
	}
	for p := range r.running {
		fingerprints = append(fingerprints, p)
	}
	r.broken = nil
	slices.Sort(fingerprints)
	fingerprints = slices.DeleteFunc(slices.Compact(fingerprints), r.Proven)
	if len(fingerprints) == 0 {
		return r.own
	}
	r.own = newSuspects(r.own.lossNumber()+1, fingerprints)
	r.Heard(now, self, r.own)
	return r.own
}

// Heard adds the suspects that a daemon published. A loss that is already recorded is
// ignored.
func (r *Recurring) Heard(now mtclock.Instant, daemon mtid.Daemon, s Suspects) {
	key := lossKey{daemon: daemon, suspects: s}
	fingerprints := s.Prints()
	if _, known := r.losses[key]; known || len(fingerprints) == 0 {
		return
	}
	r.losses[key] = loss{at: now, fingerprints: fingerprints}
	r.order = append(r.order, key)
	if len(r.order) > maxLosses {
		delete(r.losses, r.order[0])
		r.order = slices.Delete(r.order, 0, 1)
	}
}

// Quarantined returns how long a request is still to be refused, or zero. answered is
// set if the daemon that sends it has had an answer to the same request.
func (r *Recurring) Quarantined(now mtclock.Instant, p Print, answered bool) time.Duration {
	if answered || len(r.losses) < lossesToRefuse || r.Proven(p) {
		return 0
	}
	var left []time.Duration
	for _, l := range r.losses {
		if age := now.Sub(l.at); age < lossTTL && slices.Contains(l.fingerprints, p) {
			left = append(left, lossTTL-age)
		}
	}
	if len(left) < lossesToRefuse {
		return 0
	}
	// It runs again once fewer than lossesToRefuse losses count against it.
	slices.Sort(left)
	return left[len(left)-lossesToRefuse]
}

// Suspects lists the requests in flight at the last loss of a daemon's server, encoded
// for the daemon's record: the number of the loss within the daemon's incarnation, then
// the fingerprints, all in hexadecimal and separated by colons.
type Suspects string

// maxSuspects is the number of fingerprints that Suspects can hold, about as many as a
// server has slots. Other daemons have no evidence against the requests beyond that.
const maxSuspects = 16

// newSuspects encodes the suspects of the loss with that number.
func newSuspects(number int, fingerprints []Print) Suspects {
	text := strconv.AppendInt(nil, int64(number), 16)
	for _, p := range fingerprints[:min(len(fingerprints), maxSuspects)] {
		text = append(text, ':')
		text = strconv.AppendUint(text, uint64(p), 16)
	}
	return Suspects(text)
}

// lossNumber returns the number of the loss within the daemon's incarnation, from 1. It
// returns 0 if there was no loss or s is malformed.
func (s Suspects) lossNumber() int {
	text, _, _ := strings.Cut(string(s), ":")
	number, err := strconv.ParseInt(text, 16, 32)
	if err != nil {
		return 0
	}
	return int(number)
}

// Prints returns the fingerprints, or none if s is malformed: the record is input from
// another writer and may hold anything.
func (s Suspects) Prints() []Print {
	fields := strings.Split(string(s), ":")
	if s.lossNumber() <= 0 || len(fields) > 1+maxSuspects {
		return nil
	}
	fingerprints := make([]Print, 0, len(fields)-1)
	for _, field := range fields[1:] {
		p, err := strconv.ParseUint(field, 16, 64)
		if err != nil {
			return nil
		}
		fingerprints = append(fingerprints, Print(p))
	}
	return fingerprints
}

// fingerprintRing holds the maxAnswered fingerprints added last.
type fingerprintRing struct {
	known map[Print]bool
	order [maxAnswered]Print
	next  int // index in order of the oldest, which the next one replaces
}

// add adds a fingerprint, replacing the oldest, unless it is already present.
func (r *fingerprintRing) add(p Print) {
	if r.known[p] {
		return
	}
	delete(r.known, r.order[r.next])
	r.order[r.next] = p
	r.next = (r.next + 1) % len(r.order)
	r.known[p] = true
}
