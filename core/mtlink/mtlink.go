// Package mtlink decides whether the network link of a VM has room for the body of a
// request.
//
// A link that takes bodies faster than it transfers them delays every other request to its
// VM, also those that need only a few hundred bytes and whose server has free slots. So a
// daemon asks for room before it sends a body that occupies the link for long, and the
// daemon beside the server grants as much as its link can take. It needs no message when a
// body has arrived, and none when the sender is lost: what it granted counts for as long
// as the transfer takes at most.
//
// # Usage
//
//	if mtlink.NeedsRoom(bandwidth, size) { ask the receiver }
//	inbound := mtlink.NewInbound(bandwidth) // at the receiver
//	if wait := inbound.Reserve(now, size); wait > 0 { refuse, to be retried after wait }
//
// An Inbound isn't safe for concurrent use.
package mtlink

import (
	"math"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
)

// Bytes is the size of a body.
type Bytes int

const (
	// minTransfer is the shortest transfer that needs room. Asking takes a message in each
	// direction, which isn't worthwhile for less.
	minTransfer = 10 * time.Millisecond
	// bodyFraction is the part of the link that bodies with room may use. The rest is for
	// small requests, replies and the messages between daemons.
	bodyFraction = 0.75
	// maxBacklog is the longest delay of small requests behind the bodies in transit. It is
	// a fifth of an objective of half a second, so that most of the time is left for the work.
	maxBacklog = 100 * time.Millisecond
	// maxReserved is the longest time for which one body occupies the link. A sender may
	// announce a size that is wrong, or be lost before it sends.
	maxReserved = time.Second
)

// transfer returns how long a link takes to transfer a body alone, or zero if the
// bandwidth isn't known.
func transfer(bandwidth mtbackend.Bandwidth, size Bytes) time.Duration {
	const bitsPerByte, perMega = 8, 1e6
	if !(bandwidth > 0) || size <= 0 {
		return 0
	}
	seconds := float64(size) * bitsPerByte / (float64(bandwidth) * perMega)
	return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
}

// NeedsRoom reports whether a body occupies a link so long that its sender has to ask for
// room. Without a known bandwidth none does.
func NeedsRoom(bandwidth mtbackend.Bandwidth, size Bytes) bool {
	return transfer(bandwidth, size) >= minTransfer
}

// Inbound tracks the room on the inbound link of a VM.
type Inbound struct {
	bandwidth mtbackend.Bandwidth
	clearAt   mtclock.Instant // when all granted bodies have arrived at the latest
}

// NewInbound returns an Inbound for a link without granted bodies.
func NewInbound(bandwidth mtbackend.Bandwidth) *Inbound { return &Inbound{bandwidth: bandwidth} }

// Reserve grants room for a body and returns zero, or returns the time after which there is
// room again. A body is never too large for an idle link.
func (in *Inbound) Reserve(now mtclock.Instant, size Bytes) (wait time.Duration) {
	backlog := max(in.clearAt.Sub(now), 0)
	if backlog > maxBacklog {
		return backlog - maxBacklog
	}
	occupied := min(transfer(in.bandwidth, size).Seconds()/bodyFraction, maxReserved.Seconds())
	in.clearAt = now.Add(backlog + time.Duration(occupied*float64(time.Second)))
	return 0
}
