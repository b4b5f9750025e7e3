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

// A zone is taken out of service: ten of forty servers give all their keys away within a
// moment, one of them with a hot run. Whole ranges would double the work of ten others.
func TestAZoneSpillsItsKeysEvenly(t *testing.T) {
	owner := func(i int) mtrange.Owner {
		return mtrange.Owner{Daemon: mtid.Daemon(fmt.Sprintf("vm-%d", i)), Life: mtid.ServerIncarnation{Server: mtid.Server(fmt.Sprintf("s-%d", i))}}
	}
	now := mtclock.Instant(time.Minute)
	const slots, usual, each = 9, 5.0, 1600
	loads := make(map[mtrange.Owner]float64)
	var others []mtrange.Standing
	for i := 10; i < 40; i++ {
		loads[owner(i)] = usual
		others = append(others, mtrange.Standing{Owner: owner(i), Slots: slots, Demand: usual, Keys: each, Known: true})
	}
	for i := range 10 {
		work := usual
		if i == 0 {
			work = 3 * usual
		}
		meter := mtrange.NewMeter(0)
		r := mtrange.Range{Low: mtid.KeyNumber(i * each), High: mtid.KeyNumber((i+1)*each - 1), Owner: owner(i)}
		for key := int(r.Low); key <= int(r.High); key += 16 {
			meter.Arrive(now, mtid.KeyNumber(key), time.Duration(work*float64(mtrange.MeterMemory)/100))
		}
		total := 0.0
		covered := make(map[mtid.KeyNumber]bool)
		for _, run := range mtrange.Spill(now, []mtrange.Range{r}, meter, mtrange.Turn{Place: i, Of: 10}, others) {
			for key := int(run.Low); key <= int(run.High); key++ {
				assert.Assert(t, !covered[mtid.KeyNumber(key)], "key %d goes to two servers", key)
				covered[mtid.KeyNumber(key)] = true
				loads[run.To] += meter.Of(now, mtid.KeyNumber(key))
				total += meter.Of(now, mtid.KeyNumber(key))
			}
		}
		assert.Equal(t, len(covered), each, "every key leaves")
		assert.Assert(t, total > work*0.99, "%f", total)
	}
	for o, load := range loads {
		assert.Assert(t, load <= 2*usual, "%s has %.1f, twice the usual is %.1f", o.Daemon, load, 2*usual)
	}
}

// All zones are out of service: the keys stay where they are.
func TestNothingIsSpiltOverNobody(t *testing.T) {
	r := mtrange.Range{Low: 0, High: 99}
	assert.Equal(t, len(mtrange.Spill(0, []mtrange.Range{r}, mtrange.NewMeter(0), mtrange.Turn{}, nil)), 0)
}
