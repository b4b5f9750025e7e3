package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtreply"
)

// Three of ten servers fail. The tries that this causes must not bring the
// other seven down, and no order that may have run is sent again.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	policy := retryPolicies[3]
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			got := runRetries(policy.make, f, 1, 5*time.Second)
			none := runRetries(retryPolicies[0].make, f, 1, 5*time.Second)
			assert.Assert(t, got.load() <= 1.2+20/float64(got.requests), "%s: %.3f tries per request", policy.name, got.load())
			// A lost owner's keys come back after two seconds, which no retry of
			// a request with one second can wait for.
			gained := got.outcomes[mtreply.Answered] - none.outcomes[mtreply.Answered]
			assert.Assert(t, !f.spread || gained > 0, "%d answers gained over no retries", gained)
		})
	}
}
