package mtbackend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtmemory"
	iomemory "magnoliaturn/io/mtmemory"
)

// A faulty server may send bytes that are no answer, and without end: in a head, in interim answers,
// in a body or its framing. Each part of an answer is bounded, and all that are read at the same time take
// their memory from the budget of the daemon.
const (
	// maxHead is the maximum size of the head of an answer together with its interim answers, in bytes.
	maxHead = 64 << 10
	// maxAnswer is the maximum size of the body of an answer, in bytes.
	maxAnswer = 64 << 20
	// maxFraming bounds a body as it is sent, with the framing of its chunks, as a multiple of its
	// content; maxTrailer is allowed once besides. Chunks of two bytes are within that.
	maxFraming = 4
	maxTrailer = 64 << 10
	// smallBody is the size up to which a body doesn't count as large, in bytes.
	smallBody = mtcall.SegmentSize
	// firstBodyBuffer is the size of the buffer for a body whose length is not known, in bytes.
	firstBodyBuffer = 4 << 10
	// evictionPause is for how long a body may hold up others without growing.
	evictionPause = 500 * time.Millisecond
)

// Part is a part of an answer that is bounded.
type Part string

// The bounded parts.
const (
	PartHead    Part = "head"
	PartBody    Part = "body"
	PartFraming Part = "framed body"
	PartBodies  Part = "bodies at the same time"
)

// OversizeError reports an answer that was given up because a part of it exceeds its bound.
type OversizeError struct {
	Part  Part
	Bound int64 // in bytes
}

// Error implements error.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("answer exceeds the bound of its %s, %d bytes", e.Part, e.Bound)
}

// FramingError reports a body that is framed in no valid way, although the connection works.
type FramingError struct{ Err error }

// Error implements error.
func (e *FramingError) Error() string { return "body of the answer is not valid: " + e.Err.Error() }

// Unwrap returns the error of the parser.
func (e *FramingError) Unwrap() error { return e.Err }

// allow bounds what is read from the connection from now on. Up to readBuffer bytes more may have been
// read before.
func (c *conn) allow(part Part, bound int64) {
	c.part, c.bound, c.left, c.exceeded = part, bound, bound, false
}

// readError returns the error of what was read from the connection. A parser that is cut off by the bound
// may report what it has read so far as malformed.
func (c *conn) readError(err error) error {
	if c.exceeded {
		return &OversizeError{Part: c.part, Bound: c.bound}
	}
	return err
}

// Read implements io.Reader. It fails with an *OversizeError once the bound is reached.
func (c *conn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		c.exceeded = true
		return 0, &OversizeError{Part: c.part, Bound: c.bound}
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	c.ended = c.ended || err != nil
	return n, err
}

// bodies takes the memory of the bodies that are read at the same time from the daemon's budget.
type bodies struct {
	memory *iomemory.Budget

	mu      sync.Mutex
	reading map[*body]bool // without those whose memory was taken in advance
	ended   chan struct{}  // closed when the reading of a large body ends
}

func newBodies(memory *iomemory.Budget) *bodies {
	return &bodies{memory: memory, reading: make(map[*body]bool), ended: make(chan struct{})}
}

// body is a body that is being read.
type body struct {
	conn     *conn
	hold     *iomemory.Hold
	segments mtcall.Body
	size     int64 // in bytes
	declared int   // memory that was taken in advance and is not used yet, in bytes
	spare    int64 // what the framing may exceed its multiple of the content by, in bytes

	// These are guarded by the mutex of bodies.
	held    int64 // in bytes
	grownAt time.Time
	cut     bool // given up for others
}

// grow takes the memory for one more segment of a body, and waits for it until ctx ends if there is none.
// Once large answers have half of theirs, of the large bodies that are being read only the largest grows, so
// that it comes to its end: several would keep each other from that. One without end must not cost
// others theirs: grow fails with an *OversizeError if the body can never fit, and if it was given up
// because it held up others and did not grow.
func (b *bodies) grow(ctx context.Context, one *body, n int) error {
	if one.declared >= n {
		one.declared -= n
		return nil
	}
	limit := b.memory.Limit(mtmemory.Answer, maxAnswer)
	for {
		if one.held+int64(n) > int64(limit) || b.isCut(one) {
			return &OversizeError{Part: PartBodies, Bound: one.held}
		}
		first := b.first(one)
		mayGrow := first == one || one.held+int64(n) <= int64(mtmemory.Small) || b.memory.Held() < limit/2
		if mayGrow && one.hold.Take(n) == nil {
			b.grown(one, n)
			return nil
		}
		if mayGrow {
			// Others hold the memory, whose bodies have been read.
			waiting, cancel := context.WithTimeout(ctx, evictionPause)
			err := one.hold.Await(waiting, n)
			cancel()
			if err == nil {
				b.grown(one, n)
				return nil
			}
		} else if !b.awaitTurn(ctx) {
			b.giveUpStalled(first)
		}
		if ctx.Err() != nil {
			return &iomemory.FullError{Use: mtmemory.Answer, Wanted: mtmemory.Bytes(n), Held: b.memory.Held()}
		}
	}
}

