package mtbackend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
)

func at(ms int) mtclock.Instant { return mtclock.Instant(ms) * mtclock.Instant(time.Millisecond) }

// naming returns the signals of an answer that names a limit.
func naming(rate mtbackend.Rate) mtbackend.Signals {
	return mtbackend.Signals{Source: mtbackend.SourceAnswer, Limit: mtbackend.RateLimit{Named: true, Rate: rate}}
}

var unlimited = mtbackend.Signals{Source: mtbackend.SourceAnswer}

// An answer from before the server named its limit arrives after the one that names it, and
// must not end the limit.
func TestLimitSurvivesOlderAnswer(t *testing.T) {
	var l mtbackend.LimitTracker
	l.Observe(at(100), at(50), naming(20), 0)
	l.Observe(at(120), at(40), unlimited, 0)
	assert.Equal(t, l.Rate(), mtbackend.Rate(20))
	l.Observe(at(200), at(101), unlimited, 0)
	assert.Equal(t, l.Rate(), mtbackend.Unlimited)
}

// Answers with two limits overtake each other: the lower one counts until an answer is
// certainly newer.
func TestLowerOfTwoOvertakingLimitsCounts(t *testing.T) {
	var l mtbackend.LimitTracker
	l.Observe(at(100), at(50), naming(10), 0)
	l.Observe(at(110), at(60), naming(30), 0)
	assert.Equal(t, l.Rate(), mtbackend.Rate(10))
	l.Observe(at(150), at(105), naming(30), 0)
	assert.Equal(t, l.Rate(), mtbackend.Rate(30))
}

// A refusal or a reply to a health check without a limit does not end one, but starts one.
func TestRefusalsEndNoLimit(t *testing.T) {
	for _, source := range []mtbackend.SignalSource{mtbackend.SourceRefusal, mtbackend.SourceHealthCheck} {
		var l mtbackend.LimitTracker
		s := naming(5)
		s.Source = source
		l.Observe(at(100), at(50), s, 0)
		l.Observe(at(300), at(200), mtbackend.Signals{Source: source}, 0)
		assert.Equal(t, l.Rate(), mtbackend.Rate(5))
	}
}

// A limit that can't be read keeps the present one, or starts with the fallback, and ends
// like any other.
func TestUnreadableLimit(t *testing.T) {
	var l mtbackend.LimitTracker
	invalid := mtbackend.Signals{Source: mtbackend.SourceAnswer, Limit: mtbackend.RateLimit{Named: true, Unreadable: true}}
	l.Observe(at(100), at(50), invalid, 9)
	assert.Equal(t, l.Rate(), mtbackend.Rate(9))
	l.Observe(at(200), at(150), naming(4), 9)
	l.Observe(at(300), at(250), invalid, 9)
	assert.Equal(t, l.Rate(), mtbackend.Rate(4))
	l.Observe(at(400), at(350), unlimited, 9)
	assert.Equal(t, l.Rate(), mtbackend.Unlimited)
}

// For any order of arrival, the limit in force is at most the newest one that the server had
// named when the last answer but those in flight was sent.
func TestLimitIsNeverAboveNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l mtbackend.LimitTracker
		limits := rapid.SliceOfN(rapid.IntRange(1, 9), 1, 8).Draw(t, "limits") // limit i is named from 100*i ms on
		var newest int                                                         // time at which the newest answer that arrived was made
		now := 0
		for range 40 {
			now += rapid.IntRange(1, 40).Draw(t, "pause")
			sent := max(now-rapid.IntRange(1, 150).Draw(t, "took"), 0)
			made := rapid.IntRange(sent, now).Draw(t, "made")
			l.Observe(at(now), at(sent), naming(mtbackend.Rate(limits[min(made/100, len(limits)-1)])), 0)
			newest = max(newest, made)
			assert.Assert(t, l.Rate() <= mtbackend.Rate(limits[min(newest/100, len(limits)-1)]), "limit %v at %d", l.Rate(), now)
		}
	})
}
