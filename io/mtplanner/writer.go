package mtplanner

import (
	"context"
	"errors"
	"log/slog"

	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
)

// writer applies ops to chunks in the store.
//
// A write whose answer is lost may still land later. Nothing that the planner
// does next depends on whether it did: create, split and merge change no owner.
// Hence no wait is needed; the next write of the chunk goes out on the version
// that is then seen. It succeeds and moves the version on, after which the lost
// one can't land any more, or it conflicts, which shows the version that won.
type writer struct {
	store mtstore.Store
	stamp func() mtroster.WriteID
	log   *slog.Logger
}

// write swaps the chunk for the one after ops and reports whether that is known
// to have taken effect. Every failure is logged; the next round plans anew from
// what is then in the store.
func (w *writer) write(ctx context.Context, table *mtshard.Table, ops ...mtshard.Op) bool {
	stamp := w.stamp()
	next, err := table.Apply(stamp, ops...)
	if err != nil {
		w.log.Warn("planned ops don't fit the table", "service", table.Service, "chunk", table.Chunk, "error", err)
		return false
	}
	value, err := next.Encode()
	if err != nil {
		w.log.Error("chunk can't be encoded", "service", table.Service, "chunk", table.Chunk, "error", err)
		return false
	}
	name := mtstore.ShardName(table.Service, table.Chunk)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = w.store.Swap(ctx, name, table.Version, value, "")
	if err == nil {
		w.log.Info("chunk written", "service", table.Service, "chunk", table.Chunk, "version", next.Version, "ops", len(ops))
		return true
	}
	var unknown *mtstore.UnknownError
	if errors.As(err, &unknown) {
		return w.settle(ctx, name, stamp)
	}
	w.log.Warn("chunk not written", "service", table.Service, "chunk", table.Chunk, "error", err)
	return false
}

// settle looks whether a write with a lost answer has landed. A value without
// the stamp proves nothing, and counts as not written.
func (w *writer) settle(ctx context.Context, name string, stamp mtroster.WriteID) bool {
	entry, err := w.store.Get(ctx, name)
	if err != nil {
		w.log.Warn("write in doubt can't be settled yet", "name", name, "error", err)
		return false
	}
	table, err := mtshard.Decode(entry.Value)
	if err != nil {
		w.log.Error("stored chunk can't be read", "name", name, "error", err)
		return false
	}
	_, landed := table.FindStep(stamp)
	return landed
}
