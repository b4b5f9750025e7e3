package mttime_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/io/mttime"
)

func TestClocksNeverGoBack(t *testing.T) {
	clock := mttime.New()
	now, steady, boot := clock.Now(), clock.Steady(), clock.Boot()
	for range 1000 {
		n, s, b := clock.Now(), clock.Steady(), clock.Boot()
		assert.Assert(t, n >= now && s >= steady && b >= boot)
		now, steady, boot = n, s, b
	}
	assert.Assert(t, time.Since(clock.Wall()) < time.Hour)
}

func BenchmarkNow(b *testing.B) {
	clock := mttime.New()
	for b.Loop() {
		clock.Now()
	}
}
