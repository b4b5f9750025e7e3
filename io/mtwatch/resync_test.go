package mtwatch_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtwatch"
)

// heldSource holds each full read until it may end, or is canceled.
type heldSource struct {
	begun, end chan struct{}
	ended      chan error
}

// Watch implements mtwatch.Source.
func (s *heldSource) Watch(ctx context.Context, _ string, after mtid.Revision, _ time.Duration) (mtstore.Changes, error) {
	if after != 0 {
		<-ctx.Done()
		return mtstore.Changes{}, ctx.Err()
	}
	s.begun <- struct{}{}
	select {
	case <-s.end:
		s.ended <- nil
		return mtstore.Changes{Revision: 7}, nil
	case <-ctx.Done():
		s.ended <- ctx.Err()
		return mtstore.Changes{}, ctx.Err()
	}
}

// Guards against a full read over a slow link that never ends, since each call of Resync begins it anew.
func TestResyncLetsFullReadEnd(t *testing.T) {
	s := &heldSource{begun: make(chan struct{}, 16), end: make(chan struct{}), ended: make(chan error, 16)}
	w, stop := mtwatch.Start(mtwatch.Config{Source: s, Apply: func(mtwatch.Update) {}, Log: slog.New(slog.DiscardHandler)})
	defer stop()
	<-s.begun
	now := time.Now()
	for i := range 5 {
		w.Resync(now.Add(time.Duration(i) * time.Second))
	}
	s.end <- struct{}{}
	assert.NilError(t, <-s.ended)
	for i := 0; ; i++ { // what the read has missed
		w.Resync(now.Add(time.Duration(i) * time.Minute))
		select {
		case <-s.begun:
			return
		case <-time.After(time.Millisecond):
		}
	}
}
