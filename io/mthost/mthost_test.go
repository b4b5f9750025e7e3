package mthost_test

import (
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
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroute"
	iobackend "magnoliaturn/io/mtbackend"
	"magnoliaturn/io/mthost"
	"magnoliaturn/io/mttime"
)

// server is a backend server as its client reaches it.
type server struct {
	mu     sync.Mutex
	runs   mtid.Server // the life that answers
	cold   time.Duration
	calls  int
	answer func(ctx context.Context) (*mtcall.Answer, error)
}

func (s *server) Do(ctx context.Context, _ iobackend.Target, _ *mtcall.Call) (*mtcall.Answer, error) {
	s.mu.Lock()
	s.calls++
	answer := s.answer
	s.mu.Unlock()
	return answer(ctx)
}

func (s *server) Identify(context.Context, string, string) (iobackend.Health, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == "" {
		return iobackend.Health{}, &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: errors.New("no answer")}
	}
	return iobackend.Health{Server: s.runs, Cold: s.cold}, nil
}

// clock goes on by itself, and by what a test lets pass.
type clock struct {
	*mttime.Clock
	passed atomic.Int64
}

func (c *clock) Now() mtclock.Instant    { return c.Clock.Now() + mtclock.Instant(c.passed.Load()) }
func (c *clock) Steady() mtclock.Instant { return c.Clock.Steady() + mtclock.Instant(c.passed.Load()) }

// stand is a host with what it has told.
type stand struct {
	t      *testing.T
	host   *mthost.Host
	server *server
	clock  *clock
	mu     sync.Mutex
	told   mtbackend.Record
	holds  error
	clear  func() error
	keyed  atomic.Bool
	path   string // of the health check; empty while no configuration is known
}

func newStand(t *testing.T, address string) *stand {
	t.Helper()
	s := &stand{t: t, clock: &clock{Clock: mttime.New()}, server: &server{}, path: "/health"}
	s.server.answer = func(context.Context) (*mtcall.Answer, error) { return &mtcall.Answer{Status: 200}, nil }
	host, cleanUp := mthost.New(mthost.Config{
		Daemon: "a", Service: "maps", Address: address, Drain: 300 * time.Millisecond, Clock: s.clock, Client: s.server,
		Log: slog.New(slog.DiscardHandler), Health: func() string {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.path
		},
		Publish: func(r mtbackend.Record) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.told = r
		},
		Keyed: func() bool { return s.keyed.Load() },
		Named: func(service mtid.Service) bool { return service == "desk" },
		Holds: func(mtid.ServerIncarnation, mtid.KeyNumber) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.holds
		},
		Clear: func(context.Context, mtid.ServerIncarnation, string) error {
			s.mu.Lock()
			answer := s.clear
			s.mu.Unlock()
			if answer == nil {
				return nil
			}
			return answer()
		},
		Fenced: func(mtid.KeyNumber) {}, Changed: func() {},
	})
	host.Declare([]mtroute.Route{{Name: "plans", Objective: 300 * time.Millisecond}})
	s.host = host
	t.Cleanup(cleanUp)
	return s
}

// hear lets the host hear a beat.
func (s *stand) hear(b mtbackend.Heartbeat) {
	s.t.Helper()
	assert.NilError(s.t, s.host.Beat(b))
}

func (s *stand) record() mtbackend.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told
}

