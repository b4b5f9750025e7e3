package mtsketch_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtsketch"
)

func TestSteadyRate(t *testing.T) {
	s := mtsketch.New[string](4, 3*time.Second)
	var now mtclock.Instant
	for range 6000 {
		s.Add(now, "hotel", 2)
		now = now.Add(10 * time.Millisecond)
	}
	got := s.Top(now, 1)[0]
	assert.Assert(t, math.Abs(got.Rate-200) < 2, "got %v, want 200 a second", got.Rate)
	assert.Equal(t, got.Error, 0.0)
}

// A key is hot for a minute and then receives no more requests. Its rate must halve
// with each half-life; otherwise its shard would stay split off long after the peak.
func TestRatesDecay(t *testing.T) {
	s := mtsketch.New[int](2, time.Second)
	s.Add(0, 1, 100)
	before := s.TotalRate(0)
	after := s.TotalRate(mtclock.Instant(0).Add(3 * time.Second))
	assert.Assert(t, math.Abs(before/after-8) < 1e-9, "got a factor of %v, want 8", before/after)
}

// A daemon runs for weeks. The weights must be rescaled before they overflow,
// without a change of the reported rates.
func TestRescalingKeepsRates(t *testing.T) {
	s := mtsketch.New[int](2, time.Second)
	var now mtclock.Instant
	for range 20000 {
		s.Add(now, 7, 5)
		now = now.Add(time.Second)
	}
	got := s.Top(now, 1)[0].Rate
	assert.Assert(t, got > 2 && got < 6, "got %v, want about 5 a second", got)
	s.Add(now.Add(30*24*time.Hour), 8, 1)
	top := s.Top(now.Add(30*24*time.Hour), 1)[0]
	assert.Equal(t, top.Key, 8)
}

// For any stream, each key with more than 1/size of the total weight is found, no
// rate is too low, and none is too high by more than the reported error.
func TestHeavyKeysAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 8
		s := mtsketch.New[int](size, time.Hour)
		keys := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 400).Draw(t, "keys")
		exact := make(map[int]float64)
		for _, k := range keys {
			s.Add(0, k, 1)
			exact[k]++
		}
		unitRate := s.TotalRate(0) / float64(len(keys))
		found := make(map[int]bool)
		for _, c := range s.Top(0, size) {
			found[c.Key] = true
			want := exact[c.Key] * unitRate
			assert.Assert(t, c.Rate >= want-1e-9, "key %d: got %v, want at least %v", c.Key, c.Rate, want)
			assert.Assert(t, c.Rate-c.Error <= want+1e-9, "key %d: got %v-%v, want at most %v", c.Key, c.Rate, c.Error, want)
		}
		for k, n := range exact {
			if n > float64(len(keys))/size {
				assert.Assert(t, found[k], "key %d with %v of %d is missing", k, n, len(keys))
			}
		}
	})
}

func TestBytesWith64Counters(t *testing.T) {
	got := mtsketch.New[uint64](64, time.Second).Bytes()
	assert.Assert(t, got > 0 && got <= 8<<10, "got %d bytes, want at most 8 KiB for 64 counters", got)
}
