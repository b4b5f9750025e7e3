package mtshutdown

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

const (
	// maxWithdrawn limits how many withdrawn tries are remembered: all that wait at the gate of a
	// full daemon, withdrawn by four daemons at once.
	maxWithdrawn = 4096
	// maxRemember limits how long a withdrawn try is remembered, whatever its sender asks for.
	maxRemember = time.Minute
)

// Tries holds the tries in flight that a shutdown would withdraw, by the daemon they were sent
// to.
type Tries struct {
	inFlight map[mtid.TryID]try
}

type try struct {
	address  string
	deadline mtclock.Instant
}

// Withdrawal is what is withdrawn from one daemon.
type Withdrawal struct {
	Address string // as in Tries.Add
	Tries   []mtid.TryID
}

// NewTries returns an empty Tries.
func NewTries() *Tries { return &Tries{inFlight: make(map[mtid.TryID]try)} }

// Add adds a try of a call with a deadline that is sent to the daemon at an address. The address
// is empty if that is the daemon which would withdraw it.
func (t *Tries) Add(id mtid.TryID, address string, deadline mtclock.Instant) {
	t.inFlight[id] = try{address: address, deadline: deadline}
}

// Remove removes a try that has ended.
func (t *Tries) Remove(id mtid.TryID) { delete(t.inFlight, id) }

// Outlasting returns the tries that could outlast a daemon with this schedule, sorted.
func (t *Tries) Outlasting(s Schedule) []Withdrawal {
	byAddress := make(map[string][]mtid.TryID)
	for id, e := range t.inFlight {
		if s.Outlasts(e.deadline) {
			byAddress[e.address] = append(byAddress[e.address], id)
		}
	}
	out := make([]Withdrawal, 0, len(byAddress))
	for address, ids := range byAddress {
		slices.Sort(ids)
		out = append(out, Withdrawal{Address: address, Tries: ids})
	}
	slices.SortFunc(out, func(a, b Withdrawal) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// WithdrawnTries remembers the tries that their senders have withdrawn. A withdrawal may overtake
// its call, whose body takes longer to arrive.
type WithdrawnTries struct {
	until map[mtid.TryID]mtclock.Instant
}

// NewWithdrawnTries returns an empty WithdrawnTries.
func NewWithdrawnTries() *WithdrawnTries {
	return &WithdrawnTries{until: make(map[mtid.TryID]mtclock.Instant)}
}

// Add remembers tries for the given time. If there are too many, the last ones are not
// remembered.
func (w *WithdrawnTries) Add(now mtclock.Instant, ids []mtid.TryID, remember time.Duration) {
	maps.DeleteFunc(w.until, func(_ mtid.TryID, until mtclock.Instant) bool { return !now.Before(until) })
	until := now.Add(min(remember, maxRemember))
	for _, id := range ids {
		if id == 0 || len(w.until) >= maxWithdrawn {
			continue
		}
		w.until[id] = until
	}
}

// Has reports whether a try has been withdrawn, so that it must not begin.
func (w *WithdrawnTries) Has(now mtclock.Instant, id mtid.TryID) bool {
	until, ok := w.until[id]
	return ok && now.Before(until)
}
