package mtingress_test

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtingress"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
)

// peers answer calls as a test says; the daemon under test has no server.
type peers struct {
	sent   []mtid.Daemon
	answer func(n int) (*mtcall.Answer, error)
}

func (p *peers) Forward(_ context.Context, daemon mtid.Daemon, _ string, _ *mtcall.Call) (*mtcall.Answer, error) {
	p.sent = append(p.sent, daemon)
	return p.answer(len(p.sent))
}

func (*peers) Report(mtid.Daemon) (mtforward.Report, bool) { return mtforward.Report{}, false }

func (*peers) Silent(string) bool { return false }

type host struct{}

func (host) Run(context.Context, *mtcall.Call) (*mtcall.Answer, error) {
	return nil, &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute}
}

func (host) Load() mtcall.Load { return mtcall.Load{} }

func (host) Proven(mtpoison.Fingerprint) bool { return false }

func (host) Prove(mtpoison.Fingerprint) {}

// newSender returns a sender that knows three servers beside other daemons.
func newSender(t *testing.T, p *peers) (*mtingress.Sender, *mttime.Clock) {
	t.Helper()
	clock := mttime.New()
	store := mtstandin.NewRevisions(time.Now)
	for _, d := range []mtid.Daemon{"b", "c", "d"} {
		value, err := mtbackend.Record{Daemon: d, Address: string(d) + ":1", Service: "desk", Incarnation: mtid.ServerIncarnation{Server: "s"}, Slots: 10, State: mtbackend.Ready}.Encode()
		assert.NilError(t, err)
		store.Put(mtstore.BackendName(d), value)
	}
	directory, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: "a", Store: store, Clock: clock, Lease: time.Minute, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(cleanUp)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(directory.View().Members) == 3 {
			return poll.Success()
		}
		return poll.Continue("records not read")
	})
	return mtingress.NewSender(mtingress.SenderConfig{
		Self: "a", Directory: directory, Host: host{}, Peers: p, Clock: clock, Steady: clock.Steady,
		Log: slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(1, 2)),
	}), clock
}

func newCall(now mtclock.Instant, idempotent bool) *mtcall.Call {
	return &mtcall.Call{ID: "1", Method: http.MethodPost, Service: "desk", Idempotent: idempotent, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}
}

var (
	lost    = &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: errors.New("connection reset")}
	shed    = &mtreply.RefusedError{Cause: mtreply.CauseShed, RetryAfter: time.Second}
	notRun  = &mtreply.RefusedError{Cause: mtreply.CauseRefused, RetryAfter: time.Second}
	wholeOK = &mtcall.Answer{Status: http.StatusOK}
)

// keyed makes the call one for a key of a service that daemon b owns.
func keyed(t *testing.T, sender *mtingress.Sender, call *mtcall.Call) *mtcall.Call {
	t.Helper()
	table, err := mtrange.Spread("desk", []mtrange.Owner{{Daemon: "b", Incarnation: mtid.ServerIncarnation{Server: "s"}}})
	assert.NilError(t, err)
	sender.Directory.ApplyAssignment(mtdirectory.Assignment{Table: table, Version: 1})
	call.Keyed = true
	return call
}

// A hot run has moved, and this daemon hears of it a tenth of a second later. It asked
// the former owner again every 15 ms until then, which a lookup of 200 ms does not
// outlive. The former owner knows the new one, and the call goes there at once.
func TestARefusedKeyIsAskedForAtTheOwnerThatIsNamed(t *testing.T) {
	p := &peers{}
	p.answer = func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute, Owner: "c", Epoch: 99}
		}
		return wholeOK, nil
	}
	s, clock := newSender(t, p)
	answer, err := s.Send(t.Context(), keyed(t, s, newCall(clock.Now(), true)), 2)
	assert.NilError(t, err)
	assert.Equal(t, answer, wholeOK)
	assert.DeepEqual(t, p.sent, []mtid.Daemon{"b", "c"})
}

