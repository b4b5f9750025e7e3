// Package mtload measures the load of shards at the gates and reports it to the
// daemon that plans for the service, using a few bytes per second.
//
// Load is offered work in slots: arrivals per second, including refused ones,
// times the mean time that a request occupies a slot of the backend server.
// Unlike completed work, it keeps growing beyond the server's slots, so that
// the load of a key that is too hot for its server is known in full. The load
// that a server reports about itself is not used.
//
// Meter counts at the gate. ReportScheduler decides when a daemon reports: at
// once when its load leaves the band around the mean of the fleet, and rarely
// otherwise. The absence of reports thus means that the load is within the
// band, and the planning daemon is not flooded. Estimates holds the reported
// loads and follows shards as they split, merge and move.
//
// # Usage
//
//	meter.Arrive(now, shard.Low, point)
//	meter.Finish(occupied)
//	report := meter.Report(now, self, ref, owns)
//	if scheduler.Due(now, self, leader, report.Load/slots, spread) { ... send report ... }
//	estimates.AddReport(now, report, owned)
//
// Meter is safe for concurrent use; ReportScheduler and Estimates are not.
package mtload

import (
	"math"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
)

// Limits of a report. They keep its encoded form under MaxReport bytes with
// names of up to 64 bytes.
const (
	MaxShards = 16
	MaxPoints = 8
	MaxReport = 560
)

// MaxLoad is the largest load in slots that a report can hold. Larger loads are
// reported as MaxLoad.
const MaxLoad = 1e6

// MaxMean is the largest mean that a reply can hold.
const MaxMean = 1000

// meanUnits is the number of wire units per unit of the mean.
const meanUnits = 1e6

// unitsPerSlot is the number of wire units per slot of load.
const unitsPerSlot = 1000

// ShardLoad is the load of the shard that begins at Low.
type ShardLoad struct {
	Low  mtid.Point
	Load float64 // in slots
}

// PointLoad is the load of the key at Point.
type PointLoad struct {
	Point mtid.Point
	Load  float64 // in slots
}

// Report is the load that one daemon measured on its shards of one service.
type Report struct {
	From    mtid.Holder
	Service mtid.Ref
	// Sequence increases with each measurement. A report with the same Sequence
	// as the last one holds no new measurement: its sender has stopped
	// measuring.
	Sequence uint64
	Load     float64     // of all shards, in slots
	Shards   []ShardLoad // the heaviest shards, heaviest first
	Points   []PointLoad // the heaviest keys, heaviest first
}

// Wire returns the wire form of r, truncated to the limits.
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

// FieldError reports a field of a load report that violates its limits.
type FieldError struct {
	Field  string
	Accept string
}

// Error names the field and the values that it accepts.
func (e *FieldError) Error() string { return "load report: " + e.Field + " must be " + e.Accept }

// Read decodes a load report. It fails with a *FieldError.
func Read(w *mtwire.LoadReport) (*Report, error) {
	if len(w.GetLows()) > MaxShards || len(w.GetLows()) != len(w.GetLoads()) {
		return nil, &FieldError{Field: "shards", Accept: "two columns of equal length, at most 16"}
	}
	if len(w.GetPoints()) > MaxPoints || len(w.GetPoints()) != len(w.GetPointLoads()) {
		return nil, &FieldError{Field: "points", Accept: "two columns of equal length, at most 8"}
	}
	r := &Report{
		From:     mtroster.HolderFromWire(w.GetFrom()),
		Service:  mtid.Ref{Business: mtid.Business(w.GetBusiness()), Service: mtid.Service(w.GetService())},
		Sequence: w.GetSequence(),
		Load:     slots(w.GetLoad()),
	}
	if r.From.IsZero() {
		return nil, &FieldError{Field: "from", Accept: "a non-zero holder"}
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

// Reply is the planner's reply to a report.
type Reply struct {
	Mean  float64       // load per slot over all servers
	Pause time.Duration // minimum time until the next report
	Again bool          // whether the planner needs another report soon even if nothing changes
}

// Wire returns the wire form of r.
func (r Reply) Wire() *mtwire.LoadReply {
	return &mtwire.LoadReply{
		Mean:    uint32(math.Round(min(max(r.Mean, 0), MaxMean) * meanUnits)),
		PauseMs: uint32(r.Pause.Milliseconds()),
		Again:   r.Again,
		Leader:  true,
	}
}

// ReadReply decodes a reply, or returns false if its sender does not plan for
// the service.
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
