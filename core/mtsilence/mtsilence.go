// Package mtsilence decides when a daemon that does not answer is passed over, and
// when it is asked whether it is back.
//
// A daemon that is frozen, powerless or cut off refuses nothing: a call that is sent
// to it hangs until its deadline. So each call waits for a sign of its arrival, and
// when there is none for longer than this daemon usually takes, the next calls are
// refused at once or go elsewhere. Whether it is back is asked by probes and never by
// calls: while a third of the VMs was cut off for twelve seconds, every call that
// tried again after a second of silence was lost with all that followed it for 0.6 s,
// more than a third of the calls to them.
//
// The time goes by what was seen of the daemon, as TCP does it: a few milliseconds
// are usual, but a narrow link that is full takes hundreds.
//
// # Usage
//
//	silences := mtsilence.New()
//	silences.Answered(address, took) // a call or a probe has arrived there
//	if silences.Suspect(now, address) { ... } // none has for Patience(address): probe it
//	if silences.Silent(now, address) { ... } // send no call there
//	pause, more := silences.Missed(now, address) // a probe was not answered either
//
// A Silences isn't safe for concurrent use.
package mtsilence

import (
	"time"

	"magnoliaturn/core/mtclock"
)

const (
	// leastPatience is how long a sign of arrival may take at least: a lost packet
	// is sent again after 200 ms, and one loss proves nothing.
	leastPatience = 250 * time.Millisecond
	// mostPatience bounds it: two packets in a row that are lost take 600 ms.
	mostPatience = 600 * time.Millisecond
	// deviations is by how many mean deviations a sign may be later than usual; TCP
	// takes four for its own timer.
	deviations = 4
	// firstPause is between the first two probes, and mostPause between later ones:
	// the one bounds how long a daemon that is back stays without calls after a
	// short cut, the other what probing one costs that is gone.
	firstPause = 100 * time.Millisecond
	mostPause  = 400 * time.Millisecond
	// unasked is how long after the last call for it a silent daemon is probed.
	unasked = 3 * time.Second
)

// peer is what is known of one daemon.
type peer struct {
	mean      time.Duration
	deviation time.Duration
	silent    bool
	pause     time.Duration   // before the next probe
	asked     mtclock.Instant // last call that was meant for it while it was silent
}

// Silences is what one daemon knows of the others, by address.
type Silences struct{ peers map[string]*peer }

// New returns a Silences that knows nobody.
func New() *Silences { return &Silences{peers: make(map[string]*peer)} }

func (s *Silences) at(address string) *peer {
	p, ok := s.peers[address]
	if !ok {
		p = &peer{}
		s.peers[address] = p
	}
	return p
}

// Answered notes that a sign came from a daemon after so long.
func (s *Silences) Answered(address string, took time.Duration) {
	p := s.at(address)
	p.silent = false
	if p.mean == 0 {
		p.mean, p.deviation = took, took/2
		return
	}
	off := took - p.mean
	p.mean += off / 8
	p.deviation += (max(off, -off) - p.deviation) / 4
}

// Patience returns how long to wait for a sign from a daemon.
func (s *Silences) Patience(address string) time.Duration {
	p, ok := s.peers[address]
	if !ok {
		return mostPatience
	}
	return min(max(p.mean+deviations*p.deviation, leastPatience), mostPatience)
}

// Suspect notes that no sign came in time, and reports whether the daemon has to be
// probed from now on: it was not silent before.
func (s *Silences) Suspect(now mtclock.Instant, address string) bool {
	p := s.at(address)
	if p.silent {
		return false
	}
	p.silent, p.pause, p.asked = true, firstPause, now
	return true
}

// Silent reports whether a daemon is passed over. It is called for each call that is
// meant for it.
func (s *Silences) Silent(now mtclock.Instant, address string) bool {
	p, ok := s.peers[address]
	if !ok || !p.silent {
		return false
	}
	p.asked = now
	return true
}

// Missed notes that a probe was not answered, and returns the pause before the next
// one, or false if nobody has asked for the daemon for a while. What is known of it
// is forgotten then, and the next call finds out.
func (s *Silences) Missed(now mtclock.Instant, address string) (time.Duration, bool) {
	p, ok := s.peers[address]
	if !ok || !p.silent || now.Sub(p.asked) > unasked {
		delete(s.peers, address)
		return 0, false
	}
	pause := p.pause
	p.pause = min(2*p.pause, mostPause)
	return pause, true
}
