package mtingress_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// upload sends a call with a body of this size over links of 10 Mbit/s.
func upload(t *testing.T, p *fakePeers, size int, policy, nested bool) (*mtcall.Call, error) {
	t.Helper()
	s, clock := newSender(t, p)
	s.Overload.Link = policy
	call := newCall(clock.Now(), false)
	call.Body, call.Nested = mtcall.BodyOf(make([]byte, size)), nested
	_, err := s.Send(t.Context(), call, 1)
	return call, err
}

func answers(int) (*mtcall.Answer, error) { return answerOK, nil }

// Failure: a body that occupies a link for long is sent without asking, or a small one isn't
// sent at once.
func TestOnlyLargeBodiesAreAnnounced(t *testing.T) {
	for _, test := range []struct {
		size           int
		policy, nested bool
		want           bool
	}{
		{size: 60_000, policy: true, want: true},
		{size: 1000, policy: true},
		{size: 60_000},
		{size: 60_000, policy: true, nested: true},
	} {
		call, err := upload(t, &fakePeers{answer: answers}, test.size, test.policy, test.nested)
		assert.NilError(t, err)
		assert.Equal(t, call.Announce, test.want, "%+v", test)
	}
}

// Failure: a call is refused although the link of another server has room, or an unsafe one is
// not sent there.
func TestBodyGoesToServerWithRoomOnItsLink(t *testing.T) {
	p := &fakePeers{answer: func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, &mtreply.RefusedError{Cause: mtreply.CauseLinkFull}
		}
		return answerOK, nil
	}}
	_, err := upload(t, p, 60_000, true, false)
	assert.NilError(t, err)
	assert.Equal(t, len(p.sent), 2)
	assert.Assert(t, p.sent[0] != p.sent[1], "%v", []mtid.Daemon(p.sent))
}
