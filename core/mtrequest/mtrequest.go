// Package mtrequest is a request on its way: what the caller asked, under which
// identifier, and what came of it.
//
// # Usage
//
//	id, err := mtrequest.ParseID(header)
//	request.Fingerprint()
//
// Requests and replies are values that one goroutine at a time may change.
package mtrequest

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// ID identifies a request over all its tries: a UUIDv7, whose first 48 bits are
// the wall time of its making in milliseconds.
type ID uuid.UUID

// String returns the usual form with dashes.
func (id ID) String() string { return uuid.UUID(id).String() }

// Made returns when the identifier was made, by its maker's wall clock.
func (id ID) Made() time.Time {
	ms := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(ms)
}

// IDError says that an identifier is not a UUIDv7.
type IDError struct{ Value string }

// Error implements error.
func (e *IDError) Error() string {
	return fmt.Sprintf("request identifier %q is not a UUIDv7", e.Value)
}

const idVersion = 7

// ParseID reads an identifier. It fails with an *IDError.
func ParseID(s string) (ID, error) {
	u, err := uuid.Parse(s)
	if err != nil || u.Version() != idVersion {
		return ID{}, &IDError{Value: s}
	}
	return ID(u), nil
}

// ReadID reads the 16 bytes of an identifier. It fails with an *IDError.
func ReadID(b []byte) (ID, error) {
	u, err := uuid.FromBytes(b)
	if err != nil || u.Version() != idVersion {
		return ID{}, &IDError{Value: fmt.Sprintf("%x", b)}
	}
	return ID(u), nil
}

// Mint makes an identifier from the present wall time and random bits; the
// latter are an argument so that a test can give the same ones.
func Mint(wall time.Time, random [10]byte) ID {
	var id ID
	ms := wall.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	copy(id[6:], random[:])
	id[6] = id[6]&0x0f | idVersion<<4
	id[8] = id[8]&0x3f | 0x80
	return id
}

// Request is what a caller asked.
type Request struct {
	ID          ID
	Minted      bool // the ingress made ID for this very request
	Service     mtid.Ref
	Key         mtid.Key
	Class       mtid.Class
	Method      string
	Path        string // after the key, with its leading slash, or empty
	Query       string
	ContentType string
	Body        []byte
	Deadline    mtclock.Instant // on this VM's clock
	Ingress     mtid.Holder
	// Suspect says that the request is suspected of crashing backend servers:
	// the ingress sets it as a hint, the owner as its verdict. A suspect runs
	// alone.
	Suspect bool
	// Exposed says that the key came to its owner from a lost daemon lately, so
	// that the request may be the one which took that daemon's VM down. The
	// owner sets it.
	Exposed bool
	// Begun, if not nil, is called when the owner begins to run a suspect: at the
	// owner to tell the ingress, and at the ingress once it has heard.
	Begun func()
}

// Fingerprint returns a hash of everything that the backend server sees but the
// identifier: two tries of one request share it, whatever identifier they
// carry.
func (r *Request) Fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{
		string(r.Service.Business), string(r.Service.Service), string(r.Key), string(r.Class),
		r.Method, r.Path, r.Query,
	} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Point returns where the request's key lies on its service's ring.
func (r *Request) Point() mtid.Point { return r.Service.Point(r.Key) }

// Reply is what came of a request.
type Reply struct {
	Outcome     mtreply.Outcome
	Cause       mtreply.Cause // empty if answered
	Detail      string
	RetryAfter  time.Duration
	Owner       mtid.Holder // the daemon that replied, or the one to ask instead
	Epoch       mtid.Epoch
	Status      int // of the backend server, if answered
	ContentType string
	Body        []byte
	Frontier    mtid.Revision // of the owner's view
	Queued      time.Duration // at the owner's gate
	Served      time.Duration // at the backend server
}

// FromError returns the reply that an error stands for. An error of any other
// type than *mtreply.RefusedError counts as unknown, since only a proof allows
// "not run".
func FromError(err error) *Reply {
	switch e := err.(type) {
	case *mtreply.RefusedError:
		return &Reply{Outcome: mtreply.NotRun, Cause: e.Cause, Detail: e.Detail, RetryAfter: e.RetryAfter}
	case *mtreply.UnknownError:
		return &Reply{Outcome: mtreply.Unknown, Cause: e.Cause, Detail: e.Error()}
	}
	return &Reply{Outcome: mtreply.Unknown, Cause: mtreply.CauseLost, Detail: err.Error()}
}
