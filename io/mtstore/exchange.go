package mtstore

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"magnoliaturn/core/mtstore"
)

// Call describes a call to a store over HTTP, for its errors.
type Call struct {
	Op       string
	Name     string
	ReadOnly bool // the call has no effect, so its outcome is certain even if the response is lost
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
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		if !connected.Load() {
			return nil, &mtstore.UnavailableError{Op: c.Op, Err: err}
		}
		return nil, c.OutcomeError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, c.OutcomeError(&TransferError{Read: len(body), Total: response.ContentLength, Err: err})
	}
	if int64(len(body)) > limit {
		return nil, c.OutcomeError(&ResponseError{Status: response.StatusCode, Reason: "too large"})
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
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
