package mtmetric_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/io/mtmetric"
)

// stalled is a reader of the logs that takes nothing until it is told to.
type stalled struct {
	gate chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stalled) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// Whoever reads the logs stalls, and requests that log a line stalled with it.
// Lines that find no room are dropped and counted instead.
func TestAStalledReaderBlocksNothing(t *testing.T) {
	reader := &stalled{gate: make(chan struct{})}
	w, flush := mtmetric.Async(reader)
	const lines = 10_000
	for range lines {
		n, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	close(reader.gate)
	_, err := w.Write([]byte("last\n"))
	assert.NilError(t, err)
	flush()
	text := reader.text()
	assert.Assert(t, strings.Contains(text, `"msg":"log lines were left out"`), "nothing was counted")
	assert.Assert(t, strings.Count(text, "line\n") < lines)
}

// A reader that never comes back does not hold up the end of the process either.
func TestTheCleanUpDoesNotWaitForAStalledReader(*testing.T) {
	reader := &stalled{gate: make(chan struct{})}
	w, flush := mtmetric.Async(reader)
	_, _ = w.Write([]byte("line\n"))
	flush()
	close(reader.gate)
}
