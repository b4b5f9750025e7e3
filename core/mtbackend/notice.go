package mtbackend

import (
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Notice is what a daemon knows of an incarnation of a server by the server's answers. The
// daemon beside the server reports it to the others, and they send it back with their calls:
// a restarted daemon has forgotten it, while the others have passed it on to their callers and
// are bound by it. The zero value reports nothing.
type Notice struct {
	Incarnation mtid.ServerIncarnation
	Limited     bool // the server names a rate limit
	Limit       Rate // valid if Limited
	Leaving     bool
}

// IsZero reports whether there is nothing to report.
func (n Notice) IsZero() bool { return !n.Limited && !n.Leaving }

// Report is what the daemon beside a server reports to other daemons with an answer.
type Report struct {
	Notice Notice
	// Unheard is set while the server has answered no call of the reporting process. Then a
	// notice that is missing proves nothing.
	Unheard bool
}

// NoticeTracker tracks the notice of the server beside another daemon by that daemon's reports.
// The zero value has none. A NoticeTracker is not safe for concurrent use.
type NoticeTracker struct {
	incarnation mtid.ServerIncarnation
	limit       LimitTracker
	leaving     bool
}

// Observe processes a report that arrives now, in reply to a message that was sent at the given
// time. Leaving is never taken back.
func (t *NoticeTracker) Observe(now, sent mtclock.Instant, r Report) {
	n := r.Notice
	if !n.IsZero() && n.Incarnation != t.incarnation {
		*t = NoticeTracker{incarnation: n.Incarnation}
	}
	t.leaving = t.leaving || n.Leaving
	if n.Limited || !r.Unheard {
		t.limit.Observe(now, sent, Signals{Source: SourceAnswer, Limit: RateLimit{Named: n.Limited, Rate: n.Limit}}, Unlimited)
	}
}

// Notice returns the current notice.
func (t *NoticeTracker) Notice() Notice {
	limit := t.limit.Rate()
	n := Notice{Incarnation: t.incarnation, Leaving: t.leaving, Limited: limit < Unlimited}
	if n.Limited {
		n.Limit = limit
	}
	return n
}
