package mtstandin

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"magnoliaturn/core/mtaudit"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// CauseUnsent is the cause that a load records for a request that it did not send
// because too many requests were open at its scheduled time.
const CauseUnsent mtreply.Cause = "unsent"

// Limits of a load.
const (
	timeoutSlack  = 500 * time.Millisecond // how long a caller waits past its timeout
	maxIdleConns  = 1024                   // idle connections kept open per target
	retryDelay    = 50 * time.Millisecond  // between tries without a Retry-After of a reachable target
	maxRetryDelay = 2 * time.Second        // upper limit of Retry-After
	maxReply      = MaxBody
)

// LoadClass configures one class of requests of a load.
type LoadClass struct {
	Name       mtid.Class
	Idempotent bool
	Weight     float64 // fraction of the requests, relative to the other classes
	Timeout    time.Duration
	Body       int // length of the request body in bytes; 0 sends a GET
}

// LoadSetting configures the requests of a load.
type LoadSetting struct {
	Service mtid.Ref
	Targets []string // base URLs, used in turn
	// Direct means that the targets are backend servers rather than daemons.
	Direct   bool
	Rate     float64 // requests a second
	Duration time.Duration
	Keys     uint64
	// Zipf is the exponent of the keys' popularity, above 1; 0 draws keys
	// uniformly.
	Zipf    float64
	Classes []LoadClass
	Rest    string // rest of the path, after the key
	// Tries is the maximum number of times a request is sent. It is retried with
	// the same identifier if it was not run, and also after an unknown outcome if
	// it is idempotent or Resend is set.
	Tries  int
	Resend bool
	Open   int // maximum number of open requests
	Seed   uint64
}

func (s *LoadSetting) check() error {
	fault := func(field, value, accept string) error {
		return &SettingError{Field: field, Value: value, Accept: accept}
	}
	switch {
	case len(s.Targets) == 0:
		return fault("targets", "", "at least one base URL")
	case !(s.Rate > 0):
		return fault("rate", fmt.Sprint(s.Rate), "more than 0")
	case s.Keys == 0:
		return fault("keys", "0", "1 or more")
	case s.Zipf != 0 && !(s.Zipf > 1):
		return fault("zipf", fmt.Sprint(s.Zipf), "0, or more than 1")
	case s.Tries < 1:
		return fault("tries", strconv.Itoa(s.Tries), "1 or more")
	case s.Open < 1:
		return fault("open", strconv.Itoa(s.Open), "1 or more")
	case len(s.Classes) == 0:
		return fault("classes", "", "at least one class")
	}
	for _, c := range s.Classes {
		if c.Name == "" || !(c.Weight > 0) || c.Timeout <= 0 || c.Body < 0 || c.Body > MaxBody {
			return fault("classes", fmt.Sprint(c), "a name, a weight and a timeout above 0, and a body that fits")
		}
	}
	return nil
}

// Load sends requests at a fixed rate and records their outcomes.
type Load struct {
	setting LoadSetting
	records *Journal[mtaudit.Call]
	client  *http.Client
	source  *rand.Rand
	zipf    *rand.Zipf
	weight  float64
	tally   *tally
}

// NewLoad returns a load that records its requests in records. The clean-up
// function closes idle connections. It fails with a *SettingError.
func NewLoad(setting LoadSetting, records *Journal[mtaudit.Call], secure *tls.Config) (*Load, func(), error) {
	if err := setting.check(); err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{
		MaxIdleConns: maxIdleConns * len(setting.Targets), MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression: true, TLSClientConfig: secure,
	}
	l := &Load{
		setting: setting, records: records, client: &http.Client{Transport: transport},
		source: rand.New(rand.NewPCG(setting.Seed, setting.Seed)), tally: newTally(),
	}
	if setting.Zipf != 0 {
		l.zipf = rand.NewZipf(l.source, setting.Zipf, 1, setting.Keys-1)
	}
	for _, c := range setting.Classes {
		l.weight += c.Weight
	}
	return l, transport.CloseIdleConnections, nil
}

// scheduledRequest is one request of the schedule. A single goroutine draws them
// all, so that a seed yields the same requests regardless of the replies.
type scheduledRequest struct {
	number  uint64
	planned time.Time
	key     mtid.Key
	class   *LoadClass
}

// Run sends the load until its duration has passed or ctx ends, waits for open
// requests and returns a summary. It must be called only once.
func (l *Load) Run(ctx context.Context) Summary {
	period := time.Duration(float64(time.Second) / l.setting.Rate)
	count := uint64(l.setting.Duration / period)
	start := time.Now()
	var open atomic.Int64
	var all sync.WaitGroup
	for n := range count {
		o := l.draw(n, start.Add(time.Duration(n)*period))
		if wait := time.Until(o.planned); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		if open.Load() >= int64(l.setting.Open) {
			l.recordUnsent(o)
			continue
		}
		open.Add(1)
		all.Go(func() {
			defer open.Add(-1)
			l.perform(ctx, o)
		})
	}
	all.Wait()
	return l.tally.summary(time.Since(start))
}

func (l *Load) draw(n uint64, planned time.Time) scheduledRequest {
	o := scheduledRequest{number: n, planned: planned, class: l.drawClass()}
	at := uint64(0)
	if l.zipf != nil {
		at = l.zipf.Uint64()
	} else {
		at = l.source.Uint64N(l.setting.Keys)
	}
	o.key = mtid.Key("key-" + strconv.FormatUint(at, 10))
	return o
}

func (l *Load) drawClass() *LoadClass {
	at := l.source.Float64() * l.weight
	for i := range l.setting.Classes {
		at -= l.setting.Classes[i].Weight
		if at < 0 {
			return &l.setting.Classes[i]
		}
	}
	return &l.setting.Classes[len(l.setting.Classes)-1]
}

