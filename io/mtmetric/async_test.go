package mtmetric_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/io/mtmetric"
)

// stalled is a writer that blocks until its gate is closed.
type stalled struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func (s *stalled) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

// A stalled reader of the logs must not block requests that write log lines.
// Lines are dropped and counted when the buffer is full.
func TestStalledReaderDoesNotBlockWrites(t *testing.T) {
	reader := &stalled{unblock: make(chan struct{})}
	w, flush := mtmetric.Async(reader)
	const lines = 10_000
	for range lines {
		n, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	close(reader.unblock)
	_, err := w.Write([]byte("last\n"))
	assert.NilError(t, err)
	flush()
	text := reader.text()
	assert.Assert(t, strings.Contains(text, `"msg":"log lines were left out"`), "dropped lines were not reported")
	assert.Assert(t, strings.Count(text, "line\n") < lines)
}

// A reader of the logs that stays stalled must not delay the exit of the process.
func TestCleanUpDoesNotWaitForStalledReader(*testing.T) {
	reader := &stalled{unblock: make(chan struct{})}
	w, flush := mtmetric.Async(reader)
	_, _ = w.Write([]byte("line\n"))
	flush()
	close(reader.unblock)
}