// A key is on its way and nobody holds it for a third of a second. Its daemons asked each
// other for it every 15 ms, twenty times for each call, and had no time for others. A word
// of its new owner is gone by at once.
func TestAKeyOnItsWayIsAskedForAFewTimes(t *testing.T) {
	away := &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute}
	p := &peers{answer: func(int) (*mtcall.Answer, error) { return nil, away }}
	s, clock := newSender(t, p)
	_, err := s.Send(t.Context(), keyed(t, s, newCall(clock.Now(), true)), 2)
	assert.Equal(t, err, error(away))
	assert.Assert(t, len(p.sent) <= 8, "asked %d times", len(p.sent))

	p = &peers{}
	s, clock = newSender(t, p)
	call := keyed(t, s, newCall(clock.Now(), true))
	p.answer = func(n int) (*mtcall.Answer, error) {
		if n > 4 {
			return wholeOK, nil
		}
		if n == 4 {
			own := s.Directory.View().Assignments["desk"]
			next, err := own.Move(0, mtid.LastKeyNumber, mtrange.Owner{Daemon: "c", Incarnation: mtid.ServerIncarnation{Server: "s"}}, "")
			assert.NilError(t, err)
			s.Directory.ApplyAssignment(mtdirectory.Assignment{Table: next, Version: own.Version + 1})
		}
		return nil, away
	}
	_, err = s.Send(t.Context(), call, 2)
	assert.NilError(t, err)
	assert.DeepEqual(t, p.sent, []mtid.Daemon{"b", "b", "b", "b", "c"})
}

// The store turns the owner's daemon away, and its grants have run out. The owner says
// that nothing changes before 0.8 s; the caller waited 0.3 s for that answer.
func TestAKeyThatNobodyWillHoldSoonIsRefusedAtOnce(t *testing.T) {
	for retry, asked := range map[time.Duration]int{800 * time.Millisecond: 1, 200 * time.Millisecond: 2} {
		p := &peers{}
		p.answer = func(n int) (*mtcall.Answer, error) {
			if n == 1 {
				return nil, &mtreply.RefusedError{Cause: mtreply.CauseNoLease, RetryAfter: retry}
			}
			return wholeOK, nil
		}
		s, clock := newSender(t, p)
		_, err := s.Send(t.Context(), keyed(t, s, newCall(clock.Now(), true)), 2)
		assert.Equal(t, len(p.sent), asked)
		if asked == 1 {
			status, told := mtingress.Status(err)
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, told, retry)
		}
	}
}

// The word of a daemon that has heard less than this one leads nowhere: two that name
// each other would be asked in turn.
func TestAnOlderWordOfAnOwnerIsNotFollowed(t *testing.T) {
	p := &peers{}
	p.answer = func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute, Owner: "c", Epoch: 1}
		}
		return wholeOK, nil
	}
	s, clock := newSender(t, p)
	_, err := s.Send(t.Context(), keyed(t, s, newCall(clock.Now(), true)), 2)
	assert.NilError(t, err)
	assert.DeepEqual(t, p.sent, []mtid.Daemon{"b", "b"})
}

// A first try was cut off while the server worked on it, and the second was
// refused. The caller was told 503, which promises that nothing has run.
func TestARefusalAfterATryInDoubtIsNoProof(t *testing.T) {
	p := &peers{answer: func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, lost
		}
		return nil, shed
	}}
	sender, clock := newSender(t, p)
	_, err := sender.Send(t.Context(), newCall(clock.Now(), true), 3)
	status, retry := mtingress.Status(err)
	assert.Assert(t, len(p.sent) > 1, "no second try")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Assert(t, retry < 0)
}

func TestTries(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		attempts   int
		first      error
		sent       int
		status     int
	}{
		{"idempotent, lost", true, 3, lost, 2, http.StatusOK},
		{"idempotent, lost, one attempt", true, 1, lost, 1, http.StatusBadGateway},
		{"not idempotent, lost", false, 3, lost, 1, http.StatusBadGateway},
		{"not idempotent, the server proved not to have run it", false, 3, notRun, 2, http.StatusOK},
		{"not idempotent, full gate", false, 1, shed, 2, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := &peers{answer: func(n int) (*mtcall.Answer, error) {
				if n == 1 {
					return nil, test.first
				}
				return wholeOK, nil
			}}
			sender, clock := newSender(t, p)
			answer, err := sender.Send(t.Context(), newCall(clock.Now(), test.idempotent), test.attempts)
			got := http.StatusOK
			if err != nil {
				got, _ = mtingress.Status(err)
			} else {
				assert.Equal(t, answer, wholeOK)
			}
			assert.Equal(t, got, test.status)
			assert.Equal(t, len(p.sent), test.sent)
			if test.sent == 2 {
				assert.Assert(t, p.sent[0] != p.sent[1], "the same server was asked again")
			}
		})
	}
}

