// Package mtforward forwards calls between daemons over gRPC: from the daemon that
// received a call to the daemon that runs on the VM of the backend server.
//
// A daemon that is frozen, without power or behind a dead connection doesn't refuse
// a call, it lets it hang. So the receiver sends the response header as soon as the
// call has arrived. A sender that receives no header in time knows long before the
// call's deadline that the daemon is unresponsive.
//
// Large bodies are sent in parts, once the daemon that receives them has memory for the whole.
//
// # Usage
//
//	client, cleanUp := mtforward.NewClient(clock, mtdial.Dial, exchange, memory)
//	answer, err := client.Forward(ctx, daemon, address, call)
//	mtforward.Register(grpcServer, mtforward.Server{Host: host, Clock: clock, Exchange: exchange, ServeChanges: serve})
//
// Forward fails with a *mtreply.RefusedError if the call was not run, and with a
// *mtreply.UnknownError if it may have run. All types are safe for concurrent use.
package mtforward

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtsilence"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/core/mtzone"
	"magnoliaturn/io/mtconn"
	"magnoliaturn/io/mtdial"
	"magnoliaturn/io/mtduty"
	iomemory "magnoliaturn/io/mtmemory"
)

type clock interface{ Now() mtclock.Instant }

const (
	// headerTimeout limits the wait for the response header of an idempotent call.
	// Packets may be queued for a second on a saturated slow link, and a call that is
	// abandoned then still reaches its server. A call that isn't idempotent has no such
	// timeout: it can't be sent again, and its reply may still arrive. 60 kB took 1.8 s
	// over a shared link of 10 Mbit/s, and with the timeout the caller got a 502 while
	// the server began to process the call. PullChanges allows the same time beyond its wait.
	headerTimeout = 1500 * time.Millisecond
	// configurationTimeout limits the transfer of a configuration from a daemon that has been asked
	// for nothing else.
	configurationTimeout = 3 * time.Second
	// detachedLifetime is the time after which a connection that was removed from the
	// pool is closed. Calls on it may still be answered until their deadlines.
	detachedLifetime = 30 * time.Second
	// bufferSize is the size of a connection's buffers, in bytes. A daemon has
	// connections to hundreds of others, and most messages are smaller. Write buffers
	// are shared, since few connections write at the same time.
	bufferSize = 8 << 10
	// ConnWindow is the flow control window of a connection in bytes: how much may be in
	// transit to a receiver, or have arrived without being received. Setting it turns off
	// gRPC's bandwidth estimation, which sends a ping for each burst of data. For nine daemons
	// on a day with little traffic, this lowered the CPU time from 11.5 s to 10.3 s.
	ConnWindow = 1 << 20
	// StreamWindow is that of one call. See ConnWindow.
	StreamWindow = 256 << 10
	// maxMessageSize is the size of the largest reply, in bytes: changes of the store, and the
	// answer of a daemon of an earlier release, which sends no parts.
	maxMessageSize = 72 << 20
	// memoryRetry is the Retry-After of a call for whose body there is no memory.
	memoryRetry = 500 * time.Millisecond
	// unreachableRetry is the Retry-After of a call whose daemon can't be reached:
	// about the time that a daemon needs to become available again.
	unreachableRetry = 500 * time.Millisecond
)

// connectParams has short delays, because a restarted daemon listens again within a
// second or two.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 300 * time.Millisecond},
	MinConnectTimeout: 500 * time.Millisecond,
}

// LoadReport is the last load that a daemon reported, and when the report was received.
type LoadReport struct {
	mtcall.Load
	ReceivedAt mtclock.Instant
	// NamedAt is when the daemon last answered a request that named it; zero if it never did. Other reports may be
	// another daemon's that answers at its address.
	NamedAt mtclock.Instant
}

// StateSummary summarizes which versions of the shared state a daemon has received. Daemons
// compare their summaries to detect that one of them missed an update.
type StateSummary struct {
	ConfigVersion mtid.Version  // version of the configuration in force
	NewestVersion mtid.Version  // highest version of all records and assignments
	Zones         mtzone.Digest // of the zones that are out of service
	// Age is the time since the daemon last knew for certain that its configuration
	// and its set of zones out of service were the newest.
	Age time.Duration
}

