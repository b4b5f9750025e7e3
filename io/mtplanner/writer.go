package mtplanner

import (
	"context"
	"errors"
	"log/slog"

	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
)

// writer applies operations to chunks in the store.
//
// A write whose reply is lost may still take effect later. The planner does not have
// to wait for the outcome, since create, split and merge change no owner and nothing
// that it does next depends on them. The next write of the chunk is based on the
// version that the view then has. If it succeeds, the version has changed and the lost
// write can't take effect any more. If it conflicts, the conflict shows the current
// version.
type writer struct {
	store      mtstore.Store
	newWriteID func() mtroster.WriteID
	log        *slog.Logger
}

// write writes the chunk with ops applied and reports whether the write is known to
// have taken effect. A failure is only logged, since the next round makes a new plan
// from the current table.
func (w *writer) write(ctx context.Context, table *mtshard.Table, ops ...mtshard.Op) bool {
	writeID := w.newWriteID()
	next, err := table.Apply(writeID, ops...)
	if err != nil {
		w.log.Warn("cannot apply planned operations to the table", "service", table.Service, "chunk", table.Chunk, "error", err)
		return false
	}
	value, err := next.Encode()
	if err != nil {
		w.log.Error("cannot encode a chunk", "service", table.Service, "chunk", table.Chunk, "error", err)
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
		return w.tookEffect(ctx, name, writeID)
	}
	w.log.Warn("chunk not written", "service", table.Service, "chunk", table.Chunk, "error", err)
	return false
}

// tookEffect reads the chunk after a write whose reply was lost and reports whether it
// contains the write ID. If it does not, the write may still take effect later; it
// counts as not written.
func (w *writer) tookEffect(ctx context.Context, name string, writeID mtroster.WriteID) bool {
	entry, err := w.store.Get(ctx, name)
	if err != nil {
		w.log.Warn("cannot determine the outcome of a write", "name", name, "error", err)
		return false
	}
	table, err := mtshard.Decode(entry.Value)
	if err != nil {
		w.log.Error("cannot decode a stored chunk", "name", name, "error", err)
		return false
	}
	_, found := table.FindStep(writeID)
	return found
}
