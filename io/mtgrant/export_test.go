package mtgrant

import (
	"runtime"
	"slices"
	"strings"
	"time"

	"magnoliaturn/core/mtid"
)

// EndMoveDuringReconcile ends the move of the keys from low while a run of the reconcile loop
// is about to compare the grants: that run waits for the lock, which is held here, while apply
// makes this daemon's copy include the move and the grant is removed. It returns false, and
// changes nothing, if no run came to the comparison.
func (g *Grants) EndMoveDuringReconcile(low mtid.KeyNumber, epoch mtid.Epoch, apply func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Wake()
	for range 50 {
		time.Sleep(2 * time.Millisecond) // a run that waits for longer than 1 ms gets the lock first
		if inStack("mtgrant.(*Grants).syncGrants(", "[sync.Mutex.Lock") {
			apply()
			g.removeMoved(low, epoch)
			return true
		}
		g.mu.Unlock() // it may wait for the lock earlier in reconcile
		g.mu.Lock()
	}
	return false
}

// Reconciling reports whether a run of a reconcile loop is under way.
func Reconciling() bool { return inStack("mtgrant.(*Grants).reconcile(", "") }

// inStack reports whether a goroutine in a state is inside a function.
func inStack(function, state string) bool {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	return slices.ContainsFunc(strings.Split(string(stacks), "\n\n"), func(stack string) bool {
		header, _, _ := strings.Cut(stack, "\n")
		return strings.Contains(header, state) && strings.Contains(stack, function)
	})
}
