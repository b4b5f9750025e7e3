package mthost

import (
	"time"

	"magnoliaturn/core/mtid"
)

// Withdraw refuses the calls with these tries that have not begun, because the daemon that sent
// them shuts down. It returns how many waited, and refuses those that arrive in the given time.
// Calls that are at the server go on.
func (h *Host) Withdraw(tries []mtid.TryID, remember time.Duration) int {
	h.mu.Lock()
	// Before the gate is searched: a call that isn't in its queue yet is refused when it leaves it.
	h.withdrawnTries.Add(h.Clock.Now(), tries, remember)
	admission := h.admission
	h.mu.Unlock()
	named := make(map[mtid.TryID]bool, len(tries))
	for _, id := range tries {
		named[id] = id != 0
	}
	return admission.Withdraw(named)
}
