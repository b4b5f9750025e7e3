package mtretry

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Limits bound the repeats of one service, summed over all daemons: in any window there are at
// most Ratio times the callers' requests for the service, plus Extra. The requests are those of
// the window half a window earlier. The zero value sets no limits.
type Limits struct {
	Ratio  float64       // repeats per request of a caller, 0 to 1
	Extra  int           // repeats in a window that need no requests
	Window time.Duration // length of a window
}

// Set reports whether there are limits.
func (l Limits) Set() bool { return l.Ratio > 0 && l.Window > 0 }

// Prospect is what the retry of a call can achieve. It decides which part of the quota the retry
// may use.
type Prospect int

// Prospects of a call that asks for a retry.
const (
	// InTime is a request of a caller that can still be answered within its objective.
	InTime Prospect = iota
	// Late is a call that would be answered late, or hardly before its deadline.
	Late
	// Nested is a call that a server waits for. If it fails, so does the request that it is
	// part of, whose server has already worked on it.
	Nested
)

const (
	// binsPerWindow is the number of bins in which a window is counted.
	binsPerWindow = 20
	// halfWindow is half a window, in bins.
	halfWindow = binsPerWindow / 2
	// reserve is the part of Limits.Ratio that is kept for repeats outside the window that they
	// are checked for: retries that wait at a server's gate reach it in a later one, and nested
	// repeats aren't refused.
	reserve = 0.1
	// maxKept is the largest part of a quota that is kept for nested calls.
	maxKept = 0.5
	// lateShare is the part of a quota of callers' requests that late ones may use.
	lateShare = 0.5
)

// Start is the kind of a daemon's start, which tells whether it may have made repeats before.
type Start int

// Kinds of start.
const (
	// Restart may follow repeats that the daemon made earlier and doesn't know of.
	Restart Start = iota
	// FirstStart is the first start of a deployment, before which there were no repeats.
	FirstStart
)

// Quota is this daemon's share of the limits on repeats. It keeps a count for each service.
type Quota struct {
	limits   Limits
	start    Start
	started  mtclock.Instant // when the first request was recorded
	services map[mtid.Service]*usage
	counts   Counts
}

// Counts are the totals of a Quota.
type Counts struct {
	Retries       int `json:"retries"`       // retries that were allowed
	Refused       int `json:"refused"`       // retries that were not allowed
	NestedRepeats int `json:"nestedRepeats"` // nested calls of runs that were repeats
}

// NewQuota returns a quota in which nothing is spent.
func NewQuota(limits Limits, start Start) *Quota {
	return &Quota{limits: limits, start: start, services: make(map[mtid.Service]*usage)}
}

// Counts returns the totals since the start.
func (q *Quota) Counts() Counts { return q.counts }

// RecordRequest records a request of a caller, which earns a fraction of a repeat.
func (q *Quota) RecordRequest(now mtclock.Instant, service mtid.Service) {
	q.usage(now, service).current().requests++
}

// RecordNested records the first try of a nested call. If repeat is set, the run that makes the call
// is a repeat, and so is the call: it is charged. It is not refused, since that would waste the run.
func (q *Quota) RecordNested(now mtclock.Instant, service mtid.Service, repeat bool) {
	b := q.usage(now, service).current()
	b.nested++
	if repeat {
		b.repeats++
		q.counts.NestedRepeats++
	}
}

// Spend reports whether a call to a service may be retried, and charges the retry if so. The extra
// repeats are shared evenly among the daemons, whose number is 0 if it is unknown.
func (q *Quota) Spend(now mtclock.Instant, service mtid.Service, daemons int, prospect Prospect) bool {
	u := q.usage(now, service)
	if !u.hasRoom(q.oldest(u), q.limits.Ratio*(1-reserve), q.share(now, daemons), u.part(prospect)) {
		q.counts.Refused++
		return false
	}
	u.current().repeats++
	q.counts.Retries++
	return true
}

// oldest returns the age, in bins, of the first bin of the oldest window whose requests are counted
// half a window earlier. After a first start, windows that began before the first request count their
// own requests.
func (q *Quota) oldest(u *usage) int {
	if q.start == Restart {
		return binsPerWindow
	}
	return int(min(u.newest-u.number(q.started), binsPerWindow))
}

// share returns this daemon's share of the extra repeats. There is none in the first window
// after a restart, because the daemon may have spent it before.
func (q *Quota) share(now mtclock.Instant, daemons int) float64 {
	if daemons <= 0 || q.start == Restart && now.Sub(q.started) <= q.limits.Window {
		return 0
	}
	return float64(q.limits.Extra) / float64(daemons)
}

// usage returns the counts of a service, up to now.
func (q *Quota) usage(now mtclock.Instant, service mtid.Service) *usage {
	if len(q.services) == 0 {
		q.started = now
	}
	u, ok := q.services[service]
	if !ok {
		u = &usage{width: max(q.limits.Window/binsPerWindow, 1)}
		u.newest = u.number(now)
		q.services[service] = u
	}
	u.advance(now)
	return u
}

// bin counts what happened in a part of a window.
type bin struct {
	requests int // of callers
	nested   int // first tries of nested calls
	repeats  int
}

// usage holds the bins of a service.
type usage struct {
	width  time.Duration
	newest int64 // number of the current bin
	bins   [binsPerWindow + halfWindow + 1]bin
}

// number returns the number of the bin of an instant.
func (u *usage) number(now mtclock.Instant) int64 { return int64(now) / int64(u.width) }

// at returns the bin that is a number of bins older than the current one.
func (u *usage) at(age int) *bin {
	n := int64(len(u.bins))
	return &u.bins[((u.newest-int64(age))%n+n)%n]
}

// current returns the bin of the present.
func (u *usage) current() *bin { return u.at(0) }

// advance begins new bins up to now. A clock that goes back stays in the current bin.
func (u *usage) advance(now mtclock.Instant) {
	target := u.number(now)
	if target-u.newest >= int64(len(u.bins)) {
		*u = usage{width: u.width, newest: target}
		return
	}
	for u.newest < target {
		u.newest++
		*u.current() = bin{}
	}
}

// hasRoom reports whether one more repeat fits into a part of the quota, in each window that
// contains the present. A window may begin anywhere in its first bin. So the repeats of that whole
// bin count, but only the requests in bins that are within half a window of any point of it. Windows
// that began before the oldest, if there are any, count all requests so far and the repeats since
// the beginning of the oldest.
func (u *usage) hasRoom(oldest int, ratio, share, part float64) bool {
	repeats, requests, soFar := 1, 0, 0
	for age := range halfWindow {
		requests += u.at(age).requests
	}
	for first := range oldest + 1 {
		repeats += u.at(first).repeats
		soFar += u.at(first).requests
		if float64(repeats) > part*(ratio*float64(requests)+share) {
			return false
		}
		requests += u.at(first + halfWindow).requests
		if latest := first - halfWindow + 1; latest >= 0 {
			requests -= u.at(latest).requests
		}
	}
	return oldest == binsPerWindow || float64(repeats) <= part*(ratio*float64(soFar)+share)
}

// part returns the part of the quota that retries of a prospect may use. The part that nested calls
// make up of all calls is kept for them, and lateShare of the rest is open to late calls.
func (u *usage) part(prospect Prospect) float64 {
	if prospect == Nested {
		return 1
	}
	var nested, all int
	for age := range binsPerWindow {
		b := u.at(age)
		nested += b.nested
		all += b.nested + b.requests
	}
	open := 1 - min(float64(nested)/float64(max(all, 1)), maxKept)
	if prospect == Late {
		return lateShare * open
	}
	return open
}
