package mtheader

import "net/http"

// hopByHop are the canonical names of the header fields that apply to one connection.
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

// HopByHop reports whether a header field applies to one connection only and must not
// be forwarded. Content-Length is one of them because the length of the body is set
// anew on each connection.
func HopByHop(name string) bool { return hopByHop[http.CanonicalHeaderKey(name)] }