func (s *stand) until(what string, done func(r mtbackend.Record) bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if done(s.record()) {
			return poll.Success()
		}
		return poll.Continue("%s; record %+v", what, s.record())
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

func (s *stand) beat(server mtid.Server, sequence uint64) mtbackend.Heartbeat {
	return mtbackend.Heartbeat{Incarnation: mtid.ServerIncarnation{Server: server}, Address: "server", Service: "maps", Slots: 2, Sequence: sequence}
}

// ready brings a life of the server into service.
func (s *stand) ready(life mtid.Server) {
	s.server.mu.Lock()
	s.server.runs = life
	s.server.mu.Unlock()
	s.hear(s.beat(life, 1))
	s.until("the server is ready", func(r mtbackend.Record) bool { return r.Incarnation.Server == life && r.AcceptsWork() })
}

func (s *stand) call(keyed bool) *mtcall.Call {
	now := s.clock.Now()
	return &mtcall.Call{ID: "1", Service: "maps", Route: "plans", Keyed: keyed, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
}

func (s *stand) cause(keyed bool) mtreply.Cause {
	_, err := s.host.Run(context.Background(), s.call(keyed))
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		return refused.Cause
	}
	return ""
}

// A beat of a former life was held up and comes after the new life has begun,
// with a daemon that was just restarted and knows neither. Were it taken at its
// word, the keys of the life that runs would look free.
func TestALateBeatOfAFormerLifeChangesNothing(t *testing.T) {
	s := newStand(t, "127.0.0.1:1")
	s.server.runs = "new"
	s.hear(s.beat("old", 9))
	s.hear(s.beat("new", 1))
	s.until("the life that runs is known", func(r mtbackend.Record) bool { return r.Incarnation.Server == "new" })
	s.hear(s.beat("old", 9))
	assert.Equal(t, s.record().Incarnation.Server, mtid.Server("new"))
}

// The server can't be asked. Two beats of one life, the second a later one, show
// that it runs; the same beat twice does not.
func TestASecondBeatShowsALifeThatCannotBeAsked(t *testing.T) {
	s := newStand(t, "127.0.0.1:1")
	s.hear(s.beat("old", 9))
	s.hear(s.beat("old", 9))
	assert.Equal(t, s.record().Incarnation.Server, mtid.Server(""))
	s.hear(s.beat("new", 1))
	s.hear(s.beat("new", 2))
	s.until("the server is ready", func(r mtbackend.Record) bool { return r.Incarnation.Server == "new" && r.AcceptsWork() })
}

// All VMs come back at once after a loss of power. The server's first beat comes
// before its daemon knows a configuration, so that the server can't be asked which
// life runs, and before it knows the assignment. Were nothing done until the next
// beat, the server would be out of service for another 1.5 s.
func TestAFirstBeatIsEnoughOnceTheConfigurationIsKnown(t *testing.T) {
	s := newStand(t, "server")
	s.server.runs = "one"
	var unread atomic.Bool
	unread.Store(true)
	s.mu.Lock()
	s.path = ""
	s.clear = func() error {
		if unread.Load() {
			return errors.New("the assignment has not been read yet")
		}
		return nil
	}
	s.mu.Unlock()
	s.hear(s.beat("one", 1))
	s.mu.Lock()
	s.path = "/health"
	s.mu.Unlock()
	s.until("the life is known", func(_ mtbackend.Record) bool {
		known, _ := s.host.Record()
		return known.Incarnation.Server == "one" && known.State == mtbackend.Unknown
	})
	unread.Store(false)
	s.until("the server is ready", func(r mtbackend.Record) bool { return r.Incarnation.Server == "one" && r.AcceptsWork() })
}

// Callers that were refused ask again, and again. Counted each time, a server with a
// little too much work seems to have twice what it can do, and its daemon gives keys
// away that would be served well.
func TestSecondTriesDoNotCountAsWork(t *testing.T) {
	s := newStand(t, "server")
	s.ready("one")
	late := s.call(true)
	late.Objective = s.clock.Now().Add(-time.Millisecond)
	_, err := s.host.Run(context.Background(), late)
	assert.NilError(t, err)
	assert.Equal(t, s.host.Load().Demand, 0.0)
	_, err = s.host.Run(context.Background(), s.call(true))
	assert.NilError(t, err)
	assert.Assert(t, s.host.Load().Demand > 0)
}

// A hot run has moved to another owner, and callers' daemons that have not heard of it
// ask here again and again. Counted as work, the former owner seemed overloaded for
// seconds while it stood idle, and nobody gave it any keys.
func TestCallsForKeysThatHaveGoneDoNotCountAsWork(t *testing.T) {
	s := newStand(t, "server")
	s.ready("one")
	s.mu.Lock()
	s.holds = &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute}
	s.mu.Unlock()
	for range 200 {
		assert.Equal(t, s.cause(true), mtreply.CauseStaleRoute)
	}
	assert.Equal(t, s.host.Load().Demand, 0.0)
}

// A call waits at the gate while its key moves away. Only the look after the
// wait shows it; the server was sent calls for keys that it had released.
func TestAKeyThatLeftWhileACallWaitedIsNotServed(t *testing.T) {
	s := newStand(t, "127.0.0.1:1")
	release := make(chan struct{})
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		<-release
		return &mtcall.Answer{Status: 200}, nil
	}
	s.ready("life")
	var others sync.WaitGroup
	for range 2 {
		others.Go(func() { _, _ = s.host.Run(context.Background(), s.call(true)) })
	}
	s.until("both slots are taken", func(mtbackend.Record) bool { return s.host.Load().Running == 2 })
	waiting := make(chan mtreply.Cause)
	go func() { waiting <- s.cause(true) }()
	s.until("the third waits", func(mtbackend.Record) bool { return s.host.Load().Waiting == 1 })
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

// born returns a beat of a life that says when it was born.
func (s *stand) born(born mtid.StartTime, sequence uint64) mtbackend.Heartbeat {
	b := s.beat("one", sequence)
	b.Incarnation.Started = born
	return b
}

