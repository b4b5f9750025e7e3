package mthost

import (
	"fmt"
	"net/netip"
)

// AddressError reports a heartbeat that can't come from this VM's server, because the server's
// address in the settings is another one.
type AddressError struct{ Address, Configured string }

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("host: a beat names the address %.80q, the server's is %q", e.Address, e.Configured)
}

// sameAddress reports whether two texts are the same address: spellings of one IP address and
// port count as equal, any other text only as itself.
func sameAddress(a, b string) bool {
	if a == b {
		return true
	}
	first, err := netip.ParseAddrPort(a)
	if err != nil {
		return false
	}
	second, err := netip.ParseAddrPort(b)
	return err == nil && first.Port() == second.Port() && first.Addr().Unmap() == second.Addr().Unmap()
}
