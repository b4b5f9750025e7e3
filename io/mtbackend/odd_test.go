package mtbackend_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtreply"
)

// Guards against bytes that are no answer, in the status, in the name of a field or in the framing, that a caller gets
// as one.
func TestOddAnswersAreNone(t *testing.T) {
	const fields = "Request-Id: ID\r\nReply-Signature: s\r\n"
	const chunked = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n"
	odd := map[string]string{
		"interim with status 000":        "HTTP/1.1 000 \r\n\r\n" + goodAnswer,
		"interim with a blank in a name": "HTTP/1.1 100 Continue\r\nX More: a\r\n\r\n" + goodAnswer,
		"interim with a length":          "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n" + goodAnswer,
		"blank in a trailer":             chunked + "5\r\nwhole\r\n0\r\nX Sum: 1\r\n\r\n",
		"blank behind a trailer":         chunked + "5\r\nwhole\r\n0\r\nX-Sum : 1\r\n\r\n",
		"control byte in a trailer":      chunked + "5\r\nwhole\r\n0\r\nX-Sum: \x00\r\n\r\n",
		"length in a trailer":            chunked + "5\r\nwhole\r\n0\r\nContent-Length: 5\r\n\r\n",
		"no trailer":                     chunked + "5\r\nwhole\r\n0\r\nCLOSE",
		"signed chunk":                   chunked + "+5\r\nwhole\r\n0\r\n\r\n",
		"chunk of no size":               chunked + "\r\nwhole\r\n0\r\n\r\n",
		"chunk that is too long":         chunked + "4\r\nwhole\r\n0\r\n\r\n",
		"chunk with a bare line feed":    chunked + "5\nwhole\r\n0\r\n\r\n",
	}
	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 000 OK", "HTTP/1.1 099 Low", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 High", "HTTP/1.1 700 High", "HTTP/1.1 999 High",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/9.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK",
	} {
		odd["status line "+line] = line + "\r\n" + fields + "Content-Length: 5\r\n\r\nwhole"
	}
	for _, line := range []string{
		"X More: a", "X-More : a", "X-More\t: a", " X-More: a", "\tX-More: a", "X-More", ": a", "X-\x01More: a", "X-\x7fMore: a", "X-M\u00f6re: a", "X(More): a", "X-More: a\r\n folded",
		"X-More: a\x00b", "X-More: a\rb", "X-More: a\x7fb",
	} {
		odd["field "+line] = "HTTP/1.1 200 OK\r\n" + fields + line + "\r\nContent-Length: 5\r\n\r\nwhole"
	}
	for _, lines := range []string{
		"Content-Length : 5", "Content-Length\t: 5", "Content Length: 5", "Content-Length: 5\r\nContent-Length: 4", "Content-Length: 5, 5", "Content-Length: +5", "Content-Length: -5", "Content-Length: 5 5", "Content-Length: 0x5",
		"Content-Length:", "Content-Length: 99999999999999999999", "Content-Length: 5\r\n 0", "Transfer-Encoding : chunked", "Content-Length: 5\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: xchunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: identity", "Transfer-Encoding:", "Transfer-Encoding: chunked;q=1",
	} {
		odd["framing "+lines] = "HTTP/1.1 200 OK\r\n" + fields + lines + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\nCLOSE"
	}
	odd["chunks in HTTP/1.0"] = "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\nCLOSE"
	odd["no content with a length"] = "HTTP/1.1 204 No Content\r\n" + fields + "Content-Length: 5\r\n\r\nwhole"
	taken := 0
	for name, answer := range odd {
		t.Run(name, func(t *testing.T) {
			server := newRawServer(t, replyWith(answer))
			c, clock := client(t)
			answer, err := c.Do(t.Context(), server.target(), call(clock, "7"))
			if err == nil {
				taken++
				t.Fatalf("taken for an answer: %d %q %q", answer.Status, answer.Header, answer.Body.Bytes())
			}
			var unknown *mtreply.UnknownError
			assert.Assert(t, errors.As(err, &unknown), "%v", err)
		})
	}
	t.Logf("%d of %d were taken for answers", taken, len(odd))
}

// Guards against whole answers in less usual forms that are given up as odd.
func TestUnusualAnswersAreWhole(t *testing.T) {
	const fields = "Request-Id: ID\r\nReply-Signature: s\r\n"
	long := "X-Long: " + strings.Repeat("x", 20<<10) + "\r\n"
	for name, answer := range map[string]string{
		"without a reason":        "HTTP/1.1 200\r\n" + fields + "Content-Length: 5\r\n\r\nwhole",
		"HTTP/1.0":                "HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nwhole",
		"length twice":            "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
		"bare line feeds":         "HTTP/1.1 200 OK\nRequest-Id: ID\nReply-Signature: s\nContent-Length: 5\n\nwhole",
		"blanks around values":    "HTTP/1.1 200 OK\r\nRequest-Id:\tID \r\nReply-Signature:s\r\nContent-Length:  5\t\r\n\r\nwhole",
		"empty and foreign value": "HTTP/1.1 200 \u00d6K\r\n" + fields + "X-Empty:\r\nX-Other: \u00f6\r\nContent-Length: 5\r\n\r\nwhole",
		"behind interim":          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + goodAnswer,
		"long head":               "HTTP/1.1 200 OK\r\n" + long + fields + "Content-Length: 5\r\n\r\nwhole",
		"chunks and trailer":      "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: Chunked\r\n\r\n3;a=b\r\nwho\r\n2\r\nle\r\n0\r\nX-Sum: 1\r\n" + long + "\r\n",
		"long head and chunks":    "HTTP/1.1 200 OK\r\n" + long + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := newRawServer(t, replyWith(answer))
			c, clock := client(t)
			for range 3 {
				answer, err := c.Do(t.Context(), server.target(), call(clock, "7"))
				assert.NilError(t, err)
				assert.Equal(t, string(answer.Body.Bytes()), "whole")
			}
			if !strings.Contains(answer, "HTTP/1.0") {
				assert.Equal(t, server.conns.Load(), int64(1))
			}
		})
	}
}

// Guards against a health check that takes bytes that are no answer for the report of its server.
func TestOddHealthChecksAreNone(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\nServer-Answering: a\r\n", "HTTP/1.1 700 OK\r\nServer-Answering: a\r\n", "HTTP/9.9 200 OK\r\nServer-Answering: a\r\n", "HTTP/1.1 100 OK\r\nX More: a\r\n\r\nHTTP/1.1 200 OK\r\nServer-Answering: a\r\n",
		"HTTP/1.1 200 OK\r\nServer-Answering: a\r\nX More: a\r\n", "HTTP/1.1 200 OK\r\nServer-Answering: a\r\n folded\r\n", "HTTP/1.1 200 OK\r\nServer-Answering: a\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n",
	} {
		server := newRawServer(t, replyWith(head+"\r\n"))
		c, _ := client(t)
		health, err := c.Identify(t.Context(), server.listener.Addr().String(), "/healthz")
		assert.Check(t, err != nil, "%q: %v", head, health)
	}
	server := newRawServer(t, replyWith("HTTP/1.1 200 OK\r\nServer-Answering: a\r\nContent-Length: 0\r\n\r\n"))
	c, _ := client(t)
	health, err := c.Identify(t.Context(), server.listener.Addr().String(), "/healthz")
	assert.NilError(t, err)
	assert.Equal(t, string(health.Server), "a")
}
