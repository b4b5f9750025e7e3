package mtid

import (
	"cmp"
	"fmt"
)

// Server names a backend server as it names itself. It may start again under the
// name that it had, so that the name alone tells no life of it from another one.
type Server string

// Birth is when a life of a backend server began, in milliseconds since 1970, as
// the server itself says. It tells lives apart and orders those of one name; it is
// never compared with a clock of ours. Zero means that the server does not say.
type Birth int64

// Life is one life of a backend server: what owns keys and runs requests. A new
// life holds and knows nothing of what the former one did.
type Life struct {
	Server Server
	Born   Birth
}

// IsZero reports whether l names no server.
func (l Life) IsZero() bool { return l == Life{} }

// Before reports whether l and other are lives of one server, and l is the earlier
// one.
func (l Life) Before(other Life) bool { return l.Server == other.Server && l.Born < other.Born }

// Compare orders lives by name, then by birth.
func (l Life) Compare(other Life) int {
	return cmp.Or(cmp.Compare(l.Server, other.Server), cmp.Compare(l.Born, other.Born))
}

// String returns "name@birth", or the name of a server that does not say when it
// was born.
func (l Life) String() string {
	if l.Born == 0 {
		return string(l.Server)
	}
	return fmt.Sprintf("%s@%d", l.Server, l.Born)
}
