package mtstore

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtstore"
)

// Call describes a call to a store over HTTP, for its errors.
type Call struct {
	Op       string
	Name     string
	ReadOnly bool // the call has no effect, so its outcome is certain even if the response is lost
	// First is how long the response may take to begin, and Idle how long it may pause after that.
	// Both or none are zero, which sets no limit.
	First, Idle time.Duration
}

// OutcomeError returns the error for a call that was sent, or may have been sent.
func (c Call) OutcomeError(err error) error {
	if c.ReadOnly {
		return &mtstore.UnavailableError{Op: c.Op, Err: err}
	}
	return &mtstore.UnknownError{Op: c.Op, Name: c.Name, Err: err}
}

// Response is the response of a store to one call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchange sends the request of a call once and reads a response of at most limit
// bytes. Whether a failed call may have taken effect depends only on whether it ever
// had a connection. Without a connection, no byte of it can have been sent. With one,
// only a response of the store proves that the call had no effect.
func (c Call) Exchange(client *http.Client, request *http.Request, limit int64) (*Response, error) {
	var connected atomic.Bool
	limited, bound := request.Context(), unbound
	if c.First > 0 {
		watched, p, stop := watchProgress(limited, c.First, c.Idle)
		defer stop()
		limited, bound = watched, p.reader
	}
	ctx := httptrace.WithClientTrace(limited, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		err = cause(ctx, err)
		if !connected.Load() {
			return nil, &mtstore.UnavailableError{Op: c.Op, Err: err}
		}
		return nil, c.OutcomeError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(bound(io.LimitReader(response.Body, limit+1)))
	if err != nil {
		return nil, c.OutcomeError(&TransferError{Read: len(body), Total: response.ContentLength, Err: cause(ctx, err)})
	}
	if int64(len(body)) > limit {
		return nil, c.OutcomeError(&ResponseError{Status: response.StatusCode, Reason: "too large"})
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// unbound returns a reader as it is.
func unbound(r io.Reader) io.Reader { return r }

// cause returns why a call was canceled, or its error if it wasn't.
func cause(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return context.Cause(ctx)
}

// TransferError reports that the transfer of a response ended early.
type TransferError struct {
	Read  int   // bytes received
	Total int64 // bytes announced, or -1
	Err   error
}

// Error implements error.
func (e *TransferError) Error() string {
	return fmt.Sprintf("transfer ended after %d of %d bytes: %v", e.Read, e.Total, e.Err)
}

// Unwrap returns the cause.
func (e *TransferError) Unwrap() error { return e.Err }

// NeverRedirect prevents a client from following redirects. A redirect with status 307
// would make it send a write a second time, to another address.
func NeverRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
