package mthost_test

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtshutdown"
	iobackend "magnoliaturn/io/mtbackend"
	"magnoliaturn/io/mthost"
	"magnoliaturn/io/mttime"
)

// server is a fake backend server, as the client of the host reaches it.
type server struct {
	mu          sync.Mutex
	incarnation mtid.Server // the incarnation that answers
	failure     error       // of a health check that isn't answered; nil stands for some other
	queries     int         // health checks
	cold        time.Duration
	calls       int
	answer      func(ctx context.Context) (*mtcall.Answer, error)
	signals     mtbackend.Signals // reported with each answer to a call
	health      mtbackend.Signals // reported with each reply to a health check
}

func (s *server) Do(ctx context.Context, target iobackend.Target, _ *mtcall.Call) (*mtcall.Answer, error) {
	s.mu.Lock()
	s.calls++
	answer, signals := s.answer, s.signals
	s.mu.Unlock()
	response, err := answer(ctx)
	target.Observe(signals)
	return response, err
}

func (s *server) Identify(context.Context, string, string) (iobackend.Health, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries++
	if s.incarnation == "" {
		return iobackend.Health{}, &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: cmp.Or(s.failure, errors.New("no answer"))}
	}
	return iobackend.Health{Server: s.incarnation, Cold: s.cold, Signals: s.health}, nil
}

// clock runs in real time, plus an offset that a test adds; Now may be ahead.
type clock struct {
	*mttime.Clock
	offset, ahead atomic.Int64
}

func (c *clock) Now() mtclock.Instant {
	return c.Clock.Now() + mtclock.Instant(c.offset.Load()+c.ahead.Load())
}

func (c *clock) Steady() mtclock.Instant { return c.Clock.Steady() + mtclock.Instant(c.offset.Load()) }

// fixture is a host with a fake server and the record that it published last.
type fixture struct {
	t         *testing.T
	host      *mthost.Host
	server    *server
	clock     *clock
	mu        sync.Mutex
	published mtbackend.Record
	losses    []mtpoison.Loss        // published
	observe   func(mtbackend.Record) // called with each record; may be nil
	holds     error
	clear     func() error
	keyed     atomic.Bool
	path      string // of the health check; empty while no configuration is known
}

func newFixture(t *testing.T, address string) *fixture {
	t.Helper()
	s := &fixture{t: t, clock: &clock{Clock: mttime.New()}, server: &server{signals: mtbackend.Signals{Source: mtbackend.SourceAnswer}}, path: "/health"}
	s.server.answer = func(context.Context) (*mtcall.Answer, error) { return &mtcall.Answer{Status: 200}, nil }
	host, cleanUp := mthost.New(mthost.Config{
		Daemon: "a", Link: 10, Service: "maps", Address: address, DrainPeriod: 300 * time.Millisecond, Clock: s.clock, Client: s.server,
		Log: slog.New(slog.DiscardHandler), Health: func() string {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.path
		},
		Publish: func(r mtbackend.Record) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.published = r
			if s.observe != nil {
				s.observe(r)
			}
		},
		PublishLoss: func(l mtpoison.Loss) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.losses = append(s.losses, l)
		},
		Keyed:      func() bool { return s.keyed.Load() },
		IsDeclared: func(service mtid.Service) bool { return service == "desk" },
		CheckGrant: func(mtid.ServerIncarnation, mtid.KeyNumber) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.holds
		},
		ClearGrants: func(context.Context, mtid.ServerIncarnation, string) error {
			s.mu.Lock()
			answer := s.clear
			s.mu.Unlock()
			if answer == nil {
				return nil
			}
			return answer()
		},
		OnKeyDenied: func(mtid.KeyNumber) {}, OnChange: func() {},
	})
	host.Declare([]mtroute.Route{{Name: "plans", Objective: 300 * time.Millisecond}})
	s.host = host
	t.Cleanup(cleanUp)
	return s
}

// heartbeat delivers a heartbeat to the host.
func (s *fixture) heartbeat(b mtbackend.Heartbeat) {
	s.t.Helper()
	assert.NilError(s.t, s.host.ObserveHeartbeat(b))
}

func (s *fixture) record() mtbackend.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.published
}

