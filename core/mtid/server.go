package mtid

import (
	"cmp"
	"fmt"
)

// Server is the name that a backend server reports for itself. A server may restart
// under the same name, so the name alone does not identify an incarnation.
type Server string

// Birth is the start time of an incarnation of a backend server, in Unix
// milliseconds as reported by the server. It distinguishes and orders the
// incarnations of one server, and is never compared with a clock of the daemons.
// Zero means that the server does not report it.
type Birth int64

// Life is one incarnation of a backend server: the unit that owns keys and runs
// requests. A new incarnation has none of the state of the previous one.
type Life struct {
	Server Server
	Born   Birth
}

// IsZero reports whether l is the zero value, which refers to no server.
func (l Life) IsZero() bool { return l == Life{} }

// Before reports whether l and other are incarnations of the same server and l
// started earlier.
func (l Life) Before(other Life) bool { return l.Server == other.Server && l.Born < other.Born }

// Compare orders incarnations by server name, then by start time.
func (l Life) Compare(other Life) int {
	return cmp.Or(cmp.Compare(l.Server, other.Server), cmp.Compare(l.Born, other.Born))
}

// String returns "name@start", or only the name if the server does not report its
// start time.
func (l Life) String() string {
	if l.Born == 0 {
		return string(l.Server)
	}
	return fmt.Sprintf("%s@%d", l.Server, l.Born)
}
