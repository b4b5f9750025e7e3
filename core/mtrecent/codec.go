package mtrecent

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// DecodeError says that a handover can't be read.
type DecodeError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Err == nil {
		return "recent: handover can't be read: " + e.Reason
	}
	return fmt.Sprintf("recent: handover can't be read: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the form of h that daemons exchange.
func Encode(h Handover) ([]byte, error) {
	w := &mtwire.Recent{Low: uint64(h.Low), High: uint64(h.High)}
	for _, s := range h.Spans {
		w.Spans = append(w.Spans, &mtwire.RecentSpan{Low: uint64(s.Low), High: uint64(s.High), Horizon: s.Horizon})
	}
	for _, e := range h.Entries {
		w.Entries = append(w.Entries, wireEntry(e))
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(w)
}

// Decode reads a handover. It fails with a *DecodeError, also where the
// handover is readable but not one well-formed range.
func Decode(value []byte) (Handover, error) {
	w := &mtwire.Recent{}
	if err := proto.Unmarshal(value, w); err != nil {
		return Handover{}, &DecodeError{Reason: "not a handover", Err: err}
	}
	h := Handover{Low: mtid.Point(w.GetLow()), High: mtid.Point(w.GetHigh())}
	for _, s := range w.GetSpans() {
		h.Spans = append(h.Spans, Span{Low: mtid.Point(s.GetLow()), High: mtid.Point(s.GetHigh()), Horizon: s.GetHorizon()})
	}
	for _, we := range w.GetEntries() {
		e, err := readEntry(we)
		if err != nil {
			return Handover{}, err
		}
		h.Entries = append(h.Entries, e)
	}
	if err := h.check(); err != nil {
		return Handover{}, &DecodeError{Reason: "not one range", Err: err}
	}
	return h, nil
}

func wireEntry(e Entry) *mtwire.RecentEntry {
	w := &mtwire.RecentEntry{
		Id:          e.Name.ID[:],
		Point:       uint64(e.Name.Point),
		Fingerprint: uint64(e.Fingerprint),
		AgeMs:       e.Age.Milliseconds(),
		Answered:    e.Answered,
	}
	if e.Answer != nil {
		w.Kept = true
		w.Status = uint32(e.Answer.Status)
		w.ContentType = e.Answer.ContentType
		w.Body = e.Answer.Body
	}
	return w
}

// maxAge bounds the age of an entry, so that no sum with it overflows.
const maxAge = 24 * time.Hour

func readEntry(w *mtwire.RecentEntry) (Entry, error) {
	id, err := uuid.FromBytes(w.GetId())
	if err != nil {
		return Entry{}, &DecodeError{Reason: "identifier", Err: err}
	}
	if w.GetAgeMs() < 0 || w.GetAgeMs() > maxAge.Milliseconds() {
		return Entry{}, &DecodeError{Reason: "age out of range"}
	}
	e := Entry{
		Name:        Name{Point: mtid.Point(w.GetPoint()), ID: id},
		Fingerprint: Fingerprint(w.GetFingerprint()),
		Age:         time.Duration(w.GetAgeMs()) * time.Millisecond,
		Answered:    w.GetAnswered(),
	}
	if w.GetKept() {
		e.Answer = &Answer{Status: int(w.GetStatus()), ContentType: w.GetContentType(), Body: w.GetBody()}
	}
	return e, nil
}
