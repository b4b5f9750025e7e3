package mtingress_test

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
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
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtshutdown"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtingress"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
)

// fakePeers records the daemons that get calls and answers with the test's function. The
// daemon under test has no backend server.
type fakePeers struct {
	sent   []mtid.Daemon
	answer func(n int) (*mtcall.Answer, error)
	// withdrawals receives the tries of each withdrawal, which fails with withdrawError.
	withdrawals   chan []mtid.TryID
	withdrawError error
	try           mtid.TryID // of the last call
}

func (p *fakePeers) Forward(_ context.Context, daemon mtid.Daemon, _ string, call *mtcall.Call) (*mtcall.Answer, error) {
	p.sent = append(p.sent, daemon)
	p.try = call.Try
	return p.answer(len(p.sent))
}

func (*fakePeers) LoadReport(mtid.Daemon) (mtforward.LoadReport, bool) {
	return mtforward.LoadReport{}, false
}

func (*fakePeers) Unresponsive(string) bool { return false }

func (p *fakePeers) Withdraw(_ context.Context, _ string, tries []mtid.TryID, _ time.Duration) (int, error) {
	if p.withdrawals != nil {
		p.withdrawals <- tries
	}
	return len(tries), p.withdrawError
}

type host struct{}

func (host) Run(context.Context, *mtcall.Call) (*mtcall.Answer, error) {
	return nil, &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute}
}

func (host) Load() mtcall.Load { return mtcall.Load{} }

func (host) ClearedLosses(mtpoison.Fingerprint) []mtpoison.LossKey { return nil }
func (host) Claims(mtpoison.Fingerprint) mtpoison.Claims           { return mtpoison.Claims{} }

func (host) MarkAnswered(mtcall.ID, mtpoison.Fingerprint, mtpoison.Claims) {}

func (host) Withdraw([]mtid.TryID, time.Duration) int { return 0 }

// newSender returns a sender whose directory has the servers of three other daemons.
func newSender(t *testing.T, p *fakePeers) (*mtingress.Sender, *mttime.Clock) {
	t.Helper()
	return newSenderTo(t, p, "b", "c", "d")
}

// newSenderTo returns a sender for the servers beside some daemons.
func newSenderTo(t *testing.T, p *fakePeers, daemons ...mtid.Daemon) (*mtingress.Sender, *mttime.Clock) {
	t.Helper()
	clock := mttime.New()
	store := mtstandin.NewRevisionStore(time.Now)
	for _, d := range daemons {
		value, err := mtbackend.Record{Daemon: d, Address: string(d) + ":1", Service: "desk", Incarnation: mtid.ServerIncarnation{Server: "s"}, Slots: 10, State: mtbackend.Ready, Link: 10}.Encode()
		assert.NilError(t, err)
		store.Put(mtstore.BackendName(0, d), value)
	}
	directory, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: "a", Store: store, Clock: clock, Lease: time.Minute, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(cleanUp)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(directory.View().Members) == len(daemons) {
			return poll.Success()
		}
		return poll.Continue("the directory has not read all records")
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
	lost     = &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: errors.New("connection reset")}
	shed     = &mtreply.RefusedError{Cause: mtreply.CauseShed, RetryAfter: time.Second}
	notRun   = &mtreply.RefusedError{Cause: mtreply.CauseRefused, RetryAfter: time.Second}
	answerOK = &mtcall.Answer{Status: http.StatusOK}
)

// withKey gives the call a key, and makes daemon b the owner of all keys of its service.
func withKey(t *testing.T, sender *mtingress.Sender, call *mtcall.Call) *mtcall.Call {
	t.Helper()
	table, err := mtrange.Spread("desk", 0, []mtrange.Owner{{Daemon: "b", Incarnation: mtid.ServerIncarnation{Server: "s"}}})
	assert.NilError(t, err)
	sender.Directory.ApplyAssignment(mtdirectory.Assignment{Table: table, Version: 1})
	call.Keyed = true
	return call
}

// Guards against callers that are told to return after seconds because the last of several full
// servers has a rate limit, and against late calls that are lost at it while others have room.
func TestRateLimitOfOneServerDoesNotDecideForAll(t *testing.T) {
	quota := &mtreply.RefusedError{Cause: mtreply.CauseQuota, RetryAfter: 4 * time.Second}
	p := &fakePeers{answer: func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, shed
		}
		return nil, quota
	}}
	s, clock := newSender(t, p)
	_, err := s.Send(t.Context(), newCall(clock.Now(), true), 2)
	assert.Equal(t, err, error(shed))

	p = &fakePeers{answer: func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, quota
		}
		return answerOK, nil
	}}
	s, clock = newSender(t, p)
	late := newCall(clock.Now(), true)
	late.Objective = clock.Now().Add(-time.Second)
	answer, err := s.Send(t.Context(), late, 2)
	assert.NilError(t, err)
	assert.Equal(t, answer, answerOK)
}

