package mthead_test

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mthead"
)

// Guards against a request whose body, or a part of it, the next reader takes for another request.
func TestRequestHeads(t *testing.T) {
	for head, want := range map[string]mthead.Part{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n":                                                "",
		"GET / HTTP/1.0\r\n\r\n":                                                           "",
		"POST / HTTP/1.1\nHost: a\nContent-Length: 5\n\n":                                  "",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n":     "",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n":                 "",
		"GET / HTTP/2.0\r\nHost: a\r\n\r\n":                                                mthead.PartStart,
		"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n":                                             mthead.PartStart,
		"G(T / HTTP/1.1\r\nHost: a\r\n\r\n":                                                mthead.PartStart,
		"\r\n":                                                                             mthead.PartStart,
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n":                                     mthead.PartHost,
		"GET / HTTP/1.1\r\nHost : a\r\n\r\n":                                               mthead.PartField,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\n":                         mthead.PartField,
		"POST / HTTP/1.1\r\nHost: a\r\nContent Length: 5\r\n\r\n":                          mthead.PartField,
		"POST / HTTP/1.1\r\nHost: a\r\nX: a\r\n Content-Length: 5\r\n\r\n":                 mthead.PartField,
		"POST / HTTP/1.1\r\nHost: a\r\nX: a\rContent-Length: 5\r\n\r\n":                    mthead.PartField,
		"POST / HTTP/1.1\r\nHost: a\r\nX: a\x00\r\n\r\n":                                   mthead.PartField,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\n":     mthead.PartFraming,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n":                         mthead.PartFraming,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5,5\r\n\r\n":                        mthead.PartFraming,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n":                            mthead.PartFraming,
		"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n":       mthead.PartFraming,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n": mthead.PartFraming,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n":       mthead.PartFraming,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \x0bchunked\r\n\r\n":             mthead.PartField,
		"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n":                 mthead.PartFraming,
	} {
		assert.Equal(t, mthead.End([]byte(head), 0), len(head), "%q", head)
		err := mthead.CheckRequest([]byte(head))
		var invalid *mthead.Error
		if want == "" {
			assert.NilError(t, err, "%q", head)
			continue
		}
		assert.Assert(t, errors.As(err, &invalid), "%q", head)
		assert.Equal(t, invalid.Part, want, "%q", head)
	}
}

// Guards against a head whose end is missed, or found too early, when it arrives in pieces.
func TestEndOfHeadInPieces(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\nA: b\n\n", "HTTP/1.1 200 OK\nA: b\n\r\n", "\r\n", "\n"} {
		all := head + "\r\n\r\n"
		searched := 0
		for n := range len(head) {
			assert.Equal(t, mthead.End([]byte(all[:n]), searched), 0, "%d of %q", n, head)
			searched = n
		}
		assert.Equal(t, mthead.End([]byte(all), searched), len(head), "%q", head)
	}
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 404\r\nX: \xff\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, received []byte) {
		head := received[:mthead.End(received, 0)]
		if mthead.CheckResponse(head) != nil {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		assert.NilError(t, err)
		assert.Assert(t, response.StatusCode >= 100 && response.StatusCode < 600)
	})
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.0\r\nContent-Length: 5\r\n\r\nwhole"))
	f.Fuzz(func(_ *testing.T, received []byte) {
		_ = mthead.CheckRequest(received[:mthead.End(received, 0)])
		_ = mthead.CheckTrailer(received[:mthead.End(received, 0)])
	})
}
