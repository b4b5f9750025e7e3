// Package mtstandin implements stand-ins for the system's environment: backend
// servers, callers that generate load, and a store. core/mtaudit checks the
// journals of the servers against the records of the callers.
//
// A Server announces itself to its daemon periodically, runs requests in slots
// with a service time drawn from a distribution, honours epochs, deadlines and
// cancellation as configured, and journals each run before it begins and after it
// ends. A Load sends requests at a fixed rate regardless of the outcome of earlier
// ones and measures latency from the scheduled send time, so that a stall of the
// system shows in every request that it delayed.
//
// # Usage
//
//	server, cleanUp, err := mtstandin.NewServer(setting, journal, crash)
//	go http.Serve(listener, server)
//
//	load, cleanUp, err := mtstandin.NewLoad(setting, records, nil)
//	summary := load.Run(ctx)
package mtstandin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// SettingError reports a setting whose value is not accepted.
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

// The supported shapes of the service time.
const (
	Fixed       Shape = "fixed"
	Exponential Shape = "exponential"
	LogNormal   Shape = "lognormal" // sigma 1, a long tail
)

// ServiceTime is the distribution of the time that a server spends on a request.
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

// draw returns a random service time.
func (s ServiceTime) draw(source *rand.Rand) time.Duration {
	mean := float64(s.Mean)
	switch s.Shape {
	case Exponential:
		return time.Duration(source.ExpFloat64() * mean)
	case LogNormal:
		// exp(N(0,1)) has mean exp(1/2).
		return time.Duration(math.Exp(source.NormFloat64()-0.5) * mean)
	}
	return s.Mean
}

// sharedRand is a seeded random source that is safe for concurrent use.
type sharedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newSharedRand(seed uint64) *sharedRand {
	return &sharedRand{source: rand.New(rand.NewPCG(seed, seed))}
}

func (r *sharedRand) draw(s ServiceTime) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.draw(r.source)
}