// sent is a sender that notes the call and answers.
type sent struct {
	call   *mtcall.Call
	answer *mtcall.Answer
	err    error
	hang   bool
}

func (s *sent) Send(ctx context.Context, call *mtcall.Call, _ int) (*mtcall.Answer, error) {
	s.call = call
	if s.hang {
		<-ctx.Done()
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseGone, Err: ctx.Err()}
	}
	return s.answer, s.err
}

func newIngress(t *testing.T, s *sent) (*mtingress.Ingress, *mttime.Clock, http.Handler) {
	t.Helper()
	clock := mttime.New()
	ingress := mtingress.New(mtingress.Config{
		Denies: func(mtclock.Instant) bool { return true },
		Names:  mtheader.DefaultNames, Service: "own", Parent: func(mtcall.ID) bool { return false }, Send: s, Clock: clock, Log: slog.New(slog.DiscardHandler),
		Done: func(*mtcall.Call, *mtcall.Answer, int, error, time.Duration) {},
	})
	router := echo.New()
	router.Any("/*", ingress.Handle)
	return ingress, clock, router
}

func configuration(t *testing.T, version mtid.Version) *mtroute.Config {
	t.Helper()
	c, err := mtroute.New(version, []mtroute.Route{
		{Name: "plans", Host: "maps.example", Prefix: "/plans/", Idempotent: true, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2, Targets: []mtroute.Target{{Service: "maps", Weight: 1}}},
		{Name: "desk", Host: "maps.example", Prefix: "/desk/", Timeout: 2 * time.Second, MaxAttempts: 1, Targets: []mtroute.Target{{Service: "desk", Weight: 1}}},
	}, []mtroute.Service{{Name: "maps", Keyed: true}, {Name: "desk"}}, mtroute.Limits{BodyBytes: 10})
	assert.NilError(t, err)
	return c
}

func request(target, id string, header ...string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, target, nil)
	r.Host = "maps.example"
	if id != "" {
		r.Header.Set(mtheader.DefaultNames.ID, id)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func TestOwnAnswers(t *testing.T) {
	big := request("/desk/1", "1")
	big.Body = http.MaxBytesReader(nil, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("more than ten bytes")).Body, 100)
	for _, test := range []struct {
		name       string
		request    *http.Request
		err        error
		configured bool
		status     int
		retry      bool
	}{
		{"nothing configured", request("/desk/1", "1"), nil, false, http.StatusServiceUnavailable, true},
		{"no such route", request("/none", "1"), nil, true, http.StatusNotFound, false},
		{"no identifier", request("/desk/1", ""), nil, true, http.StatusBadRequest, false},
		{"no key", request("/plans/1", "1"), nil, true, http.StatusBadRequest, false},
		{"body too large", big, nil, true, http.StatusRequestEntityTooLarge, false},
		{"refused", request("/desk/1", "1"), shed, true, http.StatusServiceUnavailable, true},
		{"refused for good", request("/desk/1", "1"), &mtreply.RefusedError{Cause: mtreply.CauseQuarantined, RetryAfter: -1}, true, http.StatusServiceUnavailable, false},
		{"timed out at the server", request("/desk/1", "1"), &mtreply.UnknownError{Cause: mtreply.CauseTimeout, Err: context.DeadlineExceeded}, true, http.StatusGatewayTimeout, false},
		{"lost", request("/desk/1", "1"), lost, true, http.StatusBadGateway, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ingress, _, handler := newIngress(t, &sent{err: test.err})
			if test.configured {
				ingress.Configure(configuration(t, 1))
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, test.request)
			assert.Equal(t, w.Code, test.status)
			assert.Equal(t, w.Header().Get("Retry-After") != "", test.retry)
			assert.Equal(t, w.Header().Get(mtheader.DefaultNames.ID), test.request.Header.Get(mtheader.DefaultNames.ID))
		})
	}
}

// A route was added a second ago, and this daemon can't know whether it has heard of all
// changes. Told 404, callers don't ask again; they are told to come back instead.
func TestARouteIsDeniedOnlyWithCertainty(t *testing.T) {
	ingress, _, handler := newIngress(t, &sent{})
	ingress.Configure(configuration(t, 1))
	ingress.Denies = func(mtclock.Instant) bool { return false }
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, request("/none", "1"))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, w.Header().Get("Retry-After") != "")
}

