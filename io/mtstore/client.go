package mtstore

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// Limits of the idle connections that a client keeps open. A daemon has one or two
// watches and few other calls.
const (
	idleConnections = 4
	idleTimeout     = 90 * time.Second
)

// maxHead limits the head of a response, in bytes.
const maxHead = 64 << 10

// Client accesses the platform's store over HTTP. It implements the Store interface of
// core/mtstore and is safe for concurrent use. It never retries a call.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	counts  counts
}

// NewClient returns a client of the store at base, "http://host:port". A call fails if
// it is not answered within timeout; for a watch, its wait is added to the timeout.
// The clean-up function closes idle connections. NewClient fails with a *SettingError.
func NewClient(base string, timeout time.Duration) (*Client, func(), error) {
	parsed, err := url.Parse(base)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return nil, nil, &SettingError{Field: "base", Value: base, Accept: "an http or https URL"}
	}
	if timeout <= 0 {
		return nil, nil, &SettingError{Field: "timeout", Value: timeout.String(), Accept: "more than 0s"}
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHead,
	}
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: transport, CheckRedirect: NeverRedirect},
		counts:  newCounts(),
	}
	return c, transport.CloseIdleConnections, nil
}

// Vars returns the counters: calls by kind, failures by kind, and "watching", the
// number of watches that are currently waiting.
func (c *Client) Vars() *expvar.Map { return c.counts.vars }

// Get implements the Store interface of core/mtstore.
func (c *Client) Get(ctx context.Context, name string) (mtstore.Entry, error) {
	if err := checkName(opGet, name); err != nil {
		return mtstore.Entry{}, err
	}
	var entry mtstore.Entry
	err := c.call(ctx, call{Call: Call{Op: opGet, Name: name, ReadOnly: true}, path: pathGet}, getRequest{Name: name}, &entry)
	return entry, err
}

// Swap implements the Store interface of core/mtstore.
func (c *Client) Swap(ctx context.Context, name string, expected mtid.Version, value []byte, lease mtstore.LeaseID) (mtid.Version, error) {
	if err := checkName(opSwap, name); err != nil {
		return 0, err
	}
	if err := checkValue(opSwap, value); err != nil {
		return 0, err
	}
	request := swapRequest{Name: name, Expected: expected, Value: value, Lease: lease}
	var response swapResponse
	description := call{Call: Call{Op: opSwap, Name: name}, path: pathSwap, expected: expected}
	if err := c.call(ctx, description, request, &response); err != nil {
		return 0, err
	}
	if response.Version == 0 {
		return 0, &mtstore.UnknownError{Op: opSwap, Name: name, Err: &ResponseError{Reason: "no version"}}
	}
	return response.Version, nil
}

// Watch implements the Store interface of core/mtstore.
func (c *Client) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	if err := checkWait(wait); err != nil {
		return mtstore.Changes{}, err
	}
	c.counts.watching.Add(1)
	defer c.counts.watching.Add(-1)
	var changes mtstore.Changes
	description := call{Call: Call{Op: opWatch, Name: prefix, ReadOnly: true}, path: pathWatch, wait: wait}
	err := c.call(ctx, description, watchRequest{Prefix: prefix, After: after, Wait: wait}, &changes)
	return changes, err
}

// Grant implements the Store interface of core/mtstore.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (mtstore.LeaseID, error) {
	if err := checkTTL(ttl); err != nil {
		return "", err
	}
	var response leaseBody
	err := c.call(ctx, call{Call: Call{Op: opGrant}, path: pathGrant}, grantRequest{TTL: ttl}, &response)
	return response.Lease, err
}

// Renew implements the Store interface of core/mtstore.
func (c *Client) Renew(ctx context.Context, lease mtstore.LeaseID) error {
	var response leaseBody
	return c.call(ctx, call{Call: Call{Op: opRenew, Name: string(lease)}, path: pathRenew}, leaseBody{Lease: lease}, &response)
}

// call describes a call of a Client, for sending it and for its errors.
type call struct {
	Call
	path     string
	expected mtid.Version
	wait     time.Duration
}

// call makes a call and counts it.
func (c *Client) call(ctx context.Context, description call, in, out any) error {
	c.counts.call(description.Op)
	err := c.exchange(ctx, description, in, out)
	if err != nil {
		c.counts.fail(err)
	}
	return err
}

// exchange sends the request body in and decodes the response into out.
func (c *Client) exchange(ctx context.Context, description call, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+description.wait)
	defer cancel()
	encoded, err := json.Marshal(in)
	if err != nil {
		return &mtstore.RejectedError{Op: description.Op, Reason: err.Error()}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+description.path, bytes.NewReader(encoded))
	if err != nil {
		return &mtstore.RejectedError{Op: description.Op, Reason: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := description.Exchange(c.http, request, maxBody)
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return description.rejectionError(response.Status, response.Body)
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return description.OutcomeError(err)
	}
	return nil
}

// rejectionError returns the error for a response other than success. A status without
// a matching refusal of the store, such as the response of a proxy, does not prove
// that the call had no effect.
func (c call) rejectionError(status int, body []byte) error {
	var r refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Kind.status() != status {
		return c.OutcomeError(&ResponseError{Status: status, Reason: "not the store's"})
	}
	switch r.Kind {
	case kindMissing:
		return &mtstore.NotFoundError{Name: c.Name}
	case kindConflict:
		return &mtstore.ConflictError{Name: c.Name, Expected: c.expected, Current: r.Current}
	case kindExpired:
		return &mtstore.LeaseExpiredError{Lease: r.Lease}
	case kindRejected:
		return &mtstore.RejectedError{Op: c.Op, Reason: r.Reason}
	case kindUnavailable:
		return &mtstore.UnavailableError{Op: c.Op, Err: &ResponseError{Status: status, Reason: r.Reason}}
	}
	return c.OutcomeError(&ResponseError{Status: status, Reason: "unknown kind " + string(r.Kind)})
}

// ResponseError reports that a response of the store is invalid, or contains the reason
// of a refusal.
type ResponseError struct {
	Status int // HTTP status; zero if the body of a successful response is invalid
	Reason string
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("store answered with status %d: %s", e.Status, e.Reason)
}
