package mtingress_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtoverload"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtingress"
)

// queuePeers have servers with queues: a call that may wait less is handed back.
type queuePeers struct {
	fakePeers
	waits    map[mtid.Daemon]time.Duration
	patience []time.Duration // of the calls, in order
}

func (p *queuePeers) Forward(_ context.Context, daemon mtid.Daemon, _ string, call *mtcall.Call) (*mtcall.Answer, error) {
	p.sent = append(p.sent, daemon)
	p.patience = append(p.patience, call.Patience)
	if wait := p.waits[daemon]; call.Patience > 0 && (wait < 0 || wait > call.Patience) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseBusy, RetryAfter: wait}
	}
	return answerOK, nil
}

func (*queuePeers) LoadReport(mtid.Daemon) (mtforward.LoadReport, bool) {
	return mtforward.LoadReport{}, false
}

// newSearchingSender returns a sender that searches for room among the queues of three servers,
// and its clock, which stands still.
func newSearchingSender(t *testing.T, waits map[mtid.Daemon]time.Duration) (*mtingress.Sender, *queuePeers, *fakeClock) {
	t.Helper()
	p := &queuePeers{waits: waits}
	s, running := newSender(t, &p.fakePeers)
	clock := &fakeClock{now: running.Now()}
	s.Peers, s.Clock, s.Overload = p, clock, mtoverload.Policies{Room: true}
	return s, p, clock
}

// Guards against a call that queues at a full server while another one has free slots.
func TestCallGoesOnToTheServerWithRoom(t *testing.T) {
	s, p, clock := newSearchingSender(t, map[mtid.Daemon]time.Duration{"b": time.Second, "d": time.Second})
	_, err := s.Send(t.Context(), newCall(clock.Now(), false), 1)
	assert.NilError(t, err)
	assert.Equal(t, p.sent[len(p.sent)-1], mtid.Daemon("c"))
}

// Guards against a call that is refused, though it could wait, because all servers are full.
func TestCallWaitsWhereTheQueueIsShortest(t *testing.T) {
	s, p, clock := newSearchingSender(t, map[mtid.Daemon]time.Duration{"b": 3 * time.Second, "c": 2 * time.Second, "d": 4 * time.Second})
	call := newCall(clock.Now(), false)
	_, err := s.Send(t.Context(), call, 1)
	assert.NilError(t, err)
	assert.Equal(t, len(p.sent), 4)
	assert.Equal(t, p.sent[3], mtid.Daemon("c"))
	assert.Equal(t, p.patience[3], time.Duration(0))
	assert.Equal(t, call.Search.HandedBack, 3)

	again := newCall(clock.Now(), false)
	_, err = s.Send(t.Context(), again, 1)
	assert.NilError(t, err)
	assert.Equal(t, again.Search, mtcall.SearchCounts{KnownFull: 3}, "servers that just said so are asked again")
	assert.Equal(t, p.sent[4], mtid.Daemon("c"))
}

// Guards against calls with long bodies, late ones and ones without an objective that are sent
// around, and against a search that isn't switched on.
func TestCallsThatDontSearch(t *testing.T) {
	for _, test := range []struct {
		name  string
		alter func(*mtingress.Sender, *mtcall.Call)
	}{
		{"long body", func(_ *mtingress.Sender, c *mtcall.Call) { c.Body = mtcall.BodyOf(make([]byte, 1<<20)) }},
		{"late", func(_ *mtingress.Sender, c *mtcall.Call) { c.Objective = c.Objective.Add(-time.Hour) }},
		{"no objective", func(_ *mtingress.Sender, c *mtcall.Call) { c.Objective = 0 }},
		{"switched off", func(s *mtingress.Sender, _ *mtcall.Call) { s.Overload.Room = false }},
	} {
		s, p, clock := newSearchingSender(t, map[mtid.Daemon]time.Duration{"b": time.Second, "c": time.Second, "d": time.Second})
		call := newCall(clock.Now(), true)
		test.alter(s, call)
		_, err := s.Send(t.Context(), call, 1)
		assert.NilError(t, err, test.name)
		assert.DeepEqual(t, p.patience, []time.Duration{0})
	}
}

