package mtrange_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

// A zone goes out of service: ten of forty servers spill all their keys at once, one of
// them with a hot run. Moving whole ranges would double the load of ten others.
func TestSpillOfAZoneIsEven(t *testing.T) {
	owner := func(i int) mtrange.Owner {
		return mtrange.Owner{Daemon: mtid.Daemon(fmt.Sprintf("vm-%d", i)), Incarnation: mtid.ServerIncarnation{Server: mtid.Server(fmt.Sprintf("s-%d", i))}}
	}
	now := mtclock.Instant(time.Minute)
	const slots, usual, each = 9, 5.0, 1600
	loads := make(map[mtrange.Owner]float64)
	var others []mtrange.LoadReport
	for i := 10; i < 40; i++ {
		loads[owner(i)] = usual
		others = append(others, mtrange.LoadReport{Owner: owner(i), Slots: slots, Demand: usual, Keys: each, Known: true})
	}
	for i := range 10 {
		work := usual
		if i == 0 {
			work = 3 * usual
		}
		meter := mtrange.NewMeter(0)
		r := mtrange.Range{Low: mtid.KeyNumber(i * each), High: mtid.KeyNumber((i+1)*each - 1), Owner: owner(i)}
		for key := int(r.Low); key <= int(r.High); key += 16 {
			meter.RecordArrival(now, mtid.KeyNumber(key), time.Duration(work*float64(mtrange.MeterMemory)/100))
		}
		total := 0.0
		covered := make(map[mtid.KeyNumber]bool)
		for _, run := range mtrange.Spill(now, []mtrange.Range{r}, meter, mtrange.SpillPosition{Index: i, Total: 10}, others) {
			for key := int(run.Low); key <= int(run.High); key++ {
				assert.Assert(t, !covered[mtid.KeyNumber(key)], "key %d moves to two servers", key)
				covered[mtid.KeyNumber(key)] = true
				loads[run.To] += meter.KeyDemand(now, mtid.KeyNumber(key))
				total += meter.KeyDemand(now, mtid.KeyNumber(key))
			}
		}
		assert.Equal(t, len(covered), each, "not every key moves")
		assert.Assert(t, total > work*0.99, "only %f slots of work move", total)
	}
	for o, load := range loads {
		assert.Assert(t, load <= 2*usual, "%s has a load of %.1f, above twice the usual, %.1f", o.Daemon, load, 2*usual)
	}
}

// With all zones out of service, no receivers are left and the keys stay.
func TestSpillWithoutReceivers(t *testing.T) {
	r := mtrange.Range{Low: 0, High: 99}
	assert.Equal(t, len(mtrange.Spill(0, []mtrange.Range{r}, mtrange.NewMeter(0), mtrange.SpillPosition{}, nil)), 0)
}