func (s *fixture) waitFor(what string, done func(r mtbackend.Record) bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if done(s.record()) {
			return poll.Success()
		}
		return poll.Continue("%s; record %+v", what, s.record())
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

func (s *fixture) newHeartbeat(server mtid.Server, sequence uint64) mtbackend.Heartbeat {
	return mtbackend.Heartbeat{Incarnation: mtid.ServerIncarnation{Server: server}, Address: s.host.Address, Service: "maps", Slots: 2, Sequence: sequence}
}

// startServer brings an incarnation of the server into service.
func (s *fixture) startServer(incarnation mtid.Server) {
	s.server.mu.Lock()
	s.server.incarnation = incarnation
	s.server.mu.Unlock()
	s.heartbeat(s.newHeartbeat(incarnation, 1))
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.Incarnation.Server == incarnation && r.AcceptsWork() })
}

func (s *fixture) call(keyed bool) *mtcall.Call {
	now := s.clock.Now()
	return &mtcall.Call{ID: "1", Service: "maps", Route: "plans", Keyed: keyed, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
}

func (s *fixture) refusalCause(keyed bool) mtreply.Cause { return s.causeOf(s.call(keyed)) }

// causeOf runs a call and returns the cause of its refusal.
func (s *fixture) causeOf(call *mtcall.Call) mtreply.Cause {
	_, err := s.host.Run(context.Background(), call)
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		return refused.Cause
	}
	return ""
}

// A delayed heartbeat of the previous incarnation arrives after the new one has started, at
// a daemon that was just restarted and knows neither. If it were trusted, the keys of the
// running incarnation would appear to be free.
func TestLateHeartbeatOfPreviousIncarnationIsIgnored(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.server.incarnation = "new"
	s.heartbeat(s.newHeartbeat("old", 9))
	s.heartbeat(s.newHeartbeat("new", 1))
	s.waitFor("the running incarnation is known", func(r mtbackend.Record) bool { return r.Incarnation.Server == "new" })
	var foreign *mthost.ForeignSenderError
	assert.Assert(t, errors.As(s.host.ObserveHeartbeat(s.newHeartbeat("old", 9)), &foreign))
	assert.Equal(t, s.record().Incarnation.Server, mtid.Server("new"))
}

// The server can't be queried. Two heartbeats of one incarnation with increasing sequence
// numbers show that it is running; the same heartbeat twice does not.
func TestSecondHeartbeatConfirmsIncarnationWithoutQuery(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.heartbeat(s.newHeartbeat("old", 9))
	s.heartbeat(s.newHeartbeat("old", 9))
	assert.Equal(t, s.record().Incarnation.Server, mtid.Server(""))
	s.heartbeat(s.newHeartbeat("new", 1))
	s.heartbeat(s.newHeartbeat("new", 2))
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.Incarnation.Server == "new" && r.AcceptsWork() })
}

// Guards against a running server that loses its keys because heartbeats of its predecessor come late.
func TestLateHeartbeatsOfPredecessorDoNotReplaceRunningServer(t *testing.T) {
	for name, answers := range map[string]mtid.Server{"it reports its name": "new", "it does not answer": ""} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, "server")
			s.startServer("new")
			running := s.newHeartbeat("new", 2)
			running.OpenedAfter, running.Accepted = s.clock.Now(), s.clock.Now()
			s.heartbeat(running)
			s.server.mu.Lock()
			s.server.incarnation = answers
			s.server.mu.Unlock()
			for sequence := range uint64(3) {
				late := s.newHeartbeat("old", 7+sequence)
				late.OpenedAfter, late.Accepted = running.OpenedAfter.Add(-time.Second), s.clock.Now()
				if err := s.host.ObserveHeartbeat(late); err != nil {
					var foreign *mthost.ForeignSenderError
					assert.Assert(t, errors.As(err, &foreign), "%v", err)
				}
			}
			known, _ := s.host.Record()
			assert.Equal(t, known.Incarnation.Server, mtid.Server("new"))
			if answers != "" {
				s.server.mu.Lock()
				s.server.incarnation = "next" // the successor reports its own name
				s.server.mu.Unlock()
			}
			next := s.newHeartbeat("next", 1)
			next.OpenedAfter, next.Accepted = running.Accepted.Add(time.Millisecond), s.clock.Now()
			s.heartbeat(next)
			next.Sequence, next.OpenedAfter = 2, s.clock.Now()
			s.heartbeat(next)
			s.waitFor("its successor is known", func(r mtbackend.Record) bool { return r.Incarnation.Server == "next" })
		})
	}
}

