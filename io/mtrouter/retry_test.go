package mtrouter_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
)

// The owner is killed while it runs an idempotent request, and the retry is refused
// before it is sent. The reply must stay unknown: the first try may have run.
func TestRefusedRetryKeepsUnknownOutcome(t *testing.T) {
	lost := &mtreply.UnknownError{Cause: mtreply.CauseLost}
	unreachable := &mtreply.RefusedError{Cause: mtreply.CauseUnreachable}
	tests := []struct {
		name    string
		next    []error
		outcome mtreply.Outcome
		cause   mtreply.Cause
	}{
		{"lost, then refused", []error{lost, unreachable, unreachable}, mtreply.Unknown, mtreply.CauseLost},
		{"refused, lost, refused", []error{unreachable, lost, unreachable}, mtreply.Unknown, mtreply.CauseLost},
		{"lost, then answered", []error{lost}, mtreply.Answered, ""},
		{"only refused", []error{unreachable, unreachable, unreachable}, mtreply.NotRun, mtreply.CauseUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, p := newRouter(t)
			p.next = tt.next
			reply := r.Route(context.Background(), &mtrequest.Request{Service: mapsvc, Key: "floor-1", Class: "doors", Minted: true})
			assert.Equal(t, len(p.next), 0, "the router made fewer tries than expected")
			assert.Equal(t, reply.Outcome, tt.outcome)
			assert.Equal(t, reply.Cause, tt.cause)
			if reply.Outcome == mtreply.Unknown {
				assert.Equal(t, reply.RetryAfter, time.Duration(0))
			}
		})
	}
}
