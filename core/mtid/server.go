package mtid

import (
	"cmp"
	"fmt"
)

// Server is the name that a backend server reports for itself. A server may restart
// under the same name, so the name alone does not identify an incarnation.
type Server string

// StartTime is the start time of an incarnation of a backend server, in Unix
// milliseconds as reported by the server. It distinguishes and orders the
// incarnations of one server, and is never compared with a clock of the daemons.
// Zero means that the server does not report it.
type StartTime int64

// ServerIncarnation is one incarnation of a backend server: the unit that owns keys
// and runs requests. A new incarnation has none of the state of the previous one.
type ServerIncarnation struct {
	Server  Server
	Started StartTime
}

// IsZero reports whether i is the zero value, which refers to no server.
func (i ServerIncarnation) IsZero() bool { return i == ServerIncarnation{} }

// Before reports whether i and other are incarnations of the same server and i
// started earlier.
func (i ServerIncarnation) Before(other ServerIncarnation) bool {
	return i.Server == other.Server && i.Started < other.Started
}

// Compare orders incarnations by server name, then by start time.
func (i ServerIncarnation) Compare(other ServerIncarnation) int {
	return cmp.Or(cmp.Compare(i.Server, other.Server), cmp.Compare(i.Started, other.Started))
}

// String returns "name@start", or only the name if the server does not report its
// start time.
func (i ServerIncarnation) String() string {
	if i.Started == 0 {
		return string(i.Server)
	}
	return fmt.Sprintf("%s@%d", i.Server, i.Started)
}
