package mtgrant

import (
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"magnoliaturn/core/mtid"
)

// EndMoveDuringReconcile ends the move of the keys from low while a run of the reconcile loop
// is about to compare the grants: that run waits for the lock, which is held here, while apply
// makes this daemon's copy include the move and the grant is removed. It returns false, and
// changes nothing, if no run came to the comparison.
//
// A run locks earlier in reconcile as well, and must not get past the comparison when it is let
// through there. So there are always other goroutines waiting for the lock, each of them for
// longer than 1 ms: a sync.Mutex is then handed over in the order in which they came, and the
// next owner after a run's turn is one of them.
func (g *Grants) EndMoveDuringReconcile(low mtid.KeyNumber, epoch mtid.Epoch, apply func()) bool {
	reached, applied := make(chan struct{}), make(chan struct{})
	turns, ended := 150, false // protected by mu
	var contenders sync.WaitGroup
	for range 3 {
		contenders.Go(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			for ; !ended && turns > 0; turns-- {
				g.Wake()
				time.Sleep(2 * time.Millisecond)
				if inStack("mtgrant.(*Grants).syncGrants(", "[sync.Mutex.Lock") {
					ended = true
					close(reached)
					<-applied
					return
				}
				g.mu.Unlock() // it may wait for the lock earlier in reconcile
				g.mu.Lock()
			}
		})
	}
	gaveUp := make(chan struct{})
	go func() {
		contenders.Wait()
		close(gaveUp)
	}()
	select {
	case <-reached:
		apply()
		g.removeMoved(low, epoch)
		close(applied)
		contenders.Wait()
		return true
	case <-gaveUp:
		return false
	}
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
