package mtgate

import (
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Effect is an action for the caller of the gate: Start, Refuse, RangeIdle or Idle.
type Effect interface{ effect() }

// Start means that the request is to be sent to the backend server now. Done must
// be called when it has ended, whatever its outcome.
type Start struct{ Ticket Ticket }

// Refuse means that the caller is to receive Err. The request was not run.
type Refuse struct {
	Ticket Ticket
	Err    *mtreply.RefusedError
}

// RangeIdle reports that a stopped range has no requests in flight. It is emitted once
// per Stop.
type RangeIdle struct{ Low, High mtid.Point }

// Idle reports that no requests are in flight after Drain. It is emitted once.
type Idle struct{}

func (Start) effect()     {}
func (Refuse) effect()    {}
func (RangeIdle) effect() {}
func (Idle) effect()      {}
