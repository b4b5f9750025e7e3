package mtkernel_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtkernel"
)

type store interface{ Get() string }

type memory struct{}

func (memory) Get() string { return "value" }

var errListen = errors.New("listener failed")

func TestLookupByNameAndType(t *testing.T) {
	k := mtkernel.New()
	assert.NilError(t, mtkernel.Register[store](k, "store", memory{}, nil))
	found, err := mtkernel.Lookup[store](k, "store")
	assert.NilError(t, err)
	assert.Equal(t, found.Get(), "value")

	var duplicate *mtkernel.DuplicateError
	assert.Assert(t, errors.As(mtkernel.Register[store](k, "store", memory{}, nil), &duplicate))
	assert.Equal(t, duplicate.Name, mtkernel.Name("store"))

	_, err = mtkernel.Lookup[store](k, "shop")
	var missing *mtkernel.MissingError
	assert.Assert(t, errors.As(err, &missing))
	assert.Equal(t, missing.Name, mtkernel.Name("shop"))

	_, err = mtkernel.Lookup[int](k, "store")
	var wrong *mtkernel.TypeError
	assert.Assert(t, errors.As(err, &wrong))
	assert.Equal(t, wrong.Want, "int")
}

// A listener fails while a daemon runs. Everything else must stop too, in reverse
// order of registration, and Run must return the listener's error.
func TestFirstTaskToEndStopsAll(t *testing.T) {
	k := mtkernel.New()
	var ended []mtkernel.Name
	for _, name := range []mtkernel.Name{"store", "lease", "listener"} {
		assert.NilError(t, mtkernel.Register(k, name, 1, func() { ended = append(ended, name) }))
	}
	stopped := make(chan struct{})
	k.AddTask(func() error { <-stopped; return nil }, func(error) { close(stopped) })
	k.AddTask(func() error { return errListen }, func(error) {})
	assert.ErrorIs(t, k.Run(context.Background()), errListen)
	assert.DeepEqual(t, ended, []mtkernel.Name{"listener", "lease", "store"})
	k.Close()
	assert.Equal(t, len(ended), 3, "the clean-ups ran twice")
}

func TestRunEndsWhenContextIsCanceled(t *testing.T) {
	k := mtkernel.New()
	stopped := make(chan struct{})
	k.AddTask(func() error { <-stopped; return nil }, func(error) { close(stopped) })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, k.Run(ctx))
}
