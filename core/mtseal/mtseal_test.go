package mtseal_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtseal"
)

func at(d time.Duration) mtclock.Instant { return mtclock.Instant(time.Hour + d) }

func TestEraIsProvenWithinHoldOnly(t *testing.T) {
	seen := mtseal.Observed{Seal: mtseal.Seal{Hold: 10 * time.Second}, Version: 7, SeenAt: at(time.Second), After: at(0), Bounded: true}
	with := func(change func(o *mtseal.Observed)) mtseal.Observed {
		o := seen
		change(&o)
		return o
	}
	for name, tt := range map[string]struct {
		seal mtseal.Observed
		over time.Duration
		want bool
	}{
		"within the hold":               {seen, 9 * time.Second, true},
		"within a hold by a fast clock": {seen, 9900 * time.Millisecond, false},
		"no seal":                       {mtseal.Observed{}, 0, false},
		"written at an unknown time":    {with(func(o *mtseal.Observed) { o.Bounded = false }), time.Second, false},
		"changed by another writer":     {with(func(o *mtseal.Observed) { o.Doubtful = true }), time.Second, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tt.seal.Proves(at(tt.over)), tt.want) })
	}
	assert.Equal(t, seen.HoldsUntil(), at(11*time.Second))
	assert.Equal(t, mtseal.Observed{}.HoldsUntil(), mtclock.Instant(0))
}

func TestKeysWaitSinceTheFirstEraInARowWithoutOwner(t *testing.T) {
	h := mtseal.History{
		{Since: at(0), Fallow: []mtrange.Span{{Low: 0, High: 99}, {Low: 200, High: 299}}},
		{Since: at(time.Second), Fallow: []mtrange.Span{{Low: 50, High: 299}}},
	}
	present := at(2 * time.Second)
	for name, tt := range map[string]struct {
		low, high mtid.KeyNumber
		want      time.Duration
	}{
		"in both":                  {60, 99, 0},
		"in the last one":          {100, 199, time.Second},
		"partly in the first":      {90, 110, time.Second},
		"in the first one only":    {0, 49, 2 * time.Second},
		"partly in the last":       {40, 60, 2 * time.Second},
		"in none":                  {300, 400, 2 * time.Second},
		"in two spans of an era":   {60, 250, time.Second},
		"second span of the first": {200, 299, 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, h.Since(present, tt.low, tt.high), at(tt.want))
		})
	}
	assert.Equal(t, mtseal.History(nil).Since(present, 0, 1), present)
}

func TestSealIsReadAsWritten(t *testing.T) {
	seal := mtseal.Seal{Hold: 8 * time.Second, By: "vm-1"}
	value, err := seal.Encode()
	assert.NilError(t, err)
	read, err := mtseal.Decode(value)
	assert.NilError(t, err)
	assert.Equal(t, read, seal)
	for _, odd := range []string{"", "[", "{}", `{"hold":-1}`, `{"hold":900000000000}`, `{"hold":"8s"}`} {
		_, err := mtseal.Decode([]byte(odd))
		var invalid *mtseal.DecodeError
		assert.Assert(t, errors.As(err, &invalid), "%q: %v", odd, err)
	}
}

func FuzzDecode(f *testing.F) {
	for _, value := range []string{`{"hold":8000000000,"by":"vm-1"}`, `{"hold":1e9}`, `[[[[`, `null`, `{"hold":15000000001}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if seal, err := mtseal.Decode(value); err == nil {
			assert.Assert(t, seal.Hold > 0 && seal.Hold <= mtseal.MaxHold)
		}
	})
}