// After a power failure all VMs restart at once. The server's first heartbeat arrives
// before its daemon has a configuration, so that the server can't be queried, and before it
// has the assignment. If the daemon waited for the next heartbeat, the server would be out
// of service for another 1.5 s.
func TestFirstHeartbeatSufficesOnceConfigured(t *testing.T) {
	s := newFixture(t, "server")
	s.server.incarnation = "one"
	var assignmentUnread atomic.Bool
	assignmentUnread.Store(true)
	s.mu.Lock()
	s.path = ""
	s.clear = func() error {
		if assignmentUnread.Load() {
			return errors.New("the assignment has not been read yet")
		}
		return nil
	}
	s.mu.Unlock()
	s.heartbeat(s.newHeartbeat("one", 1))
	s.mu.Lock()
	s.path = "/health"
	s.mu.Unlock()
	s.waitFor("the incarnation is known", func(_ mtbackend.Record) bool {
		known, _ := s.host.Record()
		return known.Incarnation.Server == "one" && known.State == mtbackend.Unknown
	})
	assignmentUnread.Store(false)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.Incarnation.Server == "one" && r.AcceptsWork() })
}

// Refused callers retry again and again. If each try counted, a server with slightly too
// much work would appear to have twice what it can handle, and its daemon would transfer
// keys that it could serve well.
func TestLateCallsAreNotCountedAsDemand(t *testing.T) {
	s := newFixture(t, "server")
	s.startServer("one")
	late := s.call(true)
	late.Objective = s.clock.Now().Add(-time.Millisecond)
	_, err := s.host.Run(context.Background(), late)
	assert.NilError(t, err)
	assert.Equal(t, s.host.Load().Demand, 0.0)
	_, err = s.host.Run(context.Background(), s.call(true))
	assert.NilError(t, err)
	assert.Assert(t, s.host.Load().Demand > 0)
}

// A server has become so slow that no call can meet its objective there. If its calls counted
// as late, it would appear to have no work: it would keep its keys and receive more.
func TestSlowServerReportsAllOfItsDemand(t *testing.T) {
	for _, counted := range []bool{false, true} {
		s := newFixture(t, "server")
		s.host.Overload.Slow = counted
		s.startServer("one")
		s.server.answer = func(context.Context) (*mtcall.Answer, error) {
			s.clock.offset.Add(int64(1200 * time.Millisecond))
			return &mtcall.Answer{Status: 200}, nil
		}
		for range 10 {
			_, err := s.host.Run(t.Context(), s.call(true))
			assert.NilError(t, err)
		}
		assert.Equal(t, s.host.Load().Demand > 0.5, counted, "%.2f slots", s.host.Load().Demand)
	}
}

// A hot run of keys has moved to another owner, and callers' daemons without the ownership
// update keep sending calls here. When these counted as work, the previous owner appeared
// to be overloaded for seconds while it was idle, and was given no keys.
func TestCallsForMovedKeysAreNotCountedAsDemand(t *testing.T) {
	s := newFixture(t, "server")
	s.startServer("one")
	s.mu.Lock()
	s.holds = &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute}
	s.mu.Unlock()
	for range 200 {
		assert.Equal(t, s.refusalCause(true), mtreply.CauseStaleRoute)
	}
	assert.Equal(t, s.host.Load().Demand, 0.0)
}

// Guards against runs that are cut because this daemon, which stops, takes calls that may outlast it.
func TestStoppingDaemonRefusesCallsThatMayOutlastIt(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.startServer("server-1")
	fits, outlasts := s.call(true), s.call(true)
	s.host.BeginShutdown(mtshutdown.Schedule{LastAnswers: fits.Deadline})
	s.host.Retire()
	outlasts.Deadline++
	assert.Equal(t, s.causeOf(fits), mtreply.Cause(""))
	assert.Equal(t, s.causeOf(outlasts), mtreply.CauseNoLease)
}

// Guards against a run that is cut because its call waited for a slot when the daemon was told to stop.
func TestWaitingCallThatMayOutlastDaemonIsRefused(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	release := make(chan struct{})
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		<-release
		return &mtcall.Answer{Status: 200}, nil
	}
	s.startServer("server-1")
	var others sync.WaitGroup
	for range 2 {
		others.Go(func() { assert.Check(t, s.refusalCause(true) == "") })
	}
	s.waitFor("both slots are in use", func(mtbackend.Record) bool { return s.host.Load().Running == 2 })
	waiting := make(chan mtreply.Cause)
	call := s.call(true)
	go func() { waiting <- s.causeOf(call) }()
	s.waitFor("the third call waits", func(mtbackend.Record) bool { return s.host.Load().Waiting == 1 })
	s.host.BeginShutdown(mtshutdown.Schedule{LastAnswers: call.Deadline.Add(-time.Millisecond)})
	s.host.Retire()
	close(release)
	assert.Equal(t, <-waiting, mtreply.CauseNoLease)
	others.Wait()
}