// Guards against a daemon that goes by a wait that can't be right, and against a log line for
// nothing else.
func TestImpossibleWaitIsIgnored(t *testing.T) {
	s, p, clock := newSearchingSender(t, map[mtid.Daemon]time.Duration{"b": -1, "c": -1})
	var log bytes.Buffer
	s.Log = slog.New(slog.NewTextHandler(&log, nil))
	call := newCall(clock.Now(), true)
	_, err := s.Send(t.Context(), call, 1)
	assert.NilError(t, err)
	assert.Equal(t, p.sent[len(p.sent)-1], mtid.Daemon("d"))
	assert.Equal(t, call.Search, mtcall.SearchCounts{})
	assert.Equal(t, strings.Count(log.String(), "\n"), len(p.sent)-1)
}

// Guards against a caller that is told a server's wait, which may be any number, as its time to return.
func TestCallerIsNotToldAWaitAsItsTimeToReturn(t *testing.T) {
	s, _, clock := newSearchingSender(t, map[mtid.Daemon]time.Duration{"b": -1, "c": time.Hour, "d": -1})
	s.Log = slog.New(slog.DiscardHandler)
	_, err := s.Send(t.Context(), newCall(clock.Now(), true), 1)
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Cause, mtreply.CauseShed)
	assert.Assert(t, refused.RetryAfter > 0 && refused.RetryAfter <= time.Second, "%s", refused.RetryAfter)
}

// Guards against refusals by what was known before this daemon was cut off from all others.
func TestDaemonThatIsCutOffRefusesNothingByWhatItKnew(t *testing.T) {
	s, p, clock := newSearchingSender(t, map[mtid.Daemon]time.Duration{"b": time.Minute, "c": time.Minute, "d": time.Minute})
	_, err := s.Send(t.Context(), newCall(clock.Now(), false), 1)
	assert.NilError(t, err)
	cut := &fakePeers{answer: func(int) (*mtcall.Answer, error) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseUnreachable}
	}}
	s.Peers, p.sent = cut, nil
	_, err = s.Send(t.Context(), newCall(clock.Now(), false), 1)
	assert.ErrorContains(t, err, string(mtreply.CauseUnreachable))
	assert.Assert(t, len(cut.sent) > 0, "the call was never sent")
}

// Guards against servers that are passed over by waits that were reported before a restart, or too
// long ago, while the other daemons are silent and report no new ones.
func TestForgottenWaitsAreAskedAnew(t *testing.T) {
	s, _, clock := newSearchingSender(t, map[mtid.Daemon]time.Duration{"b": time.Minute, "c": time.Minute, "d": time.Minute})
	search := func(s *mtingress.Sender) mtcall.SearchCounts {
		call := newCall(clock.Now(), true)
		_, _ = s.Send(t.Context(), call, 1)
		return call.Search
	}
	allAsked := mtcall.SearchCounts{HandedBack: 3}
	assert.Equal(t, search(s), allAsked)
	assert.Equal(t, search(s), mtcall.SearchCounts{KnownFull: 3})
	assert.Equal(t, search(mtingress.NewSender(s.SenderConfig)), allAsked, "after a restart")

	silent := &fakePeers{answer: func(int) (*mtcall.Answer, error) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseUnreachable}
	}}
	s.Peers = silent
	clock.now = clock.now.Add(100 * time.Millisecond)
	assert.Equal(t, search(s), mtcall.SearchCounts{}, "after 100 ms")
	assert.Assert(t, len(silent.sent) > 0, "the call was never sent")
}

// Guards against a peer of the former release, which knows no limit on the wait and refuses
// what it has no room for: the call goes on as it did before.
func TestPeerOfTheFormerRelease(t *testing.T) {
	old := &fakePeers{answer: func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, shed
		}
		return answerOK, nil
	}}
	s, clock := newSender(t, old)
	s.Overload.Room = true
	_, err := s.Send(t.Context(), newCall(clock.Now(), false), 1)
	assert.NilError(t, err)
	assert.Equal(t, len(old.sent), 2)
}
