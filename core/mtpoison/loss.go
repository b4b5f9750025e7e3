package mtpoison

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"magnoliaturn/core/mtid"
)

// LossID identifies the loss of a backend server: the end of one of its incarnations.
type LossID struct {
	Daemon mtid.Daemon // beside the server
	Server mtid.ServerIncarnation
}

// String returns "daemon/incarnation".
func (l LossID) String() string { return string(l.Daemon) + "/" + l.Server.String() }

// LossKey stands for a LossID where many go with a message.
type LossKey uint64

// Key returns a hash of the identity.
func (l LossID) Key() LossKey { return LossKey(xxhash.Sum64String(l.String())) }

// Loss is the loss of a backend server, as daemons exchange it.
type Loss struct {
	ID LossID
	// Suspects are the requests that were in flight, the likeliest cause first.
	Suspects []Fingerprint
	// Served are those of the suspects that a server is known to have answered before.
	Served []Fingerprint
	// Probed are those of the suspects that were refused already and ran as a probe.
	Probed []Fingerprint
	// After is the newest loss that the daemon knew when the last probe began; zero without probes.
	After LossKey
}

// maxSuspects is the number of suspects of a loss: several times the slots of a server, since
// requests that ended shortly before count too. Other daemons have no evidence against those
// beyond that.
const maxSuspects = 64

// LossError reports that a stored loss is invalid.
type LossError struct{ Err error }

// Error implements error.
func (e *LossError) Error() string { return "loss of a server: " + e.Err.Error() }

// Unwrap returns the error of the JSON decoder or the one that names the invalid field.
func (e *LossError) Unwrap() error { return e.Err }

// InvalidLossError names the field of a stored loss that no daemon would write.
type InvalidLossError struct{ Field, Value string }

// Error implements error.
func (e *InvalidLossError) Error() string { return fmt.Sprintf("%s can't be %.40q", e.Field, e.Value) }

// storedLoss is the JSON form of a Loss.
type storedLoss struct {
	Daemon   mtid.Daemon    `json:"daemon"`
	Server   mtid.Server    `json:"server"`
	Born     mtid.StartTime `json:"born,omitempty"`
	Suspects []string       `json:"suspects"`
	Served   []int          `json:"served,omitempty"` // indices of suspects
	Probed   []int          `json:"probed,omitempty"` // indices of suspects
	After    LossKey        `json:"after,omitempty"`
}

// Encode returns the stored form of l.
func (l Loss) Encode() ([]byte, error) {
	s := storedLoss{Daemon: l.ID.Daemon, Server: l.ID.Server.Server, Born: l.ID.Server.Started, After: l.After}
	for _, p := range l.Suspects {
		s.Suspects = append(s.Suspects, p.String())
	}
	s.Served, s.Probed = l.indices(l.Served), l.indices(l.Probed)
	return json.Marshal(s)
}

// indices returns the indices of fingerprints in the suspects.
func (l Loss) indices(of []Fingerprint) []int {
	var out []int
	for i, p := range l.Suspects {
		if slices.Contains(of, p) {
			out = append(out, i)
		}
	}
	return out
}

// suspectsAt returns the suspects at indices. It fails with an *InvalidLossError.
func (l Loss) suspectsAt(indices []int, field string) ([]Fingerprint, error) {
	var out []Fingerprint
	for _, i := range indices {
		if i < 0 || i >= len(l.Suspects) || len(out) == len(l.Suspects) {
			return nil, &InvalidLossError{Field: field, Value: strconv.Itoa(i)}
		}
		out = append(out, l.Suspects[i])
	}
	return out, nil
}

// DecodeLoss reads a stored loss, which another writer may have changed. It fails with a
// *LossError.
func DecodeLoss(value []byte) (Loss, error) {
	var s storedLoss
	if err := json.Unmarshal(value, &s); err != nil {
		return Loss{}, &LossError{Err: err}
	}
	l := Loss{ID: LossID{Daemon: s.Daemon, Server: mtid.ServerIncarnation{Server: s.Server, Started: s.Born}}, After: s.After}
	switch {
	case s.Daemon == "":
		return Loss{}, &LossError{Err: &InvalidLossError{Field: "daemon"}}
	case len(s.Suspects) == 0 || len(s.Suspects) > maxSuspects:
		return Loss{}, &LossError{Err: &InvalidLossError{Field: "number of suspects", Value: strconv.Itoa(len(s.Suspects))}}
	}
	for _, text := range s.Suspects {
		p, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return Loss{}, &LossError{Err: &InvalidLossError{Field: "suspect", Value: text}}
		}
		l.Suspects = append(l.Suspects, Fingerprint(p))
	}
	var err error
	if l.Served, err = l.suspectsAt(s.Served, "served"); err != nil {
		return Loss{}, &LossError{Err: err}
	}
	if l.Probed, err = l.suspectsAt(s.Probed, "probed"); err != nil {
		return Loss{}, &LossError{Err: err}
	}
	return l, nil
}
