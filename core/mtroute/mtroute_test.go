package mtroute_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroute"
)

func route(name, host, prefix string, targets ...mtroute.Target) mtroute.Route {
	if len(targets) == 0 {
		targets = []mtroute.Target{{Service: "maps", Weight: 1}}
	}
	return mtroute.Route{Name: mtid.Class(name), Host: host, Prefix: prefix, Timeout: time.Second, Targets: targets}
}

var services = []mtroute.Service{{Name: "maps"}, {Name: "desk"}}

func TestLongestPrefixOfHostWins(t *testing.T) {
	config, err := mtroute.New(3, []mtroute.Route{
		route("short", "a.example", "/plans/"),
		route("long", "a.example", "/plans/floors/"),
		route("other", "b.example", "/plans/"),
		route("all", "c.example", "/"),
	}, services, mtroute.Limits{})
	assert.NilError(t, err)
	for _, test := range []struct {
		host, target string
		want         mtid.Class
	}{
		{"a.example", "/plans/7", "short"},
		{"a.example", "/plans/floors/7", "long"},
		{"a.example", "/plans/floors", "short"},
		{"a.example", "/plans", ""},
		{"A.Example:8080", "/plans/7", "short"},
		{"a.example", "/plans/?q=/plans/floors/", "short"},
		{"a.example", "/other?x=/plans/", ""},
		{"b.example", "/plans/floors/7", "other"},
		{"c.example", "/", "all"},
		{"d.example", "/plans/7", ""},
	} {
		got, ok := config.Match(test.host, test.target)
		assert.Equal(t, ok, test.want != "", "%s %s", test.host, test.target)
		if ok {
			assert.Equal(t, got.Name, test.want, "%s %s", test.host, test.target)
		}
	}
}

func TestInvalidRoutesAreRejected(t *testing.T) {
	for name, invalid := range map[string]mtroute.Route{
		"prefix without trailing slash": route("r", "a", "/plans"),
		"relative prefix":               route("r", "a", "plans/"),
		"unknown service":               route("r", "a", "/", mtroute.Target{Service: "none", Weight: 1}),
		"negative weight":               route("r", "a", "/", mtroute.Target{Service: "maps", Weight: -1}),
		"no timeout":                    {Name: "r", Host: "a", Prefix: "/", Targets: []mtroute.Target{{Service: "maps"}}},
		"no service":                    {Name: "r", Host: "a", Prefix: "/", Timeout: time.Second},
	} {
		_, err := mtroute.New(1, []mtroute.Route{invalid}, services, mtroute.Limits{})
		var want *mtroute.RouteError
		assert.Assert(t, errors.As(err, &want), name)
	}
}

// Guards against routes without an objective whose calls count as late on arrival: the
// configuration may name none, or one that can't be right.
func TestOnlyPositiveObjectiveCounts(t *testing.T) {
	const now = mtclock.Instant(time.Hour)
	for _, test := range []struct {
		objective time.Duration
		want      mtclock.Instant
		expected  time.Duration
	}{
		{300 * time.Millisecond, now.Add(300 * time.Millisecond), 100 * time.Millisecond},
		{0, 0, 0},
		{-time.Second, 0, 0},
		{math.MinInt64, 0, 0},
		{math.MaxInt64, 0, math.MaxInt64 / 3},
	} {
		r := mtroute.Route{Objective: test.objective}
		assert.Equal(t, r.ObjectiveAt(now), test.want)
		assert.Equal(t, r.ExpectedDuration(), test.expected)
	}
}

// An operator sends a tenth of a route's requests to a new service and reads its
// metrics after about a hundred requests. With random selection, the service's share
// would be off by a third by then.
func TestSplitterFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heavy := rapid.IntRange(0, 100).Draw(t, "heavy")
		light := rapid.IntRange(1, 100).Draw(t, "light")
		n := rapid.IntRange(1, 500).Draw(t, "requests")
		r := route("r", "a", "/", mtroute.Target{Service: "maps", Weight: heavy}, mtroute.Target{Service: "desk", Weight: light})
		splitter := mtroute.NewSplitter()
		got := 0
		for range n {
			if splitter.Pick(&r) == "maps" {
				got++
			}
		}
		want := float64(n) * float64(heavy) / float64(heavy+light)
		if diff := float64(got) - want; diff > 1 || diff < -1 {
			t.Fatalf("of %d requests, %d were sent to the service with weight %d of %d, want %.1f", n, got, heavy, heavy+light, want)
		}
	})
}

func TestLongestTimeout(t *testing.T) {
	long := route("long", "a.example", "/plans/", mtroute.Target{Service: "maps", Weight: 1}, mtroute.Target{Service: "desk", Weight: 0})
	long.Timeout = 4 * time.Second
	config, err := mtroute.New(1, []mtroute.Route{long, route("short", "b.example", "/", mtroute.Target{Service: "desk", Weight: 1})}, services, mtroute.Limits{})
	assert.NilError(t, err)
	assert.Equal(t, config.LongestTimeout("maps"), 4*time.Second)
	assert.Equal(t, config.LongestTimeout("desk"), time.Second)
	assert.Equal(t, config.LongestTimeout("none"), time.Duration(0))
}
