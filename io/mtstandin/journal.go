package mtstandin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// Journal writes records as JSON lines, each by one write, so that the lines
// of a process that is killed are whole but perhaps for the last. It is safe
// for concurrent use.
type Journal[T any] struct {
	mu  sync.Mutex
	to  io.Writer
	err error
}

// NewJournal returns a journal that writes to to, which must not be buffered:
// a line has to outlive the process.
func NewJournal[T any](to io.Writer) *Journal[T] {
	return &Journal[T]{to: to}
}

// Write adds a record. A failure is kept for Err, and all later records are
// dropped: a journal with a gap would prove false things.
func (j *Journal[T]) Write(record T) {
	line, err := json.Marshal(record)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err == nil && err == nil {
		_, err = j.to.Write(append(line, '\n'))
	}
	if j.err == nil {
		j.err = err
	}
}

// Err returns the first failure of the journal.
func (j *Journal[T]) Err() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.err
}

// LineError says which line of a journal can't be read.
type LineError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("journal: line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// ReadJournal returns the records of a journal. A last line without its end
// was cut off with its process and is passed over. It fails with a *LineError.
func ReadJournal[T any](from io.Reader) ([]T, error) {
	var records []T
	lines := bufio.NewReader(from)
	for n := 1; ; n++ {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return records, nil
		}
		if err != nil {
			return nil, &LineError{Line: n, Err: err}
		}
		var record T
		if err := json.Unmarshal(line, &record); err != nil {
			return nil, &LineError{Line: n, Err: err}
		}
		records = append(records, record)
	}
}
