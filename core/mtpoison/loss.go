package mtpoison

import (
	"encoding/json"
	"fmt"
	"strconv"

	"magnoliaturn/core/mtid"
)

// LossID identifies the loss of a backend server: the end of one of its incarnations.
type LossID struct {
	Daemon mtid.Daemon // beside the server
	Server mtid.ServerIncarnation
}

// String returns "daemon/incarnation".
func (l LossID) String() string { return string(l.Daemon) + "/" + l.Server.String() }

// Loss is the loss of a backend server, as daemons exchange it.
type Loss struct {
	ID LossID
	// Suspects are the requests that were in flight, without those that a server is known
	// to have finished, the likeliest cause first.
	Suspects []Fingerprint
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
}

// Encode returns the stored form of l.
func (l Loss) Encode() ([]byte, error) {
	s := storedLoss{Daemon: l.ID.Daemon, Server: l.ID.Server.Server, Born: l.ID.Server.Started}
	for _, p := range l.Suspects {
		s.Suspects = append(s.Suspects, p.String())
	}
	return json.Marshal(s)
}

// DecodeLoss reads a stored loss, which another writer may have changed. It fails with a
// *LossError.
func DecodeLoss(value []byte) (Loss, error) {
	var s storedLoss
	if err := json.Unmarshal(value, &s); err != nil {
		return Loss{}, &LossError{Err: err}
	}
	l := Loss{ID: LossID{Daemon: s.Daemon, Server: mtid.ServerIncarnation{Server: s.Server, Started: s.Born}}}
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
	return l, nil
}