// A key moves away while a call for it waits at the gate, which only the check after the
// wait detects. Without it the server was sent calls for keys that it had released.
func TestWaitingCallIsRefusedAfterItsKeyMoved(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	release := make(chan struct{})
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		<-release
		return &mtcall.Answer{Status: 200}, nil
	}
	s.startServer("server-1")
	var others sync.WaitGroup
	for range 2 {
		others.Go(func() { _, _ = s.host.Run(context.Background(), s.call(true)) })
	}
	s.waitFor("both slots are occupied", func(mtbackend.Record) bool { return s.host.Load().Running == 2 })
	waiting := make(chan mtreply.Cause)
	go func() { waiting <- s.refusalCause(true) }()
	s.waitFor("the third call waits", func(mtbackend.Record) bool { return s.host.Load().Waiting == 1 })
	s.mu.Lock()
	s.holds = &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute}
	s.mu.Unlock()
	close(release)
	assert.Equal(t, <-waiting, mtreply.CauseStaleRoute)
	others.Wait()
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	assert.Equal(t, s.server.calls, 2)
}

// heartbeatStartedAt returns a heartbeat of an incarnation that reports its start time.
func (s *fixture) heartbeatStartedAt(started mtid.StartTime, sequence uint64) mtbackend.Heartbeat {
	b := s.newHeartbeat("one", sequence)
	b.Incarnation.Started = started
	return b
}

// A server crashes and restarts under the same name. Its heartbeats are numbered from the
// start again, and heartbeats of the previous incarnation, with higher numbers, arrive
// late. When the two were not distinguished, the new one counted as the owner of keys that
// it does not hold, and its heartbeats as old.
func TestRestartUnderSameNameIsNewIncarnation(t *testing.T) {
	s := newFixture(t, "server")
	s.server.incarnation = "one"
	var cleared atomic.Int64
	s.mu.Lock()
	s.clear = func() error {
		cleared.Add(1)
		return nil
	}
	s.mu.Unlock()
	first, second := mtid.ServerIncarnation{Server: "one", Started: 100}, mtid.ServerIncarnation{Server: "one", Started: 200}
	s.heartbeat(s.heartbeatStartedAt(100, 50))
	s.waitFor("the first incarnation is ready", func(r mtbackend.Record) bool { return r.Incarnation == first && r.AcceptsWork() })
	s.heartbeat(s.heartbeatStartedAt(200, 1))
	s.waitFor("the second incarnation is ready", func(r mtbackend.Record) bool { return r.Incarnation == second && r.AcceptsWork() })
	assert.Equal(t, cleared.Load(), int64(2), "each incarnation is cleared of earlier grants once")
	assert.Assert(t, !s.record().MayHoldKeys(first))
	for sequence := range uint64(3) {
		late := s.heartbeatStartedAt(100, 51+sequence)
		late.Draining = true
		s.heartbeat(late)
	}
	s.host.Deregister(first)
	assert.Equal(t, s.record().Incarnation, second)
	assert.Assert(t, s.record().AcceptsWork())
}

// The same with a daemon that has just started and receives the late heartbeat first.
func TestLaterOfTwoIncarnationsWithSameNameIsCurrent(t *testing.T) {
	s := newFixture(t, "server")
	s.server.incarnation = "one"
	s.mu.Lock()
	s.path = "" // no configuration yet, so the server can't be queried
	s.mu.Unlock()
	s.heartbeat(s.heartbeatStartedAt(100, 50))
	s.heartbeat(s.heartbeatStartedAt(200, 1))
	s.mu.Lock()
	s.path = "/health"
	s.mu.Unlock()
	want := mtid.ServerIncarnation{Server: "one", Started: 200}
	s.waitFor("the later incarnation is current", func(r mtbackend.Record) bool { return r.Incarnation == want && r.AcceptsWork() })
	s.heartbeat(s.heartbeatStartedAt(100, 51))
	s.heartbeat(s.heartbeatStartedAt(100, 52))
	known, _ := s.host.Record()
	assert.Equal(t, known.Incarnation, want)
}