// StateExchange provides this daemon's summary of the shared state to other daemons and
// receives theirs. Calls, load requests and requests for changes carry them both ways.
type StateExchange struct {
	Summarize func() StateSummary // returns the summary of this daemon
	// Receive processes the summary of another daemon. If it came in a reply, sent is when
	// the request was sent. If it came in a request, sent is zero, because the time
	// that it spent in transit is unknown.
	Receive func(remote StateSummary, sent mtclock.Instant)
}

// Client sends calls to other daemons, over one connection to each of them.
type Client struct {
	clock    clock
	memory   *iomemory.Budget
	exchange StateExchange
	pool     *mtconn.Pool
	ctx      context.Context // canceled by the clean-up, ends the probes
	probes   sync.WaitGroup
	mu       sync.Mutex
	reports  map[mtid.Daemon]LoadReport
	notices  map[mtid.Daemon]*mtbackend.NoticeTracker
	detector *mtsilence.Detector
}

// NewClient returns a client that connects by dial, and its clean-up function, which stops
// the probes and closes all connections. Connections must fail soon when the peer becomes
// unresponsive. Answers take their memory from the budget; nil stands for one of their own.
func NewClient(c clock, dial mtdial.Func, exchange StateExchange, memory *iomemory.Budget) (*Client, func()) {
	if memory == nil {
		memory = iomemory.New(0)
	}
	pool, cleanUp := mtconn.New(
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(connectParams),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }),
		grpc.WithInitialWindowSize(StreamWindow),
		grpc.WithInitialConnWindowSize(ConnWindow),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize), grpc.MaxCallSendMsgSize(maxMessageSize)),
	)
	ctx, cancel := context.WithCancel(context.Background())
	client := &Client{
		clock: c, memory: memory, exchange: exchange, pool: pool, ctx: ctx,
		reports: make(map[mtid.Daemon]LoadReport), notices: make(map[mtid.Daemon]*mtbackend.NoticeTracker), detector: mtsilence.New(),
	}
	return client, func() {
		cancel()
		client.probes.Wait()
		cleanUp()
	}
}

// markUnresponsive marks a daemon as unresponsive, so that it gets no new calls, and starts to
// probe it. Probes and later calls use a new connection, because the old one may stay
// dead while new ones work. The old connection is not closed at once: that would fail
// all calls in flight to a daemon behind a saturated link because of a single slow one.
func (c *Client) markUnresponsive(daemon mtid.Daemon, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil || !c.detector.Suspect(c.clock.Now(), address) {
		return
	}
	if conn := c.pool.Detach(address); conn != nil {
		time.AfterFunc(detachedLifetime, func() { _ = conn.Close() })
	}
	c.probes.Go(func() { c.probe(daemon, address) })
}

// probe requests the load of an unresponsive daemon until it replies, or until nobody has
// tried to call it for some time.
func (c *Client) probe(daemon mtid.Daemon, address string) {
	for {
		ctx, cancel := context.WithTimeout(c.ctx, c.responseTimeout(address))
		err := c.QueryLoad(ctx, daemon, address)
		cancel()
		var other *OtherDaemonError
		if err == nil || errors.As(err, &other) {
			return
		}
		c.mu.Lock()
		pause, more := c.detector.ProbeFailed(c.clock.Now(), address)
		c.mu.Unlock()
		if !more || !mtduty.Sleep(c.ctx, pause) {
			return
		}
	}
}

// Unresponsive reports whether the daemon at the address is unresponsive, so that it must not
// get calls.
func (c *Client) Unresponsive(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detector.Unresponsive(c.clock.Now(), address)
}

// responseTimeout returns how long to wait for a response header or the reply to a probe.
func (c *Client) responseTimeout(address string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detector.Timeout(address)
}

// recordResponse records that a daemon responded to what was sent at since.
func (c *Client) recordResponse(address string, since mtclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detector.Answered(address, c.clock.Now().Sub(since))
}

// LoadReport returns the last load that a daemon reported, or false if it reported none.
func (c *Client) LoadReport(daemon mtid.Daemon) (LoadReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.reports[daemon]
	return r, ok
}

// recordLoad stores the load report of a reply to a message that was sent at the given time,
// if the reply has one.
func (c *Client) recordLoad(daemon mtid.Daemon, sent mtclock.Instant, w *mtwire.ForwardLoad) {
	if w == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	load := loadFromWire(w)
	c.reports[daemon] = LoadReport{Load: load, ReceivedAt: now, NamedAt: c.reports[daemon].NamedAt}
	notice := c.notices[daemon]
	if notice == nil {
		notice = &mtbackend.NoticeTracker{}
		c.notices[daemon] = notice
	}
	notice.Observe(now, sent, load.Report)
}