// The caller's own word on where the request comes from, and what concerns its
// connection only, stays here; all else is passed on.
func TestWhatIsPassedOn(t *testing.T) {
	s := &sent{answer: &mtcall.Answer{Status: http.StatusTeapot, Header: []mtcall.Field{{Name: "X-A", Value: "1"}, {Name: "X-A", Value: "2"}}, Body: []byte("tea")}}
	ingress, clock, handler := newIngress(t, s)
	ingress.Configure(configuration(t, 1))
	r := request("/plans/a%2Fb?x=%31", "id-7", mtheader.DefaultNames.Key, "4096", mtheader.DefaultNames.Caller, "forged",
		mtheader.DefaultNames.Deadline, "700", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2", mtheader.DefaultNames.TargetServer, "forged")
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusTeapot)
	assert.Equal(t, w.Body.String(), "tea")
	assert.DeepEqual(t, w.Header()["X-A"], []string{"1", "2"})
	assert.Equal(t, s.call.Target, "/plans/a%2Fb?x=%31")
	assert.Equal(t, s.call.Caller, mtid.Service("own"))
	assert.Equal(t, s.call.Key, mtid.KeyNumber(4096))
	assert.DeepEqual(t, s.call.Header, []mtcall.Field{{Name: "X-Kept", Value: "2"}})
	left := s.call.Deadline.Sub(clock.Now())
	assert.Assert(t, left <= 700*time.Millisecond && left > 0, "left %s", left)
}

// An older version arrives late, by a slower way. What is in force never goes
// back.
func TestConfigurationsNeverGoBack(t *testing.T) {
	ingress, _, _ := newIngress(t, &sent{})
	assert.Assert(t, ingress.Configure(configuration(t, 5)))
	assert.Assert(t, !ingress.Configure(configuration(t, 4)))
	assert.Assert(t, !ingress.Configure(configuration(t, 5)))
	assert.Equal(t, ingress.Configuration().Version, mtid.Version(5))
}

// A daemon is told to stop while a server still works on a request. At the end
// of the grace the connection was closed without a word.
func TestWhatIsUnderWayAtTheEndGetsAFinalAnswer(t *testing.T) {
	ingress, clock, handler := newIngress(t, &sent{hang: true})
	ingress.Configure(configuration(t, 1))
	done := make(chan *httptest.ResponseRecorder)
	go func() {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, request("/desk/1", "1"))
		done <- w
	}()
	ingress.Retire(clock.Now().Add(50 * time.Millisecond))
	w := <-done
	assert.Equal(t, w.Code, http.StatusGatewayTimeout)
}

// stepped is a clock that a test moves.
type stepped struct{ now mtclock.Instant }

func (c *stepped) Now() mtclock.Instant { return c.now }

// A caller was refused and asks again with what is left of its deadline. Its
// objective runs from its first try. Another caller gives a shorter deadline at its
// first try; its objective runs from then.
func TestASecondTryKeepsItsObjective(t *testing.T) {
	s := &sent{err: shed}
	clock := &stepped{now: mtclock.Instant(time.Hour)}
	ingress := mtingress.New(mtingress.Config{
		Denies: func(mtclock.Instant) bool { return true },
		Names:  mtheader.DefaultNames, Service: "own", Parent: func(mtcall.ID) bool { return false }, Send: s, Clock: clock, Log: slog.New(slog.DiscardHandler),
		Done: func(*mtcall.Call, *mtcall.Answer, int, error, time.Duration) {},
	})
	router := echo.New()
	router.Any("/*", ingress.Handle)
	ingress.Configure(configuration(t, 1))
	ask := func(deadline string) time.Duration {
		router.ServeHTTP(httptest.NewRecorder(), request("/plans/1", "1", mtheader.DefaultNames.Key, "1", mtheader.DefaultNames.Deadline, deadline))
		return s.call.Objective.Sub(clock.now)
	}
	assert.Equal(t, ask("5000"), time.Second)
	assert.Equal(t, ask("4300"), time.Second, "a fresh request with a shorter deadline")
	clock.now = clock.now.Add(400 * time.Millisecond)
	assert.Equal(t, ask("4590"), 600*time.Millisecond, "second try after 400 ms")
	clock.now = clock.now.Add(1600 * time.Millisecond)
	assert.Equal(t, ask("2990"), -time.Second, "third try after 2 s")
	assert.Equal(t, ask("2000"), time.Second, "a fresh request beside it")
	s.err, s.answer = nil, wholeOK
	assert.Equal(t, ask("1500"), time.Second)
	assert.Equal(t, ask("1500"), time.Second, "nobody asks again after success")
}
