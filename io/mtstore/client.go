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

// Connections that a client keeps open while they are idle. A daemon has a
// watch or two and few other calls.
const (
	idleConnections = 4
	idleTimeout     = 90 * time.Second
)

// Client reaches the platform's store over HTTP. It implements the Store of
// core/mtstore and is safe for concurrent use. It never repeats a call.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	counts  counts
}

// NewClient returns a client of the store at base, "http://host:port". A call
// that is not answered within timeout fails; a watch has its wait on top. The
// clean-up closes idle connections. It fails with a *SettingError.
func NewClient(base string, timeout time.Duration) (*Client, func(), error) {
	parsed, err := url.Parse(base)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return nil, nil, &SettingError{Field: "base", Value: base, Accept: "an http or https URL"}
	}
	if timeout <= 0 {
		return nil, nil, &SettingError{Field: "timeout", Value: timeout.String(), Accept: "more than 0s"}
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: transport, CheckRedirect: NeverRedirect},
		counts:  newCounts(),
	}
	return c, transport.CloseIdleConnections, nil
}

// Vars returns the counters: calls by kind, failures by kind, and "watching",
// the number of watches that wait now.
func (c *Client) Vars() *expvar.Map { return c.counts.vars }

// Get implements the Store of core/mtstore.
func (c *Client) Get(ctx context.Context, name string) (mtstore.Entry, error) {
	if err := checkName(opGet, name); err != nil {
		return mtstore.Entry{}, err
	}
	var entry mtstore.Entry
	err := c.call(ctx, call{Call: Call{Op: opGet, Name: name, Read: true}, path: pathGet}, getAsk{Name: name}, &entry)
	return entry, err
}

// Swap implements the Store of core/mtstore.
func (c *Client) Swap(ctx context.Context, name string, expected mtid.Version, value []byte, lease mtstore.LeaseID) (mtid.Version, error) {
	if err := checkName(opSwap, name); err != nil {
		return 0, err
	}
	if err := checkValue(opSwap, value); err != nil {
		return 0, err
	}
	ask := swapAsk{Name: name, Expected: expected, Value: value, Lease: lease}
	var answer swapAnswer
	made := call{Call: Call{Op: opSwap, Name: name}, path: pathSwap, expected: expected}
	if err := c.call(ctx, made, ask, &answer); err != nil {
		return 0, err
	}
	if answer.Version == 0 {
		return 0, &mtstore.UnknownError{Op: opSwap, Name: name, Err: &AnswerError{Reason: "no version"}}
	}
	return answer.Version, nil
}

// Watch implements the Store of core/mtstore.
func (c *Client) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	if err := checkWait(wait); err != nil {
		return mtstore.Changes{}, err
	}
	c.counts.waiting.Add(1)
	defer c.counts.waiting.Add(-1)
	var changes mtstore.Changes
	made := call{Call: Call{Op: opWatch, Name: prefix, Read: true}, path: pathWatch, wait: wait}
	err := c.call(ctx, made, watchAsk{Prefix: prefix, After: after, Wait: wait}, &changes)
	return changes, err
}

// Grant implements the Store of core/mtstore.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (mtstore.LeaseID, error) {
	if err := checkTTL(ttl); err != nil {
		return "", err
	}
	var answer leaseBody
	err := c.call(ctx, call{Call: Call{Op: opGrant}, path: pathGrant}, grantAsk{TTL: ttl}, &answer)
	return answer.Lease, err
}

// Renew implements the Store of core/mtstore.
func (c *Client) Renew(ctx context.Context, lease mtstore.LeaseID) error {
	var answer leaseBody
	return c.call(ctx, call{Call: Call{Op: opRenew, Name: string(lease)}, path: pathRenew}, leaseBody{Lease: lease}, &answer)
}

// call describes one call, for its errors.
type call struct {
	Call
	path     string
	expected mtid.Version
	wait     time.Duration
}

// call makes one call and counts it.
func (c *Client) call(ctx context.Context, made call, ask, answer any) error {
	c.counts.call(made.Op)
	err := c.exchange(ctx, made, ask, answer)
	if err != nil {
		c.counts.fail(err)
	}
	return err
}

// exchange sends ask and reads answer.
func (c *Client) exchange(ctx context.Context, made call, ask, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+made.wait)
	defer cancel()
	encoded, err := json.Marshal(ask)
	if err != nil {
		return &mtstore.RejectedError{Op: made.Op, Reason: err.Error()}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+made.path, bytes.NewReader(encoded))
	if err != nil {
		return &mtstore.RejectedError{Op: made.Op, Reason: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	status, body, err := made.Exchange(c.http, request, maxBody)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return made.refused(status, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return made.Lost(err)
	}
	return nil
}

// refused returns the error for an answer other than success. A status without
// the store's own refusal, such as that of a proxy in between, proves nothing.
func (c call) refused(status int, body []byte) error {
	var r refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Kind.status() != status {
		return c.Lost(&AnswerError{Status: status, Reason: "not the store's"})
	}
	switch r.Kind {
	case kindMissing:
		return &mtstore.NotFoundError{Name: c.Name}
	case kindConflict:
		return &mtstore.ConflictError{Name: c.Name, Expected: c.expected, Current: r.Current}
	case kindLapsed:
		return &mtstore.LeaseExpiredError{Lease: r.Lease}
	case kindRejected:
		return &mtstore.RejectedError{Op: c.Op, Reason: r.Reason}
	case kindUnavailable:
		return &mtstore.UnavailableError{Op: c.Op, Err: &AnswerError{Status: status, Reason: r.Reason}}
	}
	return c.Lost(&AnswerError{Status: status, Reason: "unknown kind " + string(r.Kind)})
}

// AnswerError says what was wrong with an answer of the store.
type AnswerError struct {
	Status int // of HTTP; zero if the fault lies in the body of a success
	Reason string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("store answered with status %d: %s", e.Status, e.Reason)
}