// sendsTo returns the daemon that a call is sent to, whose try ends with err, and those that further
// calls are sent to right after that.
func sendsTo(t *testing.T, left time.Duration, err error) (first mtid.Daemon, next []mtid.Daemon) {
	t.Helper()
	p := &fakePeers{answer: func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, err
		}
		return answerOK, nil
	}}
	s, clock := newSender(t, p)
	call := newCall(clock.Now(), false)
	call.Deadline = clock.Now().Add(left)
	_, got := s.Send(t.Context(), call, 1)
	assert.Equal(t, got, err)
	for range 5 {
		_, err := s.Send(t.Context(), newCall(clock.Now(), false), 1)
		assert.NilError(t, err)
	}
	return p.sent[0], p.sent[1:]
}

// Guards against a server whose queue uses up the time of one call after the other, while others
// have room.
func TestServerThatUsesUpTheTimeOfACallIsAvoided(t *testing.T) {
	for name, err := range map[string]error{
		"the caller leaves at its deadline": &mtreply.UnknownError{Cause: mtreply.CauseGone},
		"the queue refuses it":              &mtreply.RefusedError{Cause: mtreply.CauseExpired, RetryAfter: -1},
	} {
		first, next := sendsTo(t, 0, err)
		assert.Assert(t, !slices.Contains(next, first), "%s: sent to %s again: %s", name, first, next)
	}
}

// Guards against servers that are avoided because callers leave.
func TestCallerThatLeavesEarlyDoesNotCountAgainstServer(t *testing.T) {
	first, next := sendsTo(t, 5*time.Second, &mtreply.UnknownError{Cause: mtreply.CauseGone})
	assert.Assert(t, slices.Contains(next, first), "not sent to %s again: %s", first, next)
}

// Guards against a call that waited elsewhere when the daemon began to stop, and is sent to another server although it may outlast the daemon.
func TestStoppingDaemonBeginsNoTryThatMayOutlastIt(t *testing.T) {
	for cause, want := range map[error]mtreply.Cause{shed: mtreply.CauseStopping, lost: mtreply.CauseLost} {
		p := &fakePeers{}
		s, clock := newSender(t, p)
		call := newCall(clock.Now(), true)
		p.answer = func(int) (*mtcall.Answer, error) {
			s.BeginShutdown(mtshutdown.Schedule{LastAnswers: call.Deadline.Add(-time.Millisecond)})
			return nil, cause
		}
		_, err := s.Send(t.Context(), call, 1)
		assert.Equal(t, mtrequest.FromError(err).Cause, want)
		assert.Equal(t, len(p.sent), 1)
	}
}

// A key range has moved, and its update arrives here a tenth of a second later. Guards
// against trying the previous owner every 15 ms until then, by which time a lookup with a
// deadline of 200 ms has failed. The refusal names the new owner, which must get the call
// at once.
func TestCallIsRedirectedToOwnerNamedInRefusal(t *testing.T) {
	p := &fakePeers{}
	p.answer = func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute, Owner: "c", Epoch: 99}
		}
		return answerOK, nil
	}
	s, clock := newSender(t, p)
	answer, err := s.Send(t.Context(), withKey(t, s, newCall(clock.Now(), true)), 2)
	assert.NilError(t, err)
	assert.Equal(t, answer, answerOK)
	assert.DeepEqual(t, p.sent, []mtid.Daemon{"b", "c"})
}