// A server crashes and starts again under its name. Its first beat counts anew, and
// beats of the former life, with higher numbers, come late. Taken for one life, the
// new one passed for the owner of keys that it does not hold, and its beats for old.
func TestAServerThatStartsAgainUnderItsNameIsAnotherLife(t *testing.T) {
	s := newStand(t, "server")
	s.server.runs = "one"
	var cleared atomic.Int64
	s.mu.Lock()
	s.clear = func() error {
		cleared.Add(1)
		return nil
	}
	s.mu.Unlock()
	first, second := mtid.ServerIncarnation{Server: "one", Started: 100}, mtid.ServerIncarnation{Server: "one", Started: 200}
	s.hear(s.born(100, 50))
	s.until("the first life is ready", func(r mtbackend.Record) bool { return r.Incarnation == first && r.AcceptsWork() })
	s.hear(s.born(200, 1))
	s.until("the second life is ready", func(r mtbackend.Record) bool { return r.Incarnation == second && r.AcceptsWork() })
	assert.Equal(t, cleared.Load(), int64(2), "the new life was cleared of what it may have been granted")
	assert.Assert(t, !s.record().MayHoldKeys(first))
	for sequence := range uint64(3) {
		late := s.born(100, 51+sequence)
		late.Draining = true
		s.hear(late)
	}
	s.host.Leave(first)
	assert.Equal(t, s.record().Incarnation, second)
	assert.Assert(t, s.record().AcceptsWork())
}

// The same with a daemon that has just started and hears the late beat first.
func TestOfTwoLivesOfOneNameTheLaterOneRuns(t *testing.T) {
	s := newStand(t, "server")
	s.server.runs = "one"
	s.mu.Lock()
	s.path = "" // no configuration is known yet, so the server can't be asked
	s.mu.Unlock()
	s.hear(s.born(100, 50))
	s.hear(s.born(200, 1))
	s.mu.Lock()
	s.path = "/health"
	s.mu.Unlock()
	want := mtid.ServerIncarnation{Server: "one", Started: 200}
	s.until("the later life runs", func(r mtbackend.Record) bool { return r.Incarnation == want && r.AcceptsWork() })
	s.hear(s.born(100, 51))
	s.hear(s.born(100, 52))
	known, _ := s.host.Record()
	assert.Equal(t, known.Incarnation, want)
}

// A beat names a service that no configuration declares. It is not this VM's server.
func TestABeatOfAnUnknownServiceNamesNoServer(t *testing.T) {
	s := newStand(t, "server")
	s.server.runs = "one"
	b := s.beat("one", 1)
	b.Service = "nobody's"
	var foreign *mthost.ForeignError
	assert.Assert(t, errors.As(s.host.Beat(b), &foreign))
	assert.Assert(t, s.record().Incarnation.IsZero())
	b.Service = "desk" // declared
	assert.NilError(t, s.host.Beat(b))
}

// A daemon that stops can't tell others while the store is away. It refuses what
// can go elsewhere itself, and goes on with keys.
func TestAStoppingDaemonRefusesWhatCanGoElsewhere(t *testing.T) {
	s := newStand(t, "127.0.0.1:1")
	s.ready("life")
	s.host.Retire()
	assert.Equal(t, s.cause(false), mtreply.CauseStopping)
	assert.Equal(t, s.cause(true), mtreply.Cause(""))
	s.host.Close()
	assert.Equal(t, s.cause(true), mtreply.CauseDraining)
}

func TestParent(t *testing.T) {
	s := newStand(t, "127.0.0.1:1")
	s.ready("life")
	inside := map[mtcall.ID]bool{}
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		for _, id := range []mtcall.ID{"1.5", "1.5.6", "1", "15", "2.1"} {
			inside[id] = s.host.Parent(id)
		}
		return &mtcall.Answer{Status: 200}, nil
	}
	_, err := s.host.Run(t.Context(), s.call(false))
	assert.NilError(t, err)
	assert.DeepEqual(t, inside, map[mtcall.ID]bool{"1.5": true, "1.5.6": false, "1": false, "15": false, "2.1": false})
	assert.Assert(t, !s.host.Parent("1.5"))
}

// A server crashes and starts again at once. Its daemon renews the grants of the
// former life until it hears of the new one, which obeys them. If the new life is
// told before it has given those keys back, others take them over meanwhile.
func TestANewLifeIsToldOnlyOnceItIsCleared(t *testing.T) {
	s := newStand(t, "127.0.0.1:1")
	s.ready("old")
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
	s.server.runs = "new"
	s.server.mu.Unlock()
	s.hear(s.beat("new", 1))
	for sequence := range uint64(5) {
		time.Sleep(20 * time.Millisecond)
		s.hear(s.beat("new", 2+sequence))
		r := s.record()
		assert.Assert(t, r.MayHoldKeys(mtid.ServerIncarnation{Server: "old"}), "the end of the former life was told: %+v", r)
	}
	cleared.Store(true)
	s.hear(s.beat("new", 9))
	s.until("the new life is ready", func(r mtbackend.Record) bool { return r.Incarnation.Server == "new" && r.AcceptsWork() })
}
