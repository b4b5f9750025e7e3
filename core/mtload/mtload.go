// Package mtload measures the load of shards at the gates and carries it to the
// daemon that plans for the service, within a few bytes a second.
//
// Load is offered work in slots: arrivals a second, refused ones included,
// times the mean time that a request keeps a slot of the backend server. It
// keeps growing past the server's slots, where the work done would not, so a
// key that is too hot for its server is seen in full. What a server says of its
// own load is not used.
//
// Meter counts at the gate. Pace decides when a daemon reports: at once when
// its load leaves the band around the fleet's mean, seldom otherwise, so that
// silence means "in the band" and the planner's daemon isn't flooded. Book
// keeps what was reported and follows shards as they split, merge and move.
//
// # Usage
//
//	meter.Arrive(now, shard.Low, point)
//	meter.Finish(now, busy)
//	report := meter.Report(now, self, ref)
//	if pace.Due(now, report.Load/slots) { ... send report ... }
//	book.Take(now, report, owned)
//
// Meter is safe for concurrent use; Pace and Book are not.
package mtload

import (
	"math"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
)

// Bounds of a report. With them its wire form stays under MaxReport bytes for
// names of up to 64 bytes.
const (
	MaxShards = 16
	MaxPoints = 8
	MaxReport = 560
)

// MaxLoad is the largest load that a report can state, in slots. Larger ones
// are stated as this.
const MaxLoad = 1e6

// MaxMean is the largest mean that a reply can state.
const MaxMean = 1000

// meanUnits is the resolution of the mean on the wire.
const meanUnits = 1e6

// unitsPerSlot is the resolution of loads on the wire.
const unitsPerSlot = 1000

// ShardLoad is the load of one shard.
type ShardLoad struct {
	Low  mtid.Point
	Load float64 // slots
}

// PointLoad is the load of one key.
type PointLoad struct {
	Point mtid.Point
	Load  float64 // slots
}

// Report is what one daemon says of its shards of one service.
type Report struct {
	From    mtid.Holder
	Service mtid.Ref
	// Sequence grows with each measurement. A report that repeats it tells
	// nothing new: its sender's measuring has stopped.
	Sequence uint64
	Load     float64     // of all shards, slots
	Shards   []ShardLoad // the heaviest, heaviest first
	Points   []PointLoad // the heaviest keys, heaviest first
}

// Wire returns the form of r that is sent, cut to the bounds.
func (r *Report) Wire() *mtwire.LoadReport {
	w := &mtwire.LoadReport{
		From:     mtroster.HolderToWire(r.From),
		Business: string(r.Service.Business),
		Service:  string(r.Service.Service),
		Sequence: r.Sequence,
		Load:     units(r.Load),
	}
	for _, s := range r.Shards[:min(len(r.Shards), MaxShards)] {
		w.Lows = append(w.Lows, uint64(s.Low))
		w.Loads = append(w.Loads, units(s.Load))
	}
	for _, p := range r.Points[:min(len(r.Points), MaxPoints)] {
		w.Points = append(w.Points, uint64(p.Point))
		w.PointLoads = append(w.PointLoads, units(p.Load))
	}
	return w
}

// FieldError says that a report breaks its bounds.
type FieldError struct {
	Field  string
	Accept string
}

// Error implements error.
func (e *FieldError) Error() string { return "load: " + e.Field + " must be " + e.Accept }

// Read returns the report that w stands for. It fails with a *FieldError.
func Read(w *mtwire.LoadReport) (*Report, error) {
	if len(w.GetLows()) > MaxShards || len(w.GetLows()) != len(w.GetLoads()) {
		return nil, &FieldError{Field: "shards", Accept: "two equal columns of at most 16"}
	}
	if len(w.GetPoints()) > MaxPoints || len(w.GetPoints()) != len(w.GetPointLoads()) {
		return nil, &FieldError{Field: "points", Accept: "two equal columns of at most 8"}
	}
	r := &Report{
		From:     mtroster.HolderFromWire(w.GetFrom()),
		Service:  mtid.Ref{Business: mtid.Business(w.GetBusiness()), Service: mtid.Service(w.GetService())},
		Sequence: w.GetSequence(),
		Load:     slots(w.GetLoad()),
	}
	if r.From.IsZero() {
		return nil, &FieldError{Field: "from", Accept: "a holder"}
	}
	for i, low := range w.GetLows() {
		r.Shards = append(r.Shards, ShardLoad{Low: mtid.Point(low), Load: slots(w.GetLoads()[i])})
	}
	for i, point := range w.GetPoints() {
		r.Points = append(r.Points, PointLoad{Point: mtid.Point(point), Load: slots(w.GetPointLoads()[i])})
	}
	return r, nil
}

func units(load float64) uint32 {
	return uint32(math.Round(min(max(load, 0), MaxLoad) * unitsPerSlot))
}

func slots(units uint32) float64 { return float64(units) / unitsPerSlot }

// Reply is a planner's answer to a report.
type Reply struct {
	Mean  float64       // load per slot over all servers
	Pause time.Duration // least time until the next report
	Again bool          // whether another report is wanted soon in any case
}

// Wire returns the form of r that is sent.
func (r Reply) Wire() *mtwire.LoadReply {
	return &mtwire.LoadReply{
		Mean:    uint32(math.Round(min(max(r.Mean, 0), MaxMean) * meanUnits)),
		PauseMs: uint32(r.Pause.Milliseconds()),
		Again:   r.Again,
		Leader:  true,
	}
}

// ReadReply returns the reply that w stands for, or false if its sender does
// not plan for the service.
func ReadReply(w *mtwire.LoadReply) (Reply, bool) {
	if !w.GetLeader() {
		return Reply{}, false
	}
	return Reply{
		Mean:  float64(w.GetMean()) / meanUnits,
		Pause: time.Duration(w.GetPauseMs()) * time.Millisecond,
		Again: w.GetAgain(),
	}, true
}
