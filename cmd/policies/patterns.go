package main

import (
	"fmt"
	"math/rand/v2"
	"text/tabwriter"

	"magnoliaturn/core/mtchoice"
)

// The failure patterns follow the tables of the paper on status identification:
// per 10,000 invocations, made once a minute, there are 7 to 45 transient
// failures of one or two invocations in a row, and outages of up to 34 in a row.
const (
	patternSteps   = 30_000
	patternWindow  = 10_000 // steps after which failure patterns are reassigned to the services
	patternServers = 8
)

// failurePattern describes how often and how long a service fails.
type failurePattern struct {
	transient float64 // probability per step that a transient failure begins
	outage    float64 // probability per step that an outage begins
	maxOutage int     // bounds the length of an outage, in steps
	degraded  float64 // probability per step that a period begins in which half of all invocations fail
}

var failurePatterns = []failurePattern{
	{0.0027, 0.0004, 11, 0.0005},
	{0.0045, 0.0004, 16, 0.0005},
	{0.0033, 0.0004, 34, 0.0005},
	{0.0007, 0.0010, 25, 0.0002},
	{0.05, 0.001, 30, 0.002},
	{0.10, 0.002, 30, 0.002},
	{0.02, 0.004, 60, 0.001},
	{0, 1, 1 << 30, 0}, // never up
}

// service is a simulated service.
type service struct {
	pattern  failurePattern
	down     int // remaining steps of an outage or transient failure
	degraded int // remaining steps of a period in which half of all invocations fail
}

// step advances the service by one step and reports whether an invocation in
// that step would succeed.
func (s *service) step(random *rand.Rand) bool {
	switch {
	case s.down > 0:
	case random.Float64() < s.pattern.outage:
		s.down = 3 + random.IntN(s.pattern.maxOutage)
	case random.Float64() < s.pattern.transient:
		s.down = 1 + random.IntN(2)
	}
	if s.degraded == 0 && random.Float64() < s.pattern.degraded {
		s.degraded = 10 + random.IntN(20)
	}
	up := s.down == 0
	if s.degraded > 0 {
		s.degraded--
		up = up && random.IntN(2) == 0
	}
	s.down = max(s.down-1, 0)
	return up
}

// selector chooses among services by their estimators: a random one of the most
// available services, or the least recently invoked one if all are down.
type selector struct {
	estimators  []mtchoice.Estimator
	lastInvoked []int
	random      *rand.Rand
}

func (s *selector) pick() int {
	var best []int
	for i, e := range s.estimators {
		switch {
		case len(best) == 0 || s.prefers(e, s.estimators[best[0]]):
			best = append(best[:0], i)
		case !s.prefers(s.estimators[best[0]], e):
			best = append(best, i)
		}
	}
	if !s.estimators[best[0]].Down() {
		return best[s.random.IntN(len(best))]
	}
	first := best[0]
	for i := range s.estimators {
		if s.lastInvoked[i] < s.lastInvoked[first] {
			first = i
		}
	}
	return first
}

// prefers reports whether e ranks above f: up before down, then by availability.
func (*selector) prefers(e, f mtchoice.Estimator) bool {
	if e.Down() != f.Down() {
		return !e.Down()
	}
	return !e.Down() && e.Availability() > f.Availability()
}

// estimators lists the estimators compared.
var estimators = []struct {
	name string
	make func() mtchoice.Estimator
}{
	{"last success", func() mtchoice.Estimator { return mtchoice.NewLastSuccess() }},
	{"streak", func() mtchoice.Estimator { return mtchoice.NewStreak() }},
	{"average", func() mtchoice.Estimator { return mtchoice.NewAverage() }},
	{"status", func() mtchoice.Estimator { return mtchoice.NewStatusIdentification() }},
}

// runPatterns makes one invocation per step and returns the number of successes
// in each window.
func runPatterns(newEstimator func() mtchoice.Estimator, seed uint64) []int {
	random := rand.New(rand.NewPCG(seed, 4))
	s := &selector{random: rand.New(rand.NewPCG(seed, 5)), lastInvoked: make([]int, patternServers)}
	services := make([]service, patternServers)
	for range patternServers {
		s.estimators = append(s.estimators, newEstimator())
	}
	successes := make([]int, patternSteps/patternWindow)
	for step := range patternSteps {
		if step%patternWindow == 0 {
			for i, h := range random.Perm(patternServers) {
				services[i] = service{pattern: failurePatterns[h]}
			}
		}
		chosen := s.pick()
		s.lastInvoked[chosen] = step + 1
		for i := range services {
			up := services[i].step(random)
			if i != chosen {
				continue
			}
			s.estimators[i].Observe(up)
			if up {
				successes[step/patternWindow]++
			}
		}
	}
	return successes
}

// patternSeeds is the number of runs that each row of the table averages.
const patternSeeds = 20

// printPatterns prints the success rate of each estimator in each window.
func printPatterns(w *tabwriter.Writer, seed uint64) {
	_, _ = fmt.Fprintf(w, "\nfailure patterns, one invocation a step, mean of seeds %d to %d\n", seed, seed+patternSeeds-1)
	_, _ = fmt.Fprintln(w, "estimator\tfirst 10,000 %\tafter a change %\tafter another %\t")
	for _, e := range estimators {
		sum := make([]int, patternSteps/patternWindow)
		for i := range uint64(patternSeeds) {
			for j, n := range runPatterns(e.make, seed+i) {
				sum[j] += n
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t", e.name)
		for _, n := range sum {
			_, _ = fmt.Fprintf(w, "%.2f\t", 100*float64(n)/patternSeeds/patternWindow)
		}
		_, _ = fmt.Fprintln(w)
	}
}
