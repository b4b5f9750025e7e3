package mtgrant

import (
	"context"
	"errors"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
)

// outcome is what is known of a write.
type outcome int

const (
	refused outcome = iota // it has not been written and never will be
	beaten                 // the same, since another one was written first
	written
	doubtful // it may have been written, or may be later
)

// write writes an assignment.
func (g *Grants) write(ctx context.Context, conditions []mtstore.Condition, next *mtrange.Table, expected mtid.Version, why string) outcome {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := next.Encode()
	if err != nil {
		g.Log.Error("assignment can't be encoded", "error", err)
		return refused
	}
	name := mtstore.RangeName(g.Service)
	version, err := g.Store.SwapIf(ctx, conditions, name, expected, value, "")
	if err == nil {
		g.Log.Info("assignment written", "why", why, "service", g.Service, "version", uint64(version), "epoch", uint64(next.Next))
		g.Directory.Learn(mtdirectory.Assignment{Table: next, Version: version})
		return written
	}
	g.Log.Warn("assignment not written", "why", why, "expected", uint64(expected), "error", err)
	var unknown *mtstore.UnknownError
	if errors.As(err, &unknown) {
		return doubtful
	}
	if g.adoptWinner(err) {
		return beaten
	}
	return refused
}

// adoptWinner takes in the assignment that won over a write, which the conflict
// tells, and reports whether one did. Other conditions may have failed too; they
// say nothing of it.
func (g *Grants) adoptWinner(err error) bool {
	var conflict *mtstore.ConflictError
	if !errors.As(err, &conflict) || conflict.Name != mtstore.RangeName(g.Service) || conflict.Current.Version == 0 {
		return false
	}
	table, err := mtrange.Decode(conflict.Current.Value)
	if err != nil {
		g.Log.Error("assignment passed over", "service", g.Service, "error", err)
		return false
	}
	g.Directory.Learn(mtdirectory.Assignment{Table: table, Version: conflict.Current.Version})
	return true
}
