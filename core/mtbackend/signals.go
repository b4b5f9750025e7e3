package mtbackend

import (
	"math"
	"slices"

	"magnoliaturn/core/mtclock"
)

// Rate is a number of requests per second.
type Rate float64

// Unlimited is the rate of a server that names no limit.
const Unlimited = Rate(math.MaxFloat64)

// RateLimit is what an answer of a server says about the rate of requests that the server
// takes from all daemons together.
type RateLimit struct {
	Named      bool // the answer names a limit
	Unreadable bool // the limit can't be read as a rate
	Rate       Rate // the limit, if it is readable
}

// SignalSource is the kind of message that carried a server's Signals.
type SignalSource string

// The sources of signals.
const (
	SourceAnswer      SignalSource = "answer"  // to a call that the server ran
	SourceRefusal     SignalSource = "refusal" // of a call
	SourceHealthCheck SignalSource = "health"
	SourcePeer        SignalSource = "peer" // another daemon that has passed such an answer on
)

// Signals are what a server reports about itself beside an answer.
type Signals struct {
	Source SignalSource
	// Slowness is how long work takes on the server's machine, as a multiple of the usual
	// time; zero if it isn't reported.
	Slowness float64
	Limit    RateLimit
	Leaving  bool   // the server will exit, and is to get no new work
	Invalid  string // the text of what could not be read, for the log
}

// LimitTracker tracks the rate limit of one incarnation of a server. A limit is in force
// from the first answer that names it until an answer that names none.
//
// Answers on different connections may overtake each other, so that the last one to
// arrive need not be the newest. Only an answer to a call that was sent after another
// answer had arrived is certainly newer than that one. Until there is such an answer the
// lowest limit counts: an older, higher one would send the server more than it takes.
//
// The zero value has no limit. A LimitTracker is not safe for concurrent use.
type LimitTracker struct {
	// named are the limits that no newer answer has replaced, in ascending order.
	named []namedLimit
}

type namedLimit struct {
	rate      Rate
	arrivedAt mtclock.Instant
}

// Observe processes an answer that arrives now, to a call that was sent at the given time.
// Only an answer to a call that the server ran ends a limit by naming none: whether
// servers name limits in refusals and in replies to health checks is not known. A limit
// that can't be read keeps the present one in force, or starts with the fallback.
func (l *LimitTracker) Observe(now, sent mtclock.Instant, s Signals, fallback Rate) {
	if !s.Limit.Named && s.Source != SourceAnswer {
		return
	}
	rate := s.Limit.Rate
	if s.Limit.Unreadable {
		rate = min(l.Rate(), fallback)
	}
	l.named = slices.DeleteFunc(l.named, func(n namedLimit) bool { return n.arrivedAt.Before(sent) })
	if !s.Limit.Named {
		return
	}
	l.add(namedLimit{rate: rate, arrivedAt: now})
}

// Assume puts a limit in force that the server named to a previous process. Any answer to a
// call of this process is newer.
func (l *LimitTracker) Assume(rate Rate) { l.add(namedLimit{rate: rate}) }

// add adds a limit. The higher ones before it count no more.
func (l *LimitTracker) add(n namedLimit) {
	l.named = slices.DeleteFunc(l.named, func(o namedLimit) bool { return o.rate >= n.rate })
	l.named = append(l.named, n)
}

// Rate returns the limit in force, or Unlimited.
func (l *LimitTracker) Rate() Rate {
	if len(l.named) == 0 {
		return Unlimited
	}
	return l.named[0].rate
}
