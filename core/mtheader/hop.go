package mtheader

import "net/http"

// hopByHop are the fields that concern one connection only.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

// HopByHop reports whether a header field concerns one connection only, so that
// it must not be passed on. The length of a body is one of them, since it is
// told anew on each connection.
func HopByHop(name string) bool { return hopByHop[http.CanonicalHeaderKey(name)] }
