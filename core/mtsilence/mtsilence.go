// Package mtsilence detects daemons that do not respond, so that no calls are sent to
// them, and decides when they are probed.
//
// A daemon that is frozen, without power or disconnected refuses nothing: a call sent
// to it hangs until its deadline. So each call waits for an acknowledgment, and when
// none arrives within the usual time of this daemon, the next calls are refused at once
// or go elsewhere. Only probes, never calls, find out whether the daemon is available
// again. When calls retried after one second without a response, while a third of the
// VMs was disconnected for twelve seconds, each retry was lost with all calls that
// followed within 0.6 s: more than a third of the calls to these VMs.
//
// The timeout adapts to the response times of the daemon, like the retransmission timer
// of TCP: a few milliseconds are usual, but a saturated slow link takes hundreds.
//
// # Usage
//
//	detector := mtsilence.New()
//	detector.Answered(address, took) // a call or a probe was acknowledged
//	if detector.Suspect(now, address) { ... } // no response for Timeout(address): probe it
//	if detector.Unresponsive(now, address) { ... } // send no calls there
//	pause, more := detector.ProbeFailed(now, address) // a probe was not acknowledged either
//
// A Detector is not safe for concurrent use.
package mtsilence

import (
	"time"

	"magnoliaturn/core/mtclock"
)

const (
	// minTimeout is the minimum time to wait for an acknowledgment. A lost packet is
	// retransmitted after 200 ms, and a single loss proves nothing.
	minTimeout = 250 * time.Millisecond
	// maxTimeout bounds the wait. Two lost packets in a row take 600 ms.
	maxTimeout = 600 * time.Millisecond
	// timeoutDeviations is the number of mean deviations that an acknowledgment may be
	// later than the mean. TCP uses four for its retransmission timer.
	timeoutDeviations = 4
	// minProbePause is the pause between the first two probes, and maxProbePause the
	// limit for later ones. The former bounds how long a daemon gets no calls after a
	// short disconnection, the latter the cost of probing a terminated one.
	minProbePause = 100 * time.Millisecond
	maxProbePause = 400 * time.Millisecond
	// probeIdleLimit is how long an unresponsive daemon is probed after the last call
	// that was intended for it.
	probeIdleLimit = 3 * time.Second
)

// peer holds the response times and the state of one daemon.
type peer struct {
	mean         time.Duration
	deviation    time.Duration
	unresponsive bool
	pause        time.Duration   // before the next probe
	lastCall     mtclock.Instant // last call intended for it while it was unresponsive
}

// Detector tracks which of the other daemons respond, by address.
type Detector struct{ peers map[string]*peer }

// New returns a detector to which all daemons are unknown.
func New() *Detector { return &Detector{peers: make(map[string]*peer)} }

func (d *Detector) at(address string) *peer {
	p, ok := d.peers[address]
	if !ok {
		p = &peer{}
		d.peers[address] = p
	}
	return p
}

// Answered records that a daemon acknowledged a call or a probe after the given time.
func (d *Detector) Answered(address string, took time.Duration) {
	p := d.at(address)
	p.unresponsive = false
	if p.mean == 0 {
		p.mean, p.deviation = took, took/2
		return
	}
	diff := took - p.mean
	p.mean += diff / 8
	p.deviation += (max(diff, -diff) - p.deviation) / 4
}

// Timeout returns how long to wait for an acknowledgment from a daemon.
func (d *Detector) Timeout(address string) time.Duration {
	p, ok := d.peers[address]
	if !ok {
		return maxTimeout
	}
	return min(max(p.mean+timeoutDeviations*p.deviation, minTimeout), maxTimeout)
}

// Suspect records that no acknowledgment arrived in time. It returns true if the daemon
// was not unresponsive before, so that the caller has to start probing it.
func (d *Detector) Suspect(now mtclock.Instant, address string) bool {
	p := d.at(address)
	if p.unresponsive {
		return false
	}
	p.unresponsive, p.pause, p.lastCall = true, minProbePause, now
	return true
}

// Unresponsive reports whether a daemon is unresponsive, so that no calls should be sent
// to it. It must be called for each call intended for the daemon.
func (d *Detector) Unresponsive(now mtclock.Instant, address string) bool {
	p, ok := d.peers[address]
	if !ok || !p.unresponsive {
		return false
	}
	p.lastCall = now
	return true
}

// ProbeFailed records that a probe was not acknowledged, and returns the pause before the
// next one. It returns false if no call has been intended for the daemon for a while;
// its state is dropped then, and the next call goes through.
func (d *Detector) ProbeFailed(now mtclock.Instant, address string) (time.Duration, bool) {
	p, ok := d.peers[address]
	if !ok || !p.unresponsive || now.Sub(p.lastCall) > probeIdleLimit {
		delete(d.peers, address)
		return 0, false
	}
	pause := p.pause
	p.pause = min(2*p.pause, maxProbePause)
	return pause, true
}