// record returns the fields of the record that all tries of a request share.
func (l *Load) record(o scheduledRequest) mtaudit.Call {
	return mtaudit.Call{
		ID: mtaudit.ID(uuid.Must(uuid.NewV7()).String()), Business: l.setting.Service.Business,
		Service: l.setting.Service.Service, Key: o.key, Class: o.class.Name, Idempotent: o.class.Idempotent,
		Planned: o.planned,
	}
}

// recordUnsent records a request that was not sent because too many were open.
func (l *Load) recordUnsent(o scheduledRequest) {
	c := l.record(o)
	now := time.Now()
	c.Try, c.Sent, c.Ended = 1, now, now
	c.Outcome, c.Cause = mtreply.NotRun, CauseUnsent
	l.records.Write(c)
	l.tally.add(c)
}

// perform sends one request and retries it as the settings allow.
func (l *Load) perform(ctx context.Context, o scheduledRequest) {
	base := l.record(o)
	body := make([]byte, o.class.Body)
	copy(body, base.ID)
	base.Request = mtaudit.DigestOf(body)
	deadline := o.planned.Add(o.class.Timeout)
	for try := 1; ; try++ {
		c := base
		c.Try = try
		c.Via = l.setting.Targets[(o.number+uint64(try)-1)%uint64(len(l.setting.Targets))]
		wait := l.send(ctx, &c, o, deadline, body)
		l.records.Write(c)
		if !l.shouldRetry(c, time.Now().Add(wait), deadline) || ctx.Err() != nil {
			l.tally.add(c)
			return
		}
		time.Sleep(wait)
	}
}

// shouldRetry reports whether a request is to be sent again at the given time.
func (l *Load) shouldRetry(c mtaudit.Call, at, deadline time.Time) bool {
	if c.Try >= l.setting.Tries || !at.Before(deadline) {
		return false
	}
	switch c.Outcome {
	case mtreply.NotRun:
		return true
	case mtreply.Unknown:
		return c.Idempotent || l.setting.Resend
	}
	return false
}

// send makes one try, fills in its record and returns the delay before the next
// try.
func (l *Load) send(ctx context.Context, c *mtaudit.Call, o scheduledRequest, deadline time.Time, body []byte) time.Duration {
	c.Sent = time.Now()
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(timeoutSlack))
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := l.newRequest(ctx, c, o, deadline, body)
	if err != nil {
		c.Ended, c.Outcome, c.Cause = time.Now(), mtreply.NotRun, mtreply.CauseMalformed
		return retryDelay
	}
	response, err := l.client.Do(request)
	if err != nil {
		c.Ended = time.Now()
		c.Outcome, c.Cause = outcomeWithoutReply(err, connected.Load())
		if c.Cause == mtreply.CauseUnreachable {
			return 0 // retry at once: the next target is another daemon
		}
		return retryDelay
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	c.Ended = time.Now()
	l.recordReply(c, response, reply, err)
	return retryAfter(response)
}

// newRequest builds the HTTP request of a try.
func (l *Load) newRequest(ctx context.Context, c *mtaudit.Call, o scheduledRequest, deadline time.Time, body []byte) (*http.Request, error) {
	path := "/" + url.PathEscape(string(c.Key)) + "/" + l.setting.Rest
	if !l.setting.Direct {
		path = mtheader.Prefix + "/" + l.setting.Service.String() + path
	}
	method := http.MethodPost
	if o.class.Body == 0 {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, c.Via+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(mtheader.Class, string(c.Class))
	if l.setting.Direct {
		request.Header.Set(mtheader.ID, string(c.ID))
		return request, nil
	}
	request.Header.Set(mtheader.Key, string(c.ID))
	request.Header.Set(mtheader.Timeout, max(deadline.Sub(c.Sent), time.Millisecond).Round(time.Microsecond).String())
	return request, nil
}

// recordReply copies a reply into the record of its try. The outcome is unknown if
// the reply is incomplete or states none.
func (l *Load) recordReply(c *mtaudit.Call, response *http.Response, reply []byte, err error) {
	c.Status = response.StatusCode
	c.Owner = response.Header.Get(mtheader.Owner)
	c.ReplyID = mtaudit.ID(response.Header.Get(mtheader.ID))
	c.Cause = mtreply.Cause(response.Header.Get(mtheader.Cause))
	outcome := mtreply.Outcome(response.Header.Get(mtheader.Outcome))
	if l.setting.Direct && outcome == "" {
		outcome = mtreply.Answered
	}
	switch {
	case outcome == mtreply.NotRun:
		c.Outcome = mtreply.NotRun
	case outcome == mtreply.Unknown:
		c.Outcome = mtreply.Unknown
	case outcome != mtreply.Answered || err != nil:
		c.Outcome, c.Cause = mtreply.Unknown, mtreply.CauseTruncated
	default:
		c.Outcome, c.Reply = mtreply.Answered, mtaudit.DigestOf(reply)
	}
}

// outcomeWithoutReply classifies a try that received no reply. Without a connection
// nothing was sent, so the request was not run.
func outcomeWithoutReply(err error, connected bool) (mtreply.Outcome, mtreply.Cause) {
	if !connected {
		return mtreply.NotRun, mtreply.CauseUnreachable
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return mtreply.Unknown, mtreply.CauseTimeout
	}
	return mtreply.Unknown, mtreply.CauseLost
}

// retryAfter returns the delay of the Retry-After header, at most maxRetryDelay, or
// retryDelay if the header is missing or invalid.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return retryDelay
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryDelay)
}
