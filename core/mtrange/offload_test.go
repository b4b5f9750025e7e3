package mtrange_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

// loadReport returns the report of a server with nine slots.
func loadReport(name string, demand, capacity float64) mtrange.LoadReport {
	return mtrange.LoadReport{
		Owner: mtrange.Owner{Daemon: mtid.Daemon(name), Incarnation: mtid.ServerIncarnation{Server: mtid.Server(name)}},
		Slots: 9, Capacity: capacity, Demand: demand, ServiceTime: 100 * time.Millisecond, Keys: 1000, Known: true,
	}
}

// Guards against keys whose requests are refused because of their owner's rate limit while
// others have room: the limit counts as capacity.
func TestOwnerWithRateLimitOffloadsItsKeys(t *testing.T) {
	others := []mtrange.LoadReport{loadReport("b", 3, 0), loadReport("c", 4, 0)}
	assert.Equal(t, len(mtrange.PlanOffload(loadReport("a", 3, 0), others)), 0)
	offloads := mtrange.PlanOffload(loadReport("a", 3, 1.2), others)
	total := 0.0
	for _, o := range offloads {
		total += o.Amount
	}
	assert.Assert(t, total > 1.5 && total < 3, "%v", offloads)
}

// A server with a rate limit receives no keys beyond it.
func TestServerWithRateLimitReceivesLittle(t *testing.T) {
	others := []mtrange.LoadReport{loadReport("b", 0.5, 1.2)}
	assert.Equal(t, len(mtrange.PlanOffload(loadReport("a", 14, 0), others)), 0)
}
