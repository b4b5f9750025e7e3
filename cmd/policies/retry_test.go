package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtreply"
)

// While three of ten servers fail, retries must stay within 20 % of the requests
// (plus 20, the limit of the accumulated credit), so that they do not overload
// the other seven servers, and must still gain answers for spread services.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	policy := retryPolicies[3]
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			got := runRetries(policy.make, f, 1, 5*time.Second)
			none := runRetries(retryPolicies[0].make, f, 1, 5*time.Second)
			assert.Assert(t, got.triesPerRequest() <= 1.2+20/float64(got.requests), "%s: %.3f tries per request", policy.name, got.triesPerRequest())
			// The keys of a lost owner are available again only after two
			// seconds, longer than the one-second timeout of a request.
			gained := got.outcomes[mtreply.Answered] - none.outcomes[mtreply.Answered]
			assert.Assert(t, !f.spread || gained > 0, "%d answers gained over no retries", gained)
		})
	}
}
