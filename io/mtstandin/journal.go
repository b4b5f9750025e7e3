package mtstandin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// Journal writes records as JSON lines, each in a single write, so that only the
// last line can be incomplete if the process is killed. It is safe for concurrent
// use.
type Journal[T any] struct {
	mu  sync.Mutex
	to  io.Writer
	err error
}

// NewJournal returns a journal that writes to to, which must be unbuffered: lines
// already written must survive if the process is killed.
func NewJournal[T any](to io.Writer) *Journal[T] {
	return &Journal[T]{to: to}
}

// Write appends a record. After a failure, which Err returns, all later records are
// dropped: an audit would draw wrong conclusions from a journal with a gap.
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

// Err returns the first error of Write, or nil.
func (j *Journal[T]) Err() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.err
}

// LineError reports a journal line that could not be read or decoded.
type LineError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("journal: line %d: %v", e.Line, e.Err) }

// Unwrap returns the error of the reader or of the JSON decoder.
func (e *LineError) Unwrap() error { return e.Err }

// ReadJournal returns the records of a journal. A last line without a newline is
// ignored: its process was killed while writing it. It fails with a *LineError.
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