// A heartbeat that names a service which no configuration declares is not from this VM's
// server.
func TestHeartbeatOfUndeclaredServiceIsRejected(t *testing.T) {
	s := newFixture(t, "server")
	s.server.incarnation = "one"
	b := s.newHeartbeat("one", 1)
	b.Service = "undeclared"
	var foreign *mthost.UndeclaredServiceError
	assert.Assert(t, errors.As(s.host.ObserveHeartbeat(b), &foreign))
	assert.Assert(t, s.record().Incarnation.IsZero())
	b.Service = "desk" // declared
	assert.NilError(t, s.host.ObserveHeartbeat(b))
}

// A stopping daemon can't notify others while the store is unavailable. It refuses calls
// that can go to another server itself, and continues to serve keys.
func TestStoppingDaemonRefusesCallsWithoutKey(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.startServer("server-1")
	s.host.BeginShutdown(mtshutdown.New(s.clock.Now(), time.Minute))
	s.host.Retire()
	assert.Equal(t, s.refusalCause(false), mtreply.CauseStopping)
	assert.Equal(t, s.refusalCause(true), mtreply.Cause(""))
	s.host.Close()
	assert.Equal(t, s.refusalCause(true), mtreply.CauseDraining)
}

// Guards against a server that is idle while its daemon only waits for callers to leave.
func TestServerOfStoppingDaemonWorksUntilItRetires(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.startServer("server-1")
	fits, outlasts := s.call(false), s.call(false)
	s.host.BeginShutdown(mtshutdown.Schedule{LastAnswers: fits.Deadline})
	outlasts.Deadline++
	assert.Assert(t, s.record().AcceptsWork())
	assert.Equal(t, s.causeOf(fits), mtreply.Cause(""))
	assert.Equal(t, s.causeOf(outlasts), mtreply.CauseStopping)
	s.host.Retire()
	assert.Assert(t, !s.record().AcceptsWork())
	assert.Equal(t, s.causeOf(fits), mtreply.CauseStopping)
}

func TestParent(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.startServer("server-1")
	inside := map[mtcall.ID]bool{}
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		for _, id := range []mtcall.ID{"1.5", "1.5.6", "1", "15", "2.1"} {
			_, inside[id] = s.host.Parent(id)
		}
		return &mtcall.Answer{Status: 200}, nil
	}
	_, err := s.host.Run(t.Context(), s.call(false))
	assert.NilError(t, err)
	assert.DeepEqual(t, inside, map[mtcall.ID]bool{"1.5": true, "1.5.6": false, "1": false, "15": false, "2.1": false})
	_, ok := s.host.Parent("1.5")
	assert.Assert(t, !ok)
}

// Guards against nested calls of a repeat that aren't charged, also beside an earlier run of the call.
func TestParentOfRepeatedRun(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.startServer("server-1")
	run := func(repeat bool, during func()) {
		s.server.answer = func(context.Context) (*mtcall.Answer, error) {
			during()
			return &mtcall.Answer{Status: 200}, nil
		}
		call := s.call(false)
		call.Repeat = repeat
		_, err := s.host.Run(t.Context(), call)
		assert.NilError(t, err)
	}
	check := func(want bool) func() {
		return func() {
			parent, ok := s.host.Parent("1.5")
			assert.Assert(t, ok)
			assert.Equal(t, parent.Repeat, want)
		}
	}
	run(false, check(false))
	run(true, check(true))
	run(true, func() { run(false, check(true)) })
	run(false, check(false))
}

// A server crashes and restarts at once. Until its daemon is notified of the new
// incarnation it renews the grants of the previous one, which the new one accepts. If the
// new incarnation were published before it has released those keys, others would take them
// over meanwhile.
func TestNewIncarnationIsPublishedOnlyAfterClearing(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.startServer("old")
	var cleared atomic.Bool
	s.mu.Lock()
	s.clear = func() error {
		if !cleared.Load() {
			return errors.New("no answer")
		}
		return nil
	}
	s.mu.Unlock()
	s.server.mu.Lock()
	s.server.incarnation = "new"
	s.server.mu.Unlock()
	s.heartbeat(s.newHeartbeat("new", 1))
	for sequence := range uint64(5) {
		time.Sleep(20 * time.Millisecond)
		s.heartbeat(s.newHeartbeat("new", 2+sequence))
		r := s.record()
		assert.Assert(t, r.MayHoldKeys(mtid.ServerIncarnation{Server: "old"}), "the end of the previous incarnation was published: %+v", r)
	}
	cleared.Store(true)
	s.heartbeat(s.newHeartbeat("new", 9))
	s.waitFor("the new incarnation is ready", func(r mtbackend.Record) bool { return r.Incarnation.Server == "new" && r.AcceptsWork() })
}