// first returns the largest of the bodies that are being read, or one if there is none.
func (b *bodies) first(one *body) *body {
	b.mu.Lock()
	defer b.mu.Unlock()
	largest := one
	for other := range b.reading {
		if other.held > largest.held {
			largest = other
		}
	}
	return largest
}

// grown records that a body has got the memory for a segment.
func (b *bodies) grown(one *body, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one.held += int64(n)
	one.grownAt = time.Now()
	if !one.cut {
		b.reading[one] = true
	}
}

func (b *bodies) isCut(one *body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return one.cut
}

// awaitTurn waits until the reading of a body ends, and reports whether one has ended in time.
func (b *bodies) awaitTurn(ctx context.Context) bool {
	b.mu.Lock()
	ended := b.ended
	b.mu.Unlock()
	timer := time.NewTimer(evictionPause)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return true
	case <-timer.C:
		return false
	}
}

// giveUpStalled gives up a body that holds up others and has not grown for a while.
func (b *bodies) giveUpStalled(one *body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(one.grownAt) < evictionPause || !b.reading[one] {
		return
	}
	one.cut = true
	delete(b.reading, one)
	_ = one.conn.Close()
}

// takeDeclared takes the memory for a large body whose length is declared. Its reading doesn't begin without,
// so that several bodies don't keep each other from their ends.
func (b *bodies) takeDeclared(ctx context.Context, one *body, length int64) error {
	if length <= smallBody {
		return nil
	}
	if length > int64(b.memory.Limit(mtmemory.Answer, maxAnswer)) || length > maxAnswer {
		return &OversizeError{Part: PartBody, Bound: maxAnswer}
	}
	one.declared = int(length) + mtcall.SegmentSize // its end shows in a segment that isn't full
	return one.hold.Await(ctx, one.declared)
}

// end ends the reading of a body. It reports whether the body was given up for others.
func (b *bodies) end(one *body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, one)
	if one.held > smallBody {
		close(b.ended)
		b.ended = make(chan struct{})
	}
	return one.cut
}

// read reads a whole body. It fails with an *OversizeError, a *FramingError, a *iomemory.FullError or the
// error of the connection. The hold is the caller's, also if it fails.
func (b *bodies) read(ctx context.Context, conn *conn, response *http.Response, hold *iomemory.Hold) (mtcall.Body, error) {
	one := &body{conn: conn, hold: hold, spare: maxTrailer}
	err := b.readInto(ctx, one, response)
	cut := b.end(one)
	var oversize *OversizeError
	var full *iomemory.FullError
	switch err = conn.readError(err); {
	case err == nil:
		return one.segments, nil
	case cut:
		return nil, &OversizeError{Part: PartBodies, Bound: one.held}
	case !conn.ended && !errors.As(err, &oversize) && !errors.As(err, &full):
		return nil, &FramingError{Err: err}
	}
	return nil, err
}

// readInto reads a body to its end.
func (b *bodies) readInto(ctx context.Context, one *body, response *http.Response) error {
	if err := b.takeDeclared(ctx, one, declaredLength(response)); err != nil {
		return err
	}
	size := firstSize(response.ContentLength)
	for {
		if err := b.grow(ctx, one, size); err != nil {
			return err
		}
		err := one.fill(response.Body, make([]byte, size))
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if one.size > maxAnswer {
			return &OversizeError{Part: PartBody, Bound: maxAnswer}
		}
		size = mtcall.SegmentSize
	}
}

// fill reads a segment until it is full or reading fails. Unlike io.ReadFull it returns that error as it is: at
// the end of a body another one than where its connection breaks off.
func (b *body) fill(r io.Reader, segment []byte) error {
	b.conn.allow(PartFraming, int64(maxFraming*len(segment))+b.spare)
	total := 0
	var err error
	for total < len(segment) && err == nil {
		var n int
		n, err = r.Read(segment[total:])
		total += n
	}
	b.spare = min(b.conn.left, maxTrailer)
	if total > 0 {
		b.segments = append(b.segments, segment[:total])
		b.size += int64(total)
	}
	return err
}

// declaredLength returns the length of the body that a response declares and has, or zero.
func declaredLength(response *http.Response) int64 {
	if response.Body == http.NoBody {
		return 0
	}
	return response.ContentLength
}

// firstSize returns the size of the first segment of a body: one byte more than its length, so that its
// end shows without another one.
func firstSize(length int64) int {
	if length < 0 {
		return firstBodyBuffer
	}
	return int(min(length+1, smallBody))
}
