package mtforward_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtreply"
)

// cutDeadline is the time of a call whose answer breaks off.
const cutDeadline = 500 * time.Millisecond

// cutProxy starts a proxy to an address that passes on so many bytes of each connection's answers and closes it.
func cutProxy(t *testing.T, to string, bytes int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = accepted.Close() }()
				upstream, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer func() { _ = upstream.Close() }()
				go func() { _, _ = io.Copy(upstream, accepted) }()
				_, _ = io.CopyN(accepted, upstream, bytes)
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against an answer of another daemon that breaks off, at whatever byte, and looks whole.
func TestAnswerThatBreaksOffBetweenDaemonsIsNone(t *testing.T) {
	for name, body := range map[string]mtcall.Body{
		"short": mtcall.BodyOf([]byte("tea")),
		"empty": nil,
		"parts": {make([]byte, mtcall.SegmentSize), make([]byte, 100)},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, &host{run: func(context.Context, *mtcall.Call) (*mtcall.Answer, error) {
				return &mtcall.Answer{Status: 200, Header: []mtcall.Field{{Name: "Y", Value: "3"}}, Body: body}, nil
			}})
			whole, broken := 0, 0
			for bytes := int64(0); whole < 2; bytes += 9 + bytes/10 {
				c, clock, _ := client(t)
				sent := call(clock)
				sent.Deadline = clock.Now().Add(cutDeadline)
				answer, err := c.Forward(t.Context(), "b", cutProxy(t, address, bytes), sent)
				if err == nil {
					assert.Equal(t, answer.Body.Len(), body.Len(), "after %d bytes", bytes)
					assert.Equal(t, len(answer.Header), 1)
					whole++
					continue
				}
				broken++
				var unknown *mtreply.UnknownError
				var refused *mtreply.RefusedError
				assert.Assert(t, errors.As(err, &unknown) || errors.As(err, &refused), "%v", err)
			}
			assert.Assert(t, broken > 5, "%d", broken)
		})
	}
}

// Guards against a call that counts as not run although all of its body was sent, and against one whose
// body was not sent to its end and runs.
func TestUploadThatBreaksOffRunsOnceOrNever(t *testing.T) {
	var mu sync.Mutex
	runs := make(map[mtcall.ID]int)
	address, _ := serve(t, &host{run: func(_ context.Context, c *mtcall.Call) (*mtcall.Answer, error) {
		mu.Lock()
		defer mu.Unlock()
		runs[c.ID]++
		return &mtcall.Answer{Status: 200}, nil
	}})
	refusals := make(map[mtcall.ID]error)
	whole := false
	for bytes := int64(0); bytes < 2000 && !whole; bytes += 9 + bytes/10 {
		c, clock, _ := client(t)
		sent := call(clock)
		sent.ID = mtcall.ID(strconv.FormatInt(bytes, 10))
		sent.Deadline = clock.Now().Add(cutDeadline)
		sent.Body = mtcall.Body{make([]byte, mtcall.SegmentSize), make([]byte, mtcall.SegmentSize), []byte("end")}
		_, err := c.Forward(t.Context(), "b", cutProxy(t, address, bytes), sent)
		var refused *mtreply.RefusedError
		if errors.As(err, &refused) {
			refusals[sent.ID] = err
		}
		whole = err == nil
	}
	assert.Assert(t, whole, "no upload was whole")
	time.Sleep(cutDeadline) // a run may begin after its sender has given up
	mu.Lock()
	defer mu.Unlock()
	for id, n := range runs {
		assert.Check(t, n <= 1, "call %s ran %d times", id, n)
		assert.Check(t, refusals[id] == nil, "call %s ran: %v", id, refusals[id])
	}
	t.Logf("%d calls ran, %d were refused", len(runs), len(refusals))
}
