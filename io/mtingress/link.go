package mtingress

import (
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtlink"
	"magnoliaturn/io/mtdirectory"
)

// announces reports whether the body of a call has to be announced to a member. That of a
// nested call is sent at once: refusing it would waste the work of the call that waits for it.
func (s *Sender) announces(call *mtcall.Call, member mtdirectory.Member) bool {
	return s.Overload.Link && !call.Nested && mtlink.NeedsRoom(member.Link, mtlink.Bytes(call.Body.Len()))
}