// notice returns what is known of the server beside a daemon by its answers.
func (c *Client) notice(daemon mtid.Daemon) mtbackend.Notice {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.notices[daemon]; t != nil {
		return t.Notice()
	}
	return mtbackend.Notice{}
}

// recordName records that a daemon has answered a request that named it.
func (c *Client) recordName(daemon mtid.Daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.reports[daemon]
	report.NamedAt = c.clock.Now()
	c.reports[daemon] = report
}

// QueryLoad requests the load of a daemon, stores it for LoadReport and exchanges
// summaries of the shared state. It fails with an *OtherDaemonError if another daemon answers at the
// address, and with a *mtreply.UnknownError if none does.
func (c *Client) QueryLoad(ctx context.Context, daemon mtid.Daemon, address string) error {
	conn, err := c.pool.Conn(address)
	if err != nil {
		return err
	}
	sent := c.clock.Now()
	load, err := mtwire.NewForwarderClient(conn).Observe(withName(ctx, daemon), &mtwire.ObserveRequest{News: summaryToWire(c.exchange.Summarize())})
	if status.Code(err) == codes.NotFound {
		c.recordResponse(address, sent)
		return &OtherDaemonError{Daemon: daemon, Address: address}
	}
	if err != nil {
		return &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: err}
	}
	c.recordResponse(address, sent)
	c.recordLoad(daemon, sent, load)
	c.recordName(daemon)
	c.exchange.Receive(summaryFromWire(load.GetNews()), sent)
	return nil
}

// ChangesRequest is a request for changes of the store that a daemon sends to its upstream.
type ChangesRequest struct {
	After  mtid.Revision         // requests the changes after this revision
	Epochs map[string]mtid.Epoch // epochs up to which assignments are known, by entry name
	Wait   time.Duration         // how long to wait for a change if there is none yet
	// Relays is set if the requesting daemon is itself an upstream of other daemons.
	Relays bool
	// Age is the time since the requesting daemon last knew for certain that its
	// configuration was the newest.
	Age time.Duration
	// Configuration is set if only the newest configuration is requested, and only if it is newer than
	// Known. A daemon of an earlier release replies with all it knows.
	Configuration bool
	// Known is the version of the requesting daemon's configuration. PullChanges takes it from the
	// summary that it sends.
	Known mtid.Version
}

// ChangesReply is the reply of an upstream to a ChangesRequest.
type ChangesReply struct {
	Changes mtstore.Changes
	Hops    int // distance of the upstream from the store; 1 if it watches the store itself
}

// PullChanges waits for changes of the store that the daemon at the address receives. The
// entry of an assignment that is known up to an epoch holds a patch. PullChanges fails with a
// *mtstore.UnavailableError if the other daemon does not receive changes itself.
func (c *Client) PullChanges(ctx context.Context, address string, q ChangesRequest) (ChangesReply, error) {
	conn, err := c.pool.Conn(address)
	if err != nil {
		return ChangesReply{}, err
	}
	limit := q.Wait + headerTimeout
	if q.Configuration {
		limit = configurationTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := &mtwire.LearnRequest{After: uint64(q.After), WaitMs: q.Wait.Milliseconds(), Relays: q.Relays, Configuration: q.Configuration, News: summaryToWire(c.exchange.Summarize())}
	for name, epoch := range q.Epochs {
		request.Epochs = append(request.Epochs, &mtwire.LearnEpoch{Name: name, Next: uint64(epoch)})
	}
	sent := c.clock.Now()
	w, err := mtwire.NewForwarderClient(conn).Learn(ctx, request)
	if err != nil {
		return ChangesReply{}, &mtstore.UnavailableError{Op: "learn", Err: err}
	}
	c.exchange.Receive(summaryFromWire(w.GetNews()), sent)
	reply := ChangesReply{Changes: mtstore.Changes{Revision: mtid.Revision(w.GetRevision())}, Hops: int(w.GetHops())}
	for _, e := range w.GetEntries() {
		reply.Changes.Entries = append(reply.Changes.Entries, entryFromWire(e))
	}
	return reply, nil
}

// PushEntry pushes an entry to a daemon that it affects, before the store delivers it. It fails
// with a *mtreply.UnknownError if the daemon did not acknowledge it.
func (c *Client) PushEntry(ctx context.Context, address string, entry mtstore.Entry) error {
	conn, err := c.pool.Conn(address)
	if err != nil {
		return err
	}
	if _, err := mtwire.NewForwarderClient(conn).Inform(ctx, entryToWire(entry)); err != nil {
		return &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: err}
	}
	return nil
}

