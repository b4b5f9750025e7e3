package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Owners are lost, shards move, answers vanish, clocks differ, and callers send
// again what they heard nothing of. No order runs twice, and nobody is told "not
// run" of one that has run.
func TestTableRunsNothingTwice(t *testing.T) {
	for _, l := range recentLoads {
		t.Run(l.name, func(t *testing.T) {
			for _, m := range memories[2:] {
				got := runRecent(m.make, l, 1, time.Minute)
				assert.Equal(t, got.twice(), 0, m.name)
				assert.Equal(t, got.lies, 0, m.name)
			}
			// The plain memory fails here, so the trial can tell them apart.
			none := runRecent(memories[0].make, l, 1, time.Minute)
			assert.Assert(t, none.twice() > 0)
		})
	}
}
