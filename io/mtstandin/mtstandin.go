// Package mtstandin holds the small programs that take the place of what is
// around the system: backend servers, and callers that load it. What both write
// down is judged by core/mtaudit.
//
// A Server announces itself to its daemon every second, runs requests in slots
// with a service time drawn from a distribution, honours epochs, deadlines and
// cancellation as it is told to, and journals each run before it begins and
// after it ends. A Load sends requests at a fixed rate whatever becomes of the
// earlier ones, and measures from when each was due, so that a stall of the
// system shows in every request that it held up.
//
// # Usage
//
//	server, cleanUp, err := mtstandin.NewServer(setting, journal, crash)
//	go http.Serve(listener, server)
//
//	load, cleanUp, err := mtstandin.NewLoad(setting, records)
//	summary := load.Run(ctx)
package mtstandin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// SettingError says that a setting is outside its accepted range.
type SettingError struct {
	Field  string
	Value  string
	Accept string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("stand-in: %s is %q, accepted: %s", e.Field, e.Value, e.Accept)
}

// Shape is the distribution of a service time around its mean.
type Shape string

// The shapes of service time.
const (
	Fixed       Shape = "fixed"
	Exponential Shape = "exponential"
	LogNormal   Shape = "lognormal" // with a sigma of one: a long tail
)

// ServiceTime says how long a server works on a request.
type ServiceTime struct {
	Shape Shape
	Mean  time.Duration
}

func (s ServiceTime) check() error {
	switch s.Shape {
	case Fixed, Exponential, LogNormal:
	default:
		return &SettingError{Field: "shape", Value: string(s.Shape), Accept: "fixed, exponential or lognormal"}
	}
	if s.Mean < 0 {
		return &SettingError{Field: "mean", Value: s.Mean.String(), Accept: "0s or more"}
	}
	return nil
}

// draw returns a service time from a source of randomness.
func (s ServiceTime) draw(source *rand.Rand) time.Duration {
	mean := float64(s.Mean)
	switch s.Shape {
	case Exponential:
		return time.Duration(source.ExpFloat64() * mean)
	case LogNormal:
		// exp(N(0,1)) has a mean of exp(1/2).
		return time.Duration(math.Exp(source.NormFloat64()-0.5) * mean)
	}
	return s.Mean
}

// dice is a seeded source of randomness that goroutines share.
type dice struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{source: rand.New(rand.NewPCG(seed, seed))}
}

func (d *dice) draw(s ServiceTime) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.draw(d.source)
}