// A key is being moved, and has no owner for a third of a second. Guards against daemons
// that send each call 20 times, every 15 ms, and have no time left for other calls. An
// ownership update must end the wait at once.
func TestCallForMovingKeyIsRetriedFewTimes(t *testing.T) {
	stale := &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute}
	p := &fakePeers{answer: func(int) (*mtcall.Answer, error) { return nil, stale }}
	s, clock := newSender(t, p)
	_, err := s.Send(t.Context(), withKey(t, s, newCall(clock.Now(), true)), 2)
	assert.Equal(t, err, error(stale))
	assert.Assert(t, len(p.sent) <= 8, "%d tries", len(p.sent))

	p = &fakePeers{}
	s, clock = newSender(t, p)
	call := withKey(t, s, newCall(clock.Now(), true))
	p.answer = func(n int) (*mtcall.Answer, error) {
		if n > 4 {
			return answerOK, nil
		}
		if n == 4 {
			own := s.Directory.View().Assignments["desk"]
			next, err := own.Move(0, mtid.LastKeyNumber, mtrange.Owner{Daemon: "c", Incarnation: mtid.ServerIncarnation{Server: "s"}}, "")
			assert.NilError(t, err)
			s.Directory.ApplyAssignment(mtdirectory.Assignment{Table: next, Version: own.Version + 1})
		}
		return nil, stale
	}
	_, err = s.Send(t.Context(), call, 2)
	assert.NilError(t, err)
	assert.DeepEqual(t, p.sent, []mtid.Daemon{"b", "b", "b", "b", "c"})
}

// The store rejects the owner's daemon, whose grants have expired. The refusal says that
// nothing changes for 0.8 s. Guards against waiting 0.3 s before the caller gets the
// refusal.
func TestCallIsRefusedAtOnceIfKeyHasNoOwnerForLong(t *testing.T) {
	for retry, tries := range map[time.Duration]int{800 * time.Millisecond: 1, 200 * time.Millisecond: 2} {
		p := &fakePeers{}
		p.answer = func(n int) (*mtcall.Answer, error) {
			if n == 1 {
				return nil, &mtreply.RefusedError{Cause: mtreply.CauseNoLease, RetryAfter: retry}
			}
			return answerOK, nil
		}
		s, clock := newSender(t, p)
		_, err := s.Send(t.Context(), withKey(t, s, newCall(clock.Now(), true)), 2)
		assert.Equal(t, len(p.sent), tries)
		if tries == 1 {
			status, retryAfter := mtingress.Status(err)
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, retryAfter, retry)
		}
	}
}

// A refusal names an owner from an assignment older than the local one. It must not be
// followed: two daemons that named each other would get the call alternately.
func TestRedirectToOutdatedOwnerIsIgnored(t *testing.T) {
	p := &fakePeers{}
	p.answer = func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute, Owner: "c", Epoch: 1}
		}
		return answerOK, nil
	}
	s, clock := newSender(t, p)
	_, err := s.Send(t.Context(), withKey(t, s, newCall(clock.Now(), true)), 2)
	assert.NilError(t, err)
	assert.DeepEqual(t, p.sent, []mtid.Daemon{"b", "b"})
}

// The connection of the first try breaks while the server processes it, and the second try
// is refused. Guards against answering with 503, which guarantees that nothing has run.
func TestRefusalAfterUncertainTryIsNotReported(t *testing.T) {
	p := &fakePeers{answer: func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, lost
		}
		return nil, shed
	}}
	sender, clock := newSender(t, p)
	_, err := sender.Send(t.Context(), newCall(clock.Now(), true), 3)
	status, retry := mtingress.Status(err)
	assert.Assert(t, len(p.sent) > 1, "the call was not retried")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Assert(t, retry < 0)
}

func TestRetriesDependOnIdempotenceAndOutcome(t *testing.T) {
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
		{"not idempotent, refused by the server before running", false, 3, notRun, 2, http.StatusOK},
		{"not idempotent, full gate", false, 1, shed, 2, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := &fakePeers{answer: func(n int) (*mtcall.Answer, error) {
				if n == 1 {
					return nil, test.first
				}
				return answerOK, nil
			}}
			sender, clock := newSender(t, p)
			answer, err := sender.Send(t.Context(), newCall(clock.Now(), test.idempotent), test.attempts)
			got := http.StatusOK
			if err != nil {
				got, _ = mtingress.Status(err)
			} else {
				assert.Equal(t, answer, answerOK)
			}
			assert.Equal(t, got, test.status)
			assert.Equal(t, len(p.sent), test.sent)
			if test.sent == 2 {
				assert.Assert(t, p.sent[0] != p.sent[1], "the same server was tried twice")
			}
		})
	}
}

// fakeSender records the call and returns a fixed result, or blocks until the context ends.
type fakeSender struct {
	call   *mtcall.Call
	answer *mtcall.Answer
	err    error
	hang   bool
	sent   chan struct{} // receives a value for each call that hangs, unless it is nil
}

func (s *fakeSender) Send(ctx context.Context, call *mtcall.Call, _ int) (*mtcall.Answer, error) {
	s.call = call
	if s.hang {
		if s.sent != nil {
			s.sent <- struct{}{}
		}
		<-ctx.Done()
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseGone, Err: ctx.Err()}
	}
	return s.answer, s.err
}

