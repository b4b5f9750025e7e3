package mtlisten_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/io/mtlisten"
)

// A client opens as many connections as allowed and sends nothing. Further connections must
// be closed at once, and accepted again as soon as the number is below the limit.
func TestConnectionsAreLimited(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	server, cleanUp, err := mtlisten.Serve("127.0.0.1:0", handler, mtlisten.Options{MaxConnections: 2})
	assert.NilError(t, err)
	defer cleanUp()
	var idle []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", server.Address())
		assert.NilError(t, err)
		idle = append(idle, conn)
	}
	extra, err := net.Dial("tcp", server.Address())
	assert.NilError(t, err)
	// Either this write fails, or the read below does.
	_, _ = io.WriteString(extra, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err = extra.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the third connection was served despite the limit of two")
	for _, conn := range idle {
		assert.NilError(t, conn.Close())
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		// The server may not have noticed yet that the idle connections are closed.
		response, err := client.Get("http://" + server.Address())
		if err != nil {
			continue
		}
		assert.NilError(t, response.Body.Close())
		break
	}
}

// Guards against a connection wrapped by the limit that hides from mtpipeline that its caller left.
func TestDisconnectBehindUnreadRequestIsNoticed(t *testing.T) {
	begun, canceled := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		<-r.Context().Done()
		close(canceled)
	})
	server, cleanUp, err := mtlisten.Serve("127.0.0.1:0", handler, mtlisten.Options{Pipelined: true})
	assert.NilError(t, err)
	defer cleanUp()
	conn, err := net.Dial("tcp", server.Address())
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\nGET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	<-begun
	assert.NilError(t, conn.Close())
	select {
	case <-canceled:
	case <-time.After(10 * time.Second):
		t.Fatal("the context of the request was not canceled")
	}
}

// Guards against callers of a crowd whose new connections are closed unanswered because earlier
// ones keep theirs open without using them: each of several callers sends one request, and closes
// its connection only if the response says so. Guards also against a listener for few connections
// that keeps none of them, or all.
func TestUnusedConnectionsLeaveRoomForNewOnes(t *testing.T) {
	for _, test := range []struct{ maxConnections, callers, minKept, maxKept int }{
		{32, 64, 8, 16}, {3, 3, 1, 1}, {2, 2, 1, 1}, {1, 1, 1, 1},
	} {
		kept := keptAfterResponses(t, test.maxConnections, test.callers)
		assert.Assert(t, kept >= test.minKept && kept <= test.maxKept, "%d of %d connections are kept", kept, test.maxConnections)
	}
}

// keptAfterResponses returns how many callers, one after the other, keep their connections to a
// new listener open after a response.
func keptAfterResponses(t *testing.T, maxConnections, callers int) int {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	server, cleanUp, err := mtlisten.Serve("127.0.0.1:0", handler, mtlisten.Options{MaxConnections: maxConnections, Pipelined: true})
	assert.NilError(t, err)
	defer cleanUp()
	kept := 0
	for caller := range callers {
		conn, err := net.Dial("tcp", server.Address())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "caller %d was not answered", caller)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		if !response.Close {
			kept++
			continue
		}
		_, err = reader.ReadByte()
		assert.Equal(t, err, io.EOF)
		assert.NilError(t, conn.Close())
	}
	return kept
}

// A server that shuts down must finish the request that it is processing and accept no
// new connections.
func TestCleanUpWaitsForRequests(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-end
		_, _ = io.WriteString(w, "whole")
	})
	server, cleanUp, err := mtlisten.Serve("127.0.0.1:0", handler, mtlisten.Options{})
	assert.NilError(t, err)
	got := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + server.Address())
		if err != nil {
			got <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		got <- string(body)
	}()
	<-begun
	cleaned := make(chan struct{})
	go func() { cleanUp(); close(cleaned) }()
	for {
		conn, err := net.Dial("tcp", server.Address())
		if err != nil {
			break // the listener is closed
		}
		_ = conn.Close()
	}
	close(end)
	assert.Equal(t, <-got, "whole")
	<-cleaned
	_, _, err = mtlisten.Serve("127.0.0.1:99999", handler, mtlisten.Options{})
	var failed *mtlisten.ListenError
	assert.Assert(t, errors.As(err, &failed))
}

// slowListener accepts a connection some time after it has been told to.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(100 * time.Millisecond)
	return l.Listener.Accept()
}

// Guards against callers whose connections are reset because the server is shut down as soon as it
// has been started, before it accepts. Only pipelined: net/http drops requests that it reads during
// a shutdown.
func TestShutdownAtOnceServesConnectionsThatWait(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for range 100 {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		conn, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		server := mtlisten.Start(inner, handler, mtlisten.Options{Pipelined: true, Log: slog.New(slog.DiscardHandler)})
		server.Shutdown(t.Context())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.NilError(t, conn.Close())
	}
}

// A client connects just before a shutdown, and its connection has not been accepted yet. Its
// request must be answered, with either server.
func TestShutdownServesConnectionThatWaitsToBeAccepted(t *testing.T) {
	for name, pipelined := range map[string]bool{"net/http": false, "pipelined": true} {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			server := mtlisten.Start(slowListener{inner}, handler, mtlisten.Options{Pipelined: pipelined, Log: slog.New(slog.DiscardHandler)})
			conn, err := net.Dial("tcp", inner.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			assert.NilError(t, err)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				server.Shutdown(context.Background())
			}()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Assert(t, response.Close)
			assert.NilError(t, response.Body.Close())
			assert.NilError(t, conn.Close())
			<-stopped
		})
	}
}
