package mtbackend_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtreply"
	iobackend "magnoliaturn/io/mtbackend"
)

// newResettingServer starts a server that reads the head of a call and some of its body, answers, and
// resets the connection after a while.
func newResettingServer(t *testing.T, read int, answer string, after time.Duration) iobackend.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(conn, make([]byte, 100+read))
				_, _ = conn.Write([]byte(answer))
				time.Sleep(after)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return iobackend.Target{Address: listener.Addr().String(), Server: "server-1"}
}

// upload is a call with a body of a size.
func upload(t *testing.T, size int, send func(*mtcall.Call) (*mtcall.Answer, error)) (*mtcall.Answer, error) {
	t.Helper()
	one := &mtcall.Call{ID: "7", Method: http.MethodPost, Target: "/plans/7", Host: "maps.example"}
	content := bytes.Repeat([]byte("u"), size)
	for part := range (size + mtcall.SegmentSize - 1) / mtcall.SegmentSize {
		one.Body = append(one.Body, content[part*mtcall.SegmentSize:min(size, (part+1)*mtcall.SegmentSize)])
	}
	return send(one)
}

// Guards against a part of an answer that is taken for whole because the reset of its connection shows while
// the call is still being written.
func TestAnswerWithoutLengthThatIsResetIsNone(t *testing.T) {
	const repetitions = 4
	const part = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nReply-Signature: s\r\nConnection: close\r\n\r\nten bytes."
	for _, size := range []int{0, 10, 70_000, 1 << 20, 8 << 20} {
		for _, read := range []int{0, size / 2, size} {
			for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d of %d bytes read, %s", read, size, after), func(t *testing.T) {
					t.Parallel()
					c, clock := client(t)
					target := newResettingServer(t, read, part, after)
					for range repetitions {
						_, err := upload(t, size, func(one *mtcall.Call) (*mtcall.Answer, error) {
							one.Deadline = clock.Now().Add(5 * time.Second)
							return c.Do(t.Context(), target, one)
						})
						var unknown *mtreply.UnknownError
						assert.Assert(t, errors.As(err, &unknown), "%v", err)
					}
				})
			}
		}
	}
}

// Guards against an answer with an end of its own, or a refusal, that is lost because the server resets the rest of
// the upload.
func TestWholeAnswerBeforeResetIsKept(t *testing.T) {
	c, clock := client(t)
	send := func(answer string) (*mtcall.Answer, error) {
		target := newResettingServer(t, 0, strings.ReplaceAll(answer, "ID", "7"), 0)
		return upload(t, 8<<20, func(one *mtcall.Call) (*mtcall.Answer, error) {
			one.Deadline = clock.Now().Add(5 * time.Second)
			return c.Do(t.Context(), target, one)
		})
	}
	for _, whole := range []string{goodAnswer, "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"} {
		answer, err := send(whole)
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body.Bytes()), "whole")
	}
	_, err := send("HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nRequest-Not-Run: 1\r\nConnection: close\r\n\r\nbusy")
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
}

// Guards against an answer without a length that is given up although the call was written whole.
func TestAnswerWithoutLengthAfterUploadIsWhole(t *testing.T) {
	const repetitions = 10
	for _, size := range []int{0, 10, 70_000, 1 << 20, 8 << 20} {
		server := newRawServer(t, replyWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nX-End: CLOSE\r\n\r\nto the end"))
		c, clock := client(t)
		for range repetitions {
			answer, err := upload(t, size, func(one *mtcall.Call) (*mtcall.Answer, error) {
				one.Deadline = clock.Now().Add(5 * time.Second)
				return c.Do(t.Context(), server.target(), one)
			})
			assert.NilError(t, err, "%d bytes", size)
			assert.Equal(t, string(answer.Body.Bytes()), "to the end")
		}
	}
}

// newEarlyServer starts a server that answers after the head of a call, reads some of its body then, and reports
// through the returned channel whether that is the beginning of the body.
func newEarlyServer(t *testing.T, answer []byte, read int) (iobackend.Target, chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	checked := make(chan error, 10)
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
			got, _ := io.ReadAll(io.LimitReader(r.Body, int64(read)))
			if i := bytes.IndexFunc(got, func(r rune) bool { return r != 'u' }); i >= 0 {
				err = fmt.Errorf("byte %d of the body is %q", i, got[i])
			}
			checked <- err
			if read == 0 {
				<-t.Context().Done()
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return iobackend.Target{Address: listener.Addr().String(), Server: "server-1"}, checked
}

// Guards against a whole answer that is lost because its server sends it before it reads the upload: both write, and
// neither reads.
func TestAnswerBeforeUploadIsReadIsWhole(t *testing.T) {
	const size = 16 << 20
	for name, test := range map[string]struct{ answered, read int }{
		"long answer, then reads on": {answered: size, read: size}, "short answer, then reads on": {answered: 5, read: size}, "short answer, never reads": {answered: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, clock := client(t)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nReply-Signature: s\r\nContent-Length: %d\r\n\r\n", test.answered)
			target, checked := newEarlyServer(t, append([]byte(head), bytes.Repeat([]byte("a"), test.answered)...), test.read)
			for range 3 {
				answer, err := upload(t, size, func(one *mtcall.Call) (*mtcall.Answer, error) {
					one.Deadline = clock.Now().Add(5 * time.Second)
					return c.Do(t.Context(), target, one)
				})
				assert.NilError(t, err)
				assert.Equal(t, answer.Body.Len(), test.answered)
				answer.Free()
				assert.NilError(t, <-checked)
			}
		})
	}
}
