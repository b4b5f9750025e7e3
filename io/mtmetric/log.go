package mtmetric

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Bounds of repeated log lines: of each message, Repeats lines in a Quiet time
// are written, and the next one after it tells how many were left out.
const (
	Repeats = 5
	Quiet   = 10 * time.Second
)

// Audit is the level of what operators did. No line of it is left out, however
// many there are; the listener for operators limits how many there can be.
const Audit = slog.LevelInfo + 2

// Sum is the level of regular sums, one line a duty and second at most. None of
// them is left out: lines of single requests are under load.
const Sum = slog.LevelInfo + 1

// maxMessages bounds the messages that are told apart. Messages are constants
// of the program; the bound holds even where one is not.
const maxMessages = 1024

// Logger returns a logger that writes JSON lines to w, from level on. A store
// outage would otherwise write the same line a thousand times a second on every
// VM.
func Logger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(Limit(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})))
}

// Limit returns a handler that passes records on to next, but rates the
// repeats of a message. It goes by the records' own times.
func Limit(next slog.Handler) slog.Handler {
	return &limited{next: next, seen: &seen{messages: make(map[message]*repeat)}}
}

// limited is a handler; those derived from it share what was seen.
type limited struct {
	next slog.Handler
	seen *seen
}

type message struct {
	level slog.Level
	text  string
}

type repeat struct {
	since   time.Time
	written int
	left    int
}

type seen struct {
	mu       sync.Mutex
	messages map[message]*repeat
}

// Enabled implements slog.Handler.
func (l *limited) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *limited) Handle(ctx context.Context, r slog.Record) error {
	if r.Level == Audit || r.Level == Sum {
		return l.next.Handle(ctx, r)
	}
	write, left := l.seen.admit(r.Time, message{level: r.Level, text: r.Message})
	if !write {
		return nil
	}
	if left > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("repeats", left))
	}
	return l.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *limited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limited{next: l.next.WithAttrs(attrs), seen: l.seen}
}

// WithGroup implements slog.Handler.
func (l *limited) WithGroup(name string) slog.Handler {
	return &limited{next: l.next.WithGroup(name), seen: l.seen}
}

// admit reports whether a line is written, and how many like it were left out
// before.
func (s *seen) admit(now time.Time, m message) (write bool, left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.messages[m]
	if !ok {
		if len(s.messages) >= maxMessages {
			clear(s.messages)
		}
		s.messages[m] = &repeat{since: now, written: 1}
		return true, 0
	}
	// A clock that was set back must not silence a message for long.
	if age := now.Sub(r.since); age >= Quiet || age < 0 {
		left = r.left
		*r = repeat{since: now, written: 1}
		return true, left
	}
	if r.written < Repeats {
		r.written++
		return true, 0
	}
	r.left++
	return false, 0
}
