package mtrouter_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
)

// An owner is killed while it runs a status check, and the check is sent again
// to nobody: the second try is refused before it is sent. The caller must not be
// told that its request did not run, for the first try may have.
func TestRefusedRetryDoesNotUndoTheFirstTry(t *testing.T) {
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
			assert.Equal(t, len(p.next), 0, "not every try was made")
			assert.Equal(t, reply.Outcome, tt.outcome)
			assert.Equal(t, reply.Cause, tt.cause)
			if reply.Outcome == mtreply.Unknown {
				assert.Equal(t, reply.RetryAfter, time.Duration(0))
			}
		})
	}
}
