package mtadmin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"magnoliaturn/core/mtid"
)

// clientTimeout exceeds the time limit of the server's handlers, so that a client
// receives the server's error instead of timing out first.
const clientTimeout = handlerTimeout + 5*time.Second

// maxResponse limits how much of a response body a client reads, in bytes.
const maxResponse = 16 << 20

// Client calls the administration API of a daemon. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NoResponseError reports that no valid response arrived, so the request may have
// taken effect. All requests of this API can safely be repeated.
type NoResponseError struct{ Err error }

// Error implements error.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no answer, repeat the same request: %v", e.Err)
}

// Unwrap returns the error of the transport, or of reading the response.
func (e *NoResponseError) Unwrap() error { return e.Err }

// NewClient returns a client of the daemon at base, for example
// "https://10.20.1.11:8083". config may be nil for plain HTTP.
func NewClient(base, token string, config *tls.Config) *Client {
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
	return &Client{
		base:  strings.TrimSuffix(base, "/"),
		token: token,
		http:  &http.Client{Transport: transport, Timeout: clientTimeout},
	}
}

// do sends a request and decodes the response into out. It fails with a *Problem
// if the server refused the request, with a *NoResponseError if no valid response
// arrived, and with a *ParameterError if the base URL is invalid.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &ParameterError{Field: "address", Value: c.base, Accept: "the base URL of a daemon's administration API"}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.token != "" {
		request.Header.Set("Authorization", bearer+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &NoResponseError{Err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return &NoResponseError{Err: err}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return parseProblem(response.StatusCode, text)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return &NoResponseError{Err: err}
	}
	return nil
}

// parseProblem decodes the problem document of an error response. Something other
// than a daemon may serve the address, with a body in another format.
func parseProblem(status int, body []byte) error {
	p := &Problem{}
	if err := json.Unmarshal(body, p); err != nil || !strings.HasPrefix(p.Type, typePrefix) {
		return problem(status, ReasonInternal, http.StatusText(status), "not an answer of a daemon's administration API")
	}
	return p
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.do(ctx, http.MethodGet, path, nil, nil, out)
}

// getAll fetches all pages of a list.
func getAll[T any](ctx context.Context, c *Client, path string, query url.Values) (Page[T], error) {
	all := Page[T]{Items: []T{}}
	for {
		var page Page[T]
		if err := c.get(ctx, path+"?"+query.Encode(), &page); err != nil {
			return all, err
		}
		all.Items = append(all.Items, page.Items...)
		all.Failed = append(all.Failed, page.Failed...)
		if page.Next == "" {
			return all, nil
		}
		query.Set("after", page.Next)
	}
}

func businessPath(business mtid.Business) string {
	return "/v1/businesses/" + url.PathEscape(string(business))
}

func draftPath(business mtid.Business, version mtid.Version, digest string) string {
	return fmt.Sprintf("%s/drafts/%d/%s", businessPath(business), version, url.PathEscape(digest))
}

// Bundle returns the bundle in force.
func (c *Client) Bundle(ctx context.Context, business mtid.Business) (d BundleDocument, err error) {
	return d, c.get(ctx, businessPath(business)+"/bundle", &d)
}

// Version returns a version of a bundle that is or was in force.
func (c *Client) Version(ctx context.Context, business mtid.Business, version mtid.Version) (d BundleDocument, err error) {
	return d, c.get(ctx, fmt.Sprintf("%s/history/%d", businessPath(business), version), &d)
}

// History returns the retained versions, newest first.
func (c *Client) History(ctx context.Context, business mtid.Business) (Page[BundleDocument], error) {
	return getAll[BundleDocument](ctx, c, businessPath(business)+"/history", url.Values{})
}

// Drafts returns the open proposals.
func (c *Client) Drafts(ctx context.Context, business mtid.Business) (Page[BundleDocument], error) {
	return getAll[BundleDocument](ctx, c, businessPath(business)+"/drafts", url.Values{})
}

// Draft returns an open proposal, including its text.
func (c *Client) Draft(ctx context.Context, business mtid.Business, version mtid.Version, digest string) (d BundleDocument, err error) {
	return d, c.get(ctx, draftPath(business, version, digest), &d)
}

// Propose submits the text of a bundle as a proposal.
func (c *Client) Propose(ctx context.Context, business mtid.Business, text []byte) (d BundleDocument, err error) {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	return d, c.do(ctx, http.MethodPost, businessPath(business)+"/drafts", header, text, &d)
}

// Sign submits a signature of an open proposal.
func (c *Client) Sign(ctx context.Context, business mtid.Business, version mtid.Version, digest string, signature SignatureDocument) (d BundleDocument, err error) {
	body, err := json.Marshal(signature)
	if err != nil {
		return d, &ParameterError{Field: "signature", Accept: "a signature"}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return d, c.do(ctx, http.MethodPost, draftPath(business, version, digest)+"/signatures", header, body, &d)
}

// Accept puts an open proposal in force. It succeeds as well if the proposal is
// already in force.
func (c *Client) Accept(ctx context.Context, business mtid.Business, version mtid.Version, digest string) (d BundleDocument, err error) {
	var header http.Header
	if version > 0 {
		header = http.Header{"If-Match": {etag(version - 1)}}
	}
	return d, c.do(ctx, http.MethodPost, draftPath(business, version, digest)+"/accept", header, nil, &d)
}

// VersionsInForce returns the version that each live daemon has in force.
func (c *Client) VersionsInForce(ctx context.Context, business mtid.Business) (Page[InForceDocument], error) {
	return getAll[InForceDocument](ctx, c, businessPath(business)+"/force", url.Values{})
}

// Quarantine returns the requests that the live daemons have quarantined.
func (c *Client) Quarantine(ctx context.Context, business mtid.Business) (Page[SuspectDocument], error) {
	return getAll[SuspectDocument](ctx, c, businessPath(business)+"/quarantine", url.Values{})
}

// Roster returns all daemons of the roster.
func (c *Client) Roster(ctx context.Context) (Page[DaemonDocument], error) {
	return getAll[DaemonDocument](ctx, c, "/v1/roster", url.Values{"limit": {strconv.Itoa(maxLimit)}})
}

// Assignment returns the shards of a service and their owners.
func (c *Client) Assignment(ctx context.Context, ref mtid.Ref) (Page[ShardDocument], error) {
	path := businessPath(ref.Business) + "/services/" + url.PathEscape(string(ref.Service)) + "/assignment"
	return getAll[ShardDocument](ctx, c, path, url.Values{"limit": {strconv.Itoa(maxLimit)}})
}

// Owner returns the shard and the owner of a key.
func (c *Client) Owner(ctx context.Context, ref mtid.Ref, key mtid.Key) (d OwnerDocument, err error) {
	path := businessPath(ref.Business) + "/services/" + url.PathEscape(string(ref.Service)) + "/owner"
	return d, c.get(ctx, path+"?"+url.Values{"key": {string(key)}}.Encode(), &d)
}

// Status returns the status of the daemon that the client is connected to.
func (c *Client) Status(ctx context.Context) (d StatusDocument, err error) {
	return d, c.get(ctx, "/v1/status", &d)
}

// Drain makes a daemon hand over its keys and leave. It returns once that has
// begun.
func (c *Client) Drain(ctx context.Context, daemon mtid.Daemon) (d DrainDocument, err error) {
	return d, c.do(ctx, http.MethodPost, "/v1/daemons/"+url.PathEscape(string(daemon))+"/drain", nil, nil, &d)
}
