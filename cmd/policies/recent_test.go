package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Callers retry orders while answers are lost, owners are lost, shards move and
// clocks differ. No order may run twice, and no order that ran may be reported
// as "not run".
func TestTableRunsNoOrderTwice(t *testing.T) {
	for _, l := range recentLoads {
		t.Run(l.name, func(t *testing.T) {
			for _, m := range deduplicators[2:] {
				got := runRecent(m.make, l, 1, time.Minute)
				assert.Equal(t, got.ranTwice(), 0, m.name)
				assert.Equal(t, got.wronglyNotRun, 0, m.name)
			}
			// The baseline remembers a single identifier and runs orders twice, so
			// the trial detects the fault.
			none := runRecent(deduplicators[0].make, l, 1, time.Minute)
			assert.Assert(t, none.ranTwice() > 0)
		})
	}
}
