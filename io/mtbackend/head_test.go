package mtbackend_test

import (
	"errors"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtreply"
)

// Guards against a server that stops in the middle of the head of its answer and closes: the caller gets an empty
// or short success that looks whole.
func TestAnswerThatStopsInItsHeadIsNone(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nContent-Length: 5\r\n\r\n",
		"of no bytes":      "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nContent-Length: 0\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\n\r\n",
		"chunked":          "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until the close":  "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Id: ID\r\nReply-Signature: s\r\nX-More: and more\r\n\r\n",
		"no content":       "HTTP/1.1 204 No Content\r\nRequest-Id: ID\r\nReply-Signature: s\r\n\r\n",
		"behind interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\n\r\n",
		"folded field":     "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nX-More: and\r\n more\r\n\r\n",
		"bare line feeds":  "HTTP/1.1 200 OK\nRequest-Id: ID\nReply-Signature: s\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			whole := strings.ReplaceAll(head, "ID", "1")
			var sent int
			s := newRawServer(t, func(_ int, c net.Conn, _ string) bool {
				_, _ = c.Write([]byte(whole[:sent]))
				return false
			})
			c, clock := client(t)
			for sent = range whole {
				answer, err := c.Do(t.Context(), s.target(), call(clock, "1"))
				assert.Assert(t, err != nil, "answer %v of %q", answer, whole[:sent])
				var unknown *mtreply.UnknownError
				assert.Assert(t, errors.As(err, &unknown), "%v of %q", err, whole[:sent])
			}
		})
	}
}
