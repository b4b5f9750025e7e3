package mtmetric

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Limits for repeated log messages: at most MaxRepeats lines with the same message
// are written in one RepeatInterval. The next line after it has the attribute
// "repeats" with the number of lines that were omitted.
const (
	MaxRepeats     = 5
	RepeatInterval = 10 * time.Second
)

// LevelAudit is the level of log lines about actions of operators. They are never
// omitted; the listener for operators limits their rate.
const LevelAudit = slog.LevelInfo + 2

// LevelSummary is the level of periodic summaries, at most one line per component
// and second. They are never omitted, unlike lines about single requests under
// load.
const LevelSummary = slog.LevelInfo + 1

// maxMessages bounds how many messages are tracked. Messages should be constants
// of the program; the limit bounds memory even if one is not.
const maxMessages = 1024

// Logger returns a logger that writes JSON lines of the given level and above to
// w and limits repeated messages. Without the limit, a store outage would write
// the same line a thousand times a second on every VM.
func Logger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(LimitRepeats(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})))
}

// LimitRepeats returns a handler that passes records to next and omits those that
// repeat a message too often. It measures intervals by the times of the records.
func LimitRepeats(next slog.Handler) slog.Handler {
	return &limited{next: next, messageCounts: &messageCounts{messages: make(map[message]*repeatCount)}}
}

// limited is the handler that LimitRepeats returns. Handlers derived from it with
// WithAttrs or WithGroup share the counts of messages.
type limited struct {
	next          slog.Handler
	messageCounts *messageCounts
}

type message struct {
	level slog.Level
	text  string
}

type repeatCount struct {
	start   time.Time
	written int
	omitted int
}

type messageCounts struct {
	mu       sync.Mutex
	messages map[message]*repeatCount
}

// Enabled implements slog.Handler.
func (l *limited) Enabled(ctx context.Context, level slog.Level) bool {
	return l.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *limited) Handle(ctx context.Context, r slog.Record) error {
	if r.Level == LevelAudit || r.Level == LevelSummary {
		return l.next.Handle(ctx, r)
	}
	write, omitted := l.messageCounts.admit(r.Time, message{level: r.Level, text: r.Message})
	if !write {
		return nil
	}
	if omitted > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("repeats", omitted))
	}
	return l.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *limited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limited{next: l.next.WithAttrs(attrs), messageCounts: l.messageCounts}
}

// WithGroup implements slog.Handler.
func (l *limited) WithGroup(name string) slog.Handler {
	return &limited{next: l.next.WithGroup(name), messageCounts: l.messageCounts}
}

// admit reports whether to write a line, and how many lines with the same message
// were omitted before it.
func (s *messageCounts) admit(now time.Time, m message) (write bool, omitted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.messages[m]
	if !ok {
		if len(s.messages) >= maxMessages {
			clear(s.messages)
		}
		s.messages[m] = &repeatCount{start: now, written: 1}
		return true, 0
	}
	// If the clock was set back, the age is negative; start a new interval, since
	// the message would otherwise be omitted until the clock catches up.
	if age := now.Sub(r.start); age >= RepeatInterval || age < 0 {
		omitted = r.omitted
		*r = repeatCount{start: now, written: 1}
		return true, omitted
	}
	if r.written < MaxRepeats {
		r.written++
		return true, 0
	}
	r.omitted++
	return false, 0
}