// Commit requests the daemon at the address to write a batch of ownership transfers. It
// returns the outcome of each transfer and the changes of the assignment. It fails with a
// *mtreply.RefusedError if the batch was never sent, else with a *mtreply.UnknownError.
func (c *Client) Commit(ctx context.Context, address string, b mtrange.Batch) ([]mtrange.Outcome, mtstore.Entry, error) {
	conn, err := c.pool.Conn(address)
	if err != nil {
		return nil, mtstore.Entry{}, err
	}
	watched, sent := mtconn.TrackSend(ctx)
	w, err := mtwire.NewForwarderClient(conn).Commit(watched, b.Wire())
	if err != nil {
		return nil, mtstore.Entry{}, mtconn.ClassifyError(ctx, err, sent, unreachableRetry)
	}
	outcomes := make([]mtrange.Outcome, len(b.Transfers))
	for i := range outcomes {
		outcomes[i] = mtrange.OutcomeUnknown
		if i < len(w.GetOutcomes()) {
			outcomes[i] = mtrange.Outcome(w.GetOutcomes()[i])
		}
	}
	return outcomes, entryFromWire(w.GetAssignment()), nil
}

// Forward sends a call to the daemon on the VM of a backend server and waits for the reply.
func (c *Client) Forward(ctx context.Context, daemon mtid.Daemon, address string, call *mtcall.Call) (*mtcall.Answer, error) {
	conn, err := c.pool.Conn(address)
	if err != nil {
		return nil, err
	}
	if call.Announce {
		if err := c.announce(ctx, conn, call); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, call.Deadline.Sub(c.clock.Now())+mtcall.CallerAnswerMargin)
	defer cancel()
	if call.Body.Len() > maxInline {
		return c.upload(ctx, conn, daemon, address, call)
	}
	return c.forward(ctx, conn, daemon, address, call)
}

// forward sends a call together with its body.
func (c *Client) forward(ctx context.Context, conn grpc.ClientConnInterface, daemon mtid.Daemon, address string, call *mtcall.Call) (*mtcall.Answer, error) {
	now := c.clock.Now()
	watched, sent := mtconn.TrackSend(ctx)
	inner, cancelCall := context.WithCancel(watched)
	defer cancelCall()
	request := c.forwardRequest(now, daemon, call)
	request.Body = call.Body.Bytes()
	stream, err := mtwire.NewForwarderClient(conn).Forward(inner, request)
	if err != nil {
		return nil, mtconn.ClassifyError(ctx, err, sent, unreachableRetry)
	}
	if err := c.awaitHeader(stream, daemon, address, call.Idempotent, cancelCall); err != nil {
		return nil, mtconn.ClassifyError(ctx, err, sent, unreachableRetry)
	}
	w, err := stream.Recv()
	if err != nil {
		return nil, mtconn.ClassifyError(ctx, err, sent, unreachableRetry)
	}
	return c.receive(ctx, stream, daemon, now, w)
}

// forwardRequest encodes a call, together with this daemon's summary of the shared state and
// what it knows of the server beside the other daemon.
func (c *Client) forwardRequest(now mtclock.Instant, daemon mtid.Daemon, call *mtcall.Call) *mtwire.ForwardRequest {
	w := callToWire(now, call)
	w.Notice = noticeToWire(c.notice(daemon))
	w.News = summaryToWire(c.exchange.Summarize())
	return w
}

// awaitHeader waits for the response header, which acknowledges the arrival of the call.
// If the header takes longer than usual, the daemon is marked as unresponsive.
func (c *Client) awaitHeader(stream grpc.ClientStream, daemon mtid.Daemon, address string, idempotent bool, cancelCall func()) error {
	sent := c.clock.Now()
	slowTimer := time.AfterFunc(c.responseTimeout(address), func() { c.markUnresponsive(daemon, address) })
	defer slowTimer.Stop()
	var lateTimer *time.Timer
	if idempotent {
		lateTimer = time.AfterFunc(headerTimeout, cancelCall)
	}
	_, err := stream.Header()
	switch {
	case err != nil:
		return err
	case lateTimer != nil && !lateTimer.Stop():
		return context.Canceled
	}
	c.recordResponse(address, sent)
	return nil
}