func (*fakeSender) BeginShutdown(mtshutdown.Schedule) {}

func newIngress(t *testing.T, s *fakeSender) (*mtingress.Ingress, *mttime.Clock, http.Handler) {
	t.Helper()
	clock := mttime.New()
	ingress := mtingress.New(mtingress.Config{
		ConfigFresh: func(mtclock.Instant) bool { return true },
		HeaderNames: mtheader.DefaultNames, Service: "own", Parent: func(mtcall.ID) (mtcall.Parent, bool) { return mtcall.Parent{}, false }, Sender: s, Clock: clock, Log: slog.New(slog.DiscardHandler),
		OnCompletion: func(*mtcall.Call, *mtcall.Answer, int, error, time.Duration) {},
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

func newRequest(target, id string, header ...string) *http.Request {
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

func TestResponsesMadeByIngress(t *testing.T) {
	big := newRequest("/desk/1", "1")
	big.Body = http.MaxBytesReader(nil, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("more than ten bytes")).Body, 100)
	for _, test := range []struct {
		name       string
		request    *http.Request
		err        error
		configured bool
		status     int
		retry      bool
	}{
		{"nothing configured", newRequest("/desk/1", "1"), nil, false, http.StatusServiceUnavailable, true},
		{"no such route", newRequest("/none", "1"), nil, true, http.StatusNotFound, false},
		{"no identifier", newRequest("/desk/1", ""), nil, true, http.StatusBadRequest, false},
		{"no key", newRequest("/plans/1", "1"), nil, true, http.StatusBadRequest, false},
		{"body too large", big, nil, true, http.StatusRequestEntityTooLarge, false},
		{"refused", newRequest("/desk/1", "1"), shed, true, http.StatusServiceUnavailable, true},
		{"refused permanently", newRequest("/desk/1", "1"), &mtreply.RefusedError{Cause: mtreply.CauseQuarantined, RetryAfter: -1}, true, http.StatusServiceUnavailable, false},
		{"timed out at the server", newRequest("/desk/1", "1"), &mtreply.UnknownError{Cause: mtreply.CauseTimeout, Err: context.DeadlineExceeded}, true, http.StatusGatewayTimeout, false},
		{"lost", newRequest("/desk/1", "1"), lost, true, http.StatusBadGateway, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ingress, _, handler := newIngress(t, &fakeSender{err: test.err})
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

// A route was added a second ago, and this daemon can't know whether it has received all
// changes. Guards against a 404, after which callers don't retry: they must get a 503 with
// a Retry-After header.
func TestUnknownRouteIsDeniedOnlyIfConfigurationIsFresh(t *testing.T) {
	ingress, _, handler := newIngress(t, &fakeSender{})
	ingress.Configure(configuration(t, 1))
	ingress.ConfigFresh = func(mtclock.Instant) bool { return false }
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, newRequest("/none", "1"))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, w.Header().Get("Retry-After") != "")
}

// Guards against requests that are served by a configuration that other daemons have replaced for long.
func TestOutdatedConfigurationServesNoRequests(t *testing.T) {
	ingress, _, handler := newIngress(t, &fakeSender{answer: &mtcall.Answer{Status: http.StatusOK}})
	c := configuration(t, 1)
	ingress.Configure(c)
	for _, test := range []struct {
		outdated bool
		want     int
	}{{true, http.StatusServiceUnavailable}, {false, http.StatusOK}} {
		ingress.Outdated = func(_ mtclock.Instant, version mtid.Version) bool { return test.outdated && version == c.Version }
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, newRequest("/plans/a", "1", mtheader.DefaultNames.Key, "4096"))
		assert.Equal(t, w.Code, test.want)
		assert.Equal(t, w.Header().Get("Retry-After") != "", test.outdated)
	}
}

// Header fields that this system sets itself, which a caller might forge, and hop-by-hop
// fields must not be forwarded. Everything else must arrive unchanged.
func TestForwardedRequestAndAnswer(t *testing.T) {
	s := &fakeSender{answer: &mtcall.Answer{Status: http.StatusTeapot, Header: []mtcall.Field{{Name: "X-A", Value: "1"}, {Name: "X-A", Value: "2"}}, Body: mtcall.BodyOf([]byte("tea"))}}
	ingress, clock, handler := newIngress(t, s)
	ingress.Configure(configuration(t, 1))
	r := newRequest("/plans/a%2Fb?x=%31", "id-7", mtheader.DefaultNames.Key, "4096", mtheader.DefaultNames.Caller, "forged",
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

// An older version arrives late, over a slower path. It must not replace a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	ingress, _, _ := newIngress(t, &fakeSender{})
	assert.Assert(t, ingress.Configure(configuration(t, 5)))
	assert.Assert(t, !ingress.Configure(configuration(t, 4)))
	assert.Assert(t, !ingress.Configure(configuration(t, 5)))
	assert.Equal(t, ingress.Configuration().Version, mtid.Version(5))
}

// A daemon stops while a server still processes a request. Guards against closing the
// connection at the end of the grace period without a response.
func TestCallInFlightAtEndOfShutdownIsAnswered(t *testing.T) {
	sender := &fakeSender{hang: true, sent: make(chan struct{}, 1)}
	ingress, clock, handler := newIngress(t, sender)
	ingress.Configure(configuration(t, 1))
	done := make(chan *httptest.ResponseRecorder)
	go func() {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, newRequest("/desk/1", "1"))
		done <- w
	}()
	<-sender.sent
	end := clock.Now().Add(50 * time.Millisecond)
	ingress.BeginShutdown(mtshutdown.Schedule{LastAnswers: end, Close: end})
	w := <-done
	assert.Equal(t, w.Code, http.StatusGatewayTimeout)
}

// Guards against a request that a stopping daemon takes although it may have to break it off: the caller must come back when another daemon serves it.
func TestStoppingDaemonRefusesWhatMayOutlastIt(t *testing.T) {
	sender := &fakeSender{answer: &mtcall.Answer{Status: http.StatusOK}}
	ingress, clock, handler := newIngress(t, sender)
	ingress.Configure(configuration(t, 1))
	now := clock.Now()
	ingress.BeginShutdown(mtshutdown.Schedule{Return: now.Add(time.Minute), Retire: now.Add(time.Minute), LastAnswers: now.Add(time.Minute)})
	exchange := func(header ...string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, newRequest("/desk/1", "1", header...))
		return w
	}
	fits := exchange()
	assert.Equal(t, fits.Code, http.StatusOK)

	ingress.BeginShutdown(mtshutdown.Schedule{Return: now.Add(time.Minute), Retire: now.Add(time.Minute), LastAnswers: clock.Now().Add(time.Second)})
	sender.call = nil
	outlasts := exchange()
	assert.Equal(t, outlasts.Code, http.StatusServiceUnavailable)
	assert.Equal(t, outlasts.Header().Get("Connection"), "close")
	assert.Assert(t, sender.call == nil, "a refused request must not run")
	retry, err := strconv.ParseFloat(outlasts.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, retry > 50 && retry <= 60, "%g", retry)
	// The caller's own deadline is earlier than the route's timeout.
	assert.Equal(t, exchange(mtheader.DefaultNames.Deadline, "100").Code, http.StatusOK)
}

// Guards against refusing what a call waits for that the daemon has accepted, and against cutting it off because it was taken late.
func TestStoppingDaemonServesNestedCallsThatEndInTime(t *testing.T) {
	for _, test := range []struct {
		name   string
		late   bool // after new calls are no longer accepted
		header []string
		want   int
	}{
		{name: "early, would outlast", want: http.StatusOK},
		{name: "late, ends in time", late: true, header: []string{mtheader.DefaultNames.Deadline, "100"}, want: http.StatusOK},
		{name: "late, would outlast", late: true, want: http.StatusServiceUnavailable},
	} {
		sender := &fakeSender{answer: &mtcall.Answer{Status: http.StatusOK}}
		ingress, clock, handler := newIngress(t, sender)
		ingress.Configure(configuration(t, 1))
		ingress.Parent = func(mtcall.ID) (mtcall.Parent, bool) { return mtcall.Parent{}, true }
		end := clock.Now().Add(time.Second)
		schedule := mtshutdown.Schedule{Return: end, Retire: end, LastAnswers: end}
		if test.late {
			schedule.Retire = 0
		}
		ingress.BeginShutdown(schedule)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, newRequest("/desk/1", "1", test.header...))
		assert.Equal(t, w.Code, test.want, test.name)
		if test.want != http.StatusOK {
			assert.Assert(t, sender.call == nil, "a refused request must not run")
			assert.Assert(t, w.Header().Get("Retry-After") != "")
			continue
		}
		assert.Assert(t, sender.call.Deadline <= end, test.name)
		assert.Assert(t, test.late || sender.call.Deadline == end, test.name)
	}
}

// fakeClock is a clock that a test advances.
type fakeClock struct{ now mtclock.Instant }

func (c *fakeClock) Now() mtclock.Instant { return c.now }

// A caller whose request was refused retries it with the rest of its deadline. Its
// objective must count from the first try. A first try of another caller with a shorter
// deadline must not be taken for a retry.
func TestRetryKeepsObjectiveOfFirstTry(t *testing.T) {
	s := &fakeSender{err: shed}
	clock := &fakeClock{now: mtclock.Instant(time.Hour)}
	ingress := mtingress.New(mtingress.Config{
		ConfigFresh: func(mtclock.Instant) bool { return true },
		HeaderNames: mtheader.DefaultNames, Service: "own", Parent: func(mtcall.ID) (mtcall.Parent, bool) { return mtcall.Parent{}, false }, Sender: s, Clock: clock, Log: slog.New(slog.DiscardHandler),
		OnCompletion: func(*mtcall.Call, *mtcall.Answer, int, error, time.Duration) {},
	})
	router := echo.New()
	router.Any("/*", ingress.Handle)
	ingress.Configure(configuration(t, 1))
	request := func(deadline string) time.Duration {
		router.ServeHTTP(httptest.NewRecorder(), newRequest("/plans/1", "1", mtheader.DefaultNames.Key, "1", mtheader.DefaultNames.Deadline, deadline))
		return s.call.Objective.Sub(clock.now)
	}
	assert.Equal(t, request("5000"), time.Second)
	assert.Equal(t, request("4300"), time.Second, "new request with a shorter deadline")
	clock.now = clock.now.Add(400 * time.Millisecond)
	assert.Equal(t, request("4590"), 600*time.Millisecond, "second try after 400 ms")
	clock.now = clock.now.Add(1600 * time.Millisecond)
	assert.Equal(t, request("2990"), -time.Second, "third try after 2 s")
	assert.Equal(t, request("2000"), time.Second, "new request of another caller")
	s.err, s.answer = nil, answerOK
	assert.Equal(t, request("1500"), time.Second)
	assert.Equal(t, request("1500"), time.Second, "no retry follows a success")
}

// Guards against calls of a route without an objective that count as late, on arrival or as a
// caller's second try.
func TestCallOfRouteWithoutObjectiveIsNeverLate(t *testing.T) {
	s := &fakeSender{err: shed}
	ingress, clock, handler := newIngress(t, s)
	ingress.Configure(configuration(t, 1))
	for range 2 {
		handler.ServeHTTP(httptest.NewRecorder(), newRequest("/desk/1", "1"))
		assert.Equal(t, s.call.Objective, mtclock.Instant(0))
		assert.Assert(t, !s.call.Late(clock.Now(), time.Hour))
	}
	assert.Assert(t, s.call.IsRetry())
}

// Guards against an answer of the daemon's own up to a millisecond before its caller stops waiting: a request names whole milliseconds.
func TestOwnAnswerWaitsForLastMillisecondOfCaller(t *testing.T) {
	ingress, _, handler := newIngress(t, &fakeSender{hang: true})
	ingress.Configure(configuration(t, 1))
	const (
		named = 50 * time.Millisecond
		waits = named + 990*time.Microsecond
	)
	for range 20 {
		sent := time.Now()
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, newRequest("/desk/1", "1", mtheader.DefaultNames.Deadline, "50"))
		early := waits - time.Since(sent)
		assert.Equal(t, w.Code, http.StatusGatewayTimeout)
		assert.Assert(t, early <= 0, "answered %s before the caller's deadline", early)
	}
}

// Guards against a request that is taken for expired because its deadline overflows.
func TestLongDeadlineLeavesRoutesTimeout(t *testing.T) {
	for _, deadline := range []string{"9223372036855", "9223372036854", "9223372036854775807", "9223372036854775808"} {
		sender := &fakeSender{answer: &mtcall.Answer{Status: http.StatusOK}}
		ingress, _, handler := newIngress(t, sender)
		ingress.Configure(configuration(t, 1))
		handler.ServeHTTP(httptest.NewRecorder(), newRequest("/desk/1", "1", mtheader.DefaultNames.Deadline, deadline))
		call := sender.call
		assert.Equal(t, call.Deadline, call.Arrived.Add(2*time.Second), deadline)
		assert.Assert(t, call.CallerDeadline == 0 || call.CallerDeadline > call.Deadline, deadline)
	}
}
