package main

import (
	"fmt"
	"math/rand/v2"
	"text/tabwriter"

	"magnoliaturn/core/mtchoice"
)

// Failure patterns after the tables of the paper on status identification:
// per 10,000 invocations, one a minute, 7 to 45 transient failures of one or
// two in a row, and outages of up to 34 in a row.
const (
	patternSteps   = 30_000
	patternWindow  = 10_000 // the services change their habits after so many
	patternServers = 8
)

// habit is how a service of the patterns fails, per step.
type habit struct {
	transient float64 // chance that a transient failure begins
	outage    float64 // chance that an outage begins
	longest   int     // steps of the longest outage
	unsteady  float64 // chance that a time begins in which half of all fails
}

var habits = []habit{
	{0.0027, 0.0004, 11, 0.0005},
	{0.0045, 0.0004, 16, 0.0005},
	{0.0033, 0.0004, 34, 0.0005},
	{0.0007, 0.0010, 25, 0.0002},
	{0.05, 0.001, 30, 0.002},
	{0.10, 0.002, 30, 0.002},
	{0.02, 0.004, 60, 0.001},
	{0, 1, 1 << 30, 0}, // never up
}

// service is one service of the patterns.
type service struct {
	habit    habit
	down     int // steps that an outage or transient failure goes on for
	unsteady int // steps that half of all fails
}

// step moves the service on and reports whether an invocation would succeed.
func (s *service) step(random *rand.Rand) bool {
	switch {
	case s.down > 0:
	case random.Float64() < s.habit.outage:
		s.down = 3 + random.IntN(s.habit.longest)
	case random.Float64() < s.habit.transient:
		s.down = 1 + random.IntN(2)
	}
	if s.unsteady == 0 && random.Float64() < s.habit.unsteady {
		s.unsteady = 10 + random.IntN(20)
	}
	up := s.down == 0
	if s.unsteady > 0 {
		s.unsteady--
		up = up && random.IntN(2) == 0
	}
	s.down = max(s.down-1, 0)
	return up
}

// selector chooses among services by their estimators: any of those with
// nothing against them, else the most available, else the one that was not
// asked for the longest time.
type selector struct {
	estimators []mtchoice.Estimator
	asked      []int
	random     *rand.Rand
}

func (s *selector) pick() int {
	var best []int
	for i, e := range s.estimators {
		switch {
		case len(best) == 0 || s.better(e, s.estimators[best[0]]):
			best = append(best[:0], i)
		case !s.better(s.estimators[best[0]], e):
			best = append(best, i)
		}
	}
	if !s.estimators[best[0]].Down() {
		return best[s.random.IntN(len(best))]
	}
	first := best[0]
	for i := range s.estimators {
		if s.asked[i] < s.asked[first] {
			first = i
		}
	}
	return first
}

// better reports whether one estimate is preferred to another.
func (*selector) better(e, f mtchoice.Estimator) bool {
	if e.Down() != f.Down() {
		return !e.Down()
	}
	return !e.Down() && e.Availability() > f.Availability()
}

// estimators are what is compared.
var estimators = []struct {
	name string
	make func() mtchoice.Estimator
}{
	{"last success", func() mtchoice.Estimator { return mtchoice.NewLastSuccess() }},
	{"streak", func() mtchoice.Estimator { return mtchoice.NewStreak() }},
	{"average", func() mtchoice.Estimator { return mtchoice.NewAverage() }},
	{"status", func() mtchoice.Estimator { return mtchoice.NewStatusIdentification() }},
}

// runPatterns returns the successes in each window, with one invocation a step.
func runPatterns(fresh func() mtchoice.Estimator, seed uint64) []int {
	random := rand.New(rand.NewPCG(seed, 4))
	s := &selector{random: rand.New(rand.NewPCG(seed, 5)), asked: make([]int, patternServers)}
	services := make([]service, patternServers)
	for range patternServers {
		s.estimators = append(s.estimators, fresh())
	}
	successes := make([]int, patternSteps/patternWindow)
	for step := range patternSteps {
		if step%patternWindow == 0 {
			for i, h := range random.Perm(patternServers) {
				services[i] = service{habit: habits[h]}
			}
		}
		chosen := s.pick()
		s.asked[chosen] = step + 1
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

// patternSeeds is how many runs each line of the table is the mean of.
const patternSeeds = 20

// printPatterns prints the successes of each estimator.
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
