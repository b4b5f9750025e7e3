// Package mtrequest defines requests to keyed services, their identifiers and their
// replies.
//
// # Usage
//
//	id, err := mtrequest.ParseID(header)
//	request.Fingerprint()
//
// Requests and replies aren't safe for concurrent use.
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

// ID identifies a request across all its tries. It is a UUIDv7, whose first 48 bits
// are the wall-clock time of its creation in milliseconds.
type ID uuid.UUID

// String returns the canonical form with dashes.
func (id ID) String() string { return uuid.UUID(id).String() }

// CreatedAt returns the time at which the identifier was created, by its creator's wall
// clock.
func (id ID) CreatedAt() time.Time {
	ms := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(ms)
}

// IDError reports an identifier that is not a UUIDv7.
type IDError struct{ Value string }

// Error implements error.
func (e *IDError) Error() string {
	return fmt.Sprintf("request identifier %q is not a UUIDv7", e.Value)
}

const idVersion = 7

// ParseID parses the text form of an identifier. It fails with an *IDError.
func ParseID(s string) (ID, error) {
	u, err := uuid.Parse(s)
	if err != nil || u.Version() != idVersion {
		return ID{}, &IDError{Value: s}
	}
	return ID(u), nil
}

// ReadID decodes an identifier from its 16 bytes. It fails with an *IDError.
func ReadID(b []byte) (ID, error) {
	u, err := uuid.FromBytes(b)
	if err != nil || u.Version() != idVersion {
		return ID{}, &IDError{Value: fmt.Sprintf("%x", b)}
	}
	return ID(u), nil
}

// Mint creates an identifier from the given wall-clock time and random bits, which are
// a parameter so that tests can create the same identifier again.
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

// Request is a caller's request to a keyed service.
type Request struct {
	ID          ID
	Minted      bool // the ingress created ID for this request
	Service     mtid.Ref
	Key         mtid.Key
	Class       mtid.Class
	Method      string
	Path        string // the part after the key: empty, or with a leading slash
	Query       string
	ContentType string
	Body        []byte
	Deadline    mtclock.Instant // on this VM's clock
	Ingress     mtid.Holder
	// Suspect is set if the request is suspected of crashing backend servers: by the
	// ingress as a hint, by the owner as its decision. A suspect request runs alone.
	Suspect bool
	// RecentTakeover is set by the owner if it recently took the key over from a lost daemon,
	// so that the request may be the one that crashed that daemon's VM.
	RecentTakeover bool
	// OnBegun, if not nil, is called when the owner begins to run a suspect request: at
	// the owner to notify the ingress, and at the ingress when it is notified.
	OnBegun func()
}

// Fingerprint returns a hash of the request's service, key, class, method, path, query
// and body. All tries of one request share it, whatever their identifiers.
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

// Point returns the position of the request's key on its service's ring.
func (r *Request) Point() mtid.Point { return r.Service.Point(r.Key) }

// Reply is the result of a request.
type Reply struct {
	Outcome     mtreply.Outcome
	Cause       mtreply.Cause // empty if answered
	Detail      string
	RetryAfter  time.Duration
	Owner       mtid.Holder // the daemon that replied, or the one to send the request to instead
	Epoch       mtid.Epoch
	Status      int // HTTP status of the backend server, if answered
	ContentType string
	Body        []byte
	Frontier    mtid.Revision // frontier of the owner's view
	Queued      time.Duration // time in the owner's admission queue
	Served      time.Duration // time at the backend server
}

// FromError converts an error to a reply. Any error other than a *mtreply.RefusedError
// counts as an unknown outcome, since "not run" requires a proof.
func FromError(err error) *Reply {
	switch e := err.(type) {
	case *mtreply.RefusedError:
		return &Reply{Outcome: mtreply.NotRun, Cause: e.Cause, Detail: e.Detail, RetryAfter: e.RetryAfter}
	case *mtreply.UnknownError:
		return &Reply{Outcome: mtreply.Unknown, Cause: e.Cause, Detail: e.Error()}
	}
	return &Reply{Outcome: mtreply.Unknown, Cause: mtreply.CauseLost, Detail: err.Error()}
}
