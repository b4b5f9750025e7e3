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

// CauseUnsent is the cause that a load records for a request which it could
// not send at its time, since too many were open already.
const CauseUnsent mtreply.Cause = "unsent"

// The load's limits.
const (
	slack    = 500 * time.Millisecond // that a caller waits past its timeout
	idle     = 1024                   // connections kept open to each target
	resend   = 50 * time.Millisecond  // between two tries, unless the reply says more or nobody listened
	maxWait  = 2 * time.Second        // between two tries, whatever the reply says
	maxReply = MaxBody
)

// LoadClass is one kind of request of a load.
type LoadClass struct {
	Name       mtid.Class
	Idempotent bool
	Weight     float64 // share of the requests, relative to the other classes
	Timeout    time.Duration
	Body       int // length of the request's body, bytes; zero is a GET
}

// LoadSetting says what a load sends.
type LoadSetting struct {
	Service mtid.Ref
	Targets []string // base URLs, asked in turn
	// Direct sends to backend servers, past the daemons.
	Direct   bool
	Rate     float64 // requests a second
	Duration time.Duration
	Keys     uint64
	// Zipf is the exponent of the keys' popularity, above 1; zero asks for
	// all keys alike.
	Zipf    float64
	Classes []LoadClass
	Rest    string // of the path, after the key
	// Tries is how often a request is sent at most. It is sent again after
	// "not run", and after an unknown outcome if it is idempotent or Resend is
	// set, with the same identifier.
	Tries  int
	Resend bool
	Open   int // requests that may be open at once
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

// Load sends requests at a fixed rate.
type Load struct {
	setting LoadSetting
	records *Journal[mtaudit.Call]
	client  *http.Client
	source  *rand.Rand
	zipf    *rand.Zipf
	weight  float64
	tally   *tally
}

// NewLoad returns a load whose requests are recorded in records. The clean-up
// closes idle connections. It fails with a *SettingError.
func NewLoad(setting LoadSetting, records *Journal[mtaudit.Call], secure *tls.Config) (*Load, func(), error) {
	if err := setting.check(); err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{
		MaxIdleConns: idle * len(setting.Targets), MaxIdleConnsPerHost: idle,
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

// order is one request of the schedule, drawn by the one goroutine that keeps
// it, so that a seed gives the same requests whatever the answers are.
type order struct {
	number  uint64
	planned time.Time
	key     mtid.Key
	class   *LoadClass
}

// Run sends the load until its duration is over or ctx ends, waits for what is
// open, and returns what became of it. It is called once.
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
			l.unsent(o)
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

func (l *Load) draw(n uint64, planned time.Time) order {
	o := order{number: n, planned: planned, class: l.drawClass()}
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

// record returns the part of a record that all tries of an order share.
func (l *Load) record(o order) mtaudit.Call {
	return mtaudit.Call{
		ID: mtaudit.ID(uuid.Must(uuid.NewV7()).String()), Business: l.setting.Service.Business,
		Service: l.setting.Service.Service, Key: o.key, Class: o.class.Name, Idempotent: o.class.Idempotent,
		Planned: o.planned,
	}
}

// unsent records a request that the load had no room to send.
func (l *Load) unsent(o order) {
	c := l.record(o)
	now := time.Now()
	c.Try, c.Sent, c.Ended = 1, now, now
	c.Outcome, c.Cause = mtreply.NotRun, CauseUnsent
	l.records.Write(c)
	l.tally.add(c)
}

// perform sends one request, as often as the settings allow.
func (l *Load) perform(ctx context.Context, o order) {
	base := l.record(o)
	body := make([]byte, o.class.Body)
	copy(body, base.ID)
	base.Request = mtaudit.DigestOf(body)
	until := o.planned.Add(o.class.Timeout)
	for try := 1; ; try++ {
		c := base
		c.Try = try
		c.Via = l.setting.Targets[(o.number+uint64(try)-1)%uint64(len(l.setting.Targets))]
		wait := l.send(ctx, &c, o, until, body)
		l.records.Write(c)
		if !l.again(c, time.Now().Add(wait), until) || ctx.Err() != nil {
			l.tally.add(c)
			return
		}
		time.Sleep(wait)
	}
}

// again reports whether a request is sent once more, at that time.
func (l *Load) again(c mtaudit.Call, at, until time.Time) bool {
	if c.Try >= l.setting.Tries || !at.Before(until) {
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

// send makes one try, fills in its record, and returns how long to wait before
// the next one.
func (l *Load) send(ctx context.Context, c *mtaudit.Call, o order, until time.Time, body []byte) time.Duration {
	c.Sent = time.Now()
	ctx, cancel := context.WithDeadline(ctx, until.Add(slack))
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := l.request(ctx, c, o, until, body)
	if err != nil {
		c.Ended, c.Outcome, c.Cause = time.Now(), mtreply.NotRun, mtreply.CauseMalformed
		return resend
	}
	response, err := l.client.Do(request)
	if err != nil {
		c.Ended = time.Now()
		c.Outcome, c.Cause = lost(err, connected.Load())
		if c.Cause == mtreply.CauseUnreachable {
			return 0 // the next target is another daemon
		}
		return resend
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	c.Ended = time.Now()
	l.read(c, response, reply, err)
	return retryAfter(response)
}

// request puts a try into HTTP.
func (l *Load) request(ctx context.Context, c *mtaudit.Call, o order, until time.Time, body []byte) (*http.Request, error) {
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
	request.Header.Set(mtheader.Timeout, max(until.Sub(c.Sent), time.Millisecond).Round(time.Microsecond).String())
	return request, nil
}

// read takes a reply apart. What does not say what became of the request
// leaves it unknown.
func (l *Load) read(c *mtaudit.Call, response *http.Response, reply []byte, err error) {
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

// lost returns what is known of a try without an answer: if it never had a
// connection, no byte of it was sent.
func lost(err error, connected bool) (mtreply.Outcome, mtreply.Cause) {
	if !connected {
		return mtreply.NotRun, mtreply.CauseUnreachable
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return mtreply.Unknown, mtreply.CauseTimeout
	}
	return mtreply.Unknown, mtreply.CauseLost
}

// retryAfter returns how long the reply asks a caller to wait.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return resend
	}
	return min(time.Duration(seconds*float64(time.Second)), maxWait)
}
