package mtrecent

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// DecodeError reports that a handover from another daemon cannot be decoded.
type DecodeError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Err == nil {
		return "recent: cannot decode handover: " + e.Reason
	}
	return fmt.Sprintf("recent: cannot decode handover: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the underlying protobuf, identifier or range error, or nil.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode serializes h for another daemon.
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

// Decode parses and validates a handover. Errors are of type *DecodeError; they include
// a well-formed message whose spans or entries are not within one range.
func Decode(value []byte) (Handover, error) {
	w := &mtwire.Recent{}
	if err := proto.Unmarshal(value, w); err != nil {
		return Handover{}, &DecodeError{Reason: "malformed message", Err: err}
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
		return Handover{}, &DecodeError{Reason: "invalid range", Err: err}
	}
	return h, nil
}

func wireEntry(e Entry) *mtwire.RecentEntry {
	w := &mtwire.RecentEntry{
		Id:          e.DedupKey.ID[:],
		Point:       uint64(e.DedupKey.Point),
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

// maxAge bounds the age of a decoded entry, so that arithmetic on it can't overflow.
const maxAge = 24 * time.Hour

func readEntry(w *mtwire.RecentEntry) (Entry, error) {
	id, err := uuid.FromBytes(w.GetId())
	if err != nil {
		return Entry{}, &DecodeError{Reason: "invalid identifier", Err: err}
	}
	if w.GetAgeMs() < 0 || w.GetAgeMs() > maxAge.Milliseconds() {
		return Entry{}, &DecodeError{Reason: fmt.Sprintf("entry age of %d ms is not within 0 to %d ms", w.GetAgeMs(), maxAge.Milliseconds())}
	}
	e := Entry{
		DedupKey:    DedupKey{Point: mtid.Point(w.GetPoint()), ID: id},
		Fingerprint: Fingerprint(w.GetFingerprint()),
		Age:         time.Duration(w.GetAgeMs()) * time.Millisecond,
		Answered:    w.GetAnswered(),
	}
	if w.GetKept() {
		e.Answer = &Answer{Status: int(w.GetStatus()), ContentType: w.GetContentType(), Body: w.GetBody()}
	}
	return e, nil
}
