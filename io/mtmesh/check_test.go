package mtmesh_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtmesh"
)

const checkDelay = 150 * time.Millisecond

// Guards against a newer configuration that is passed over because it is reported while the
// check of an older one is pending, and that nobody reports again.
func TestVersionReportedDuringCheckIsCheckedToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var checked []mtid.Version
		report := mtmesh.NewDelayedCheck(checkDelay, func(v mtid.Version) bool {
			checked = append(checked, v)
			return true
		})
		for _, v := range []mtid.Version{4, 7, 5, 7, 4} {
			report(v)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.DeepEqual(t, checked, []mtid.Version{4, 7})
		report(7)
		time.Sleep(checkDelay)
		synctest.Wait()
		assert.DeepEqual(t, checked, []mtid.Version{4, 7, 7})
	})
}

// Guards against a fleet that asks the store and other daemons without end for a configuration that
// its daemons can't read, and against a readable one that is then checked late.
func TestVersionThatNeverArrivesIsCheckedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var misses, arrivals atomic.Int32
		report := mtmesh.NewDelayedCheck(checkDelay, func(v mtid.Version) bool {
			if v == 4 {
				misses.Add(1)
				return false
			}
			arrivals.Add(1)
			return true
		})
		for range 6000 { // a minute of messages
			report(4)
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		assert.Assert(t, misses.Load() >= 10 && misses.Load() <= 25, "%d checks", misses.Load())
		time.Sleep(5 * time.Second) // the pending one
		synctest.Wait()
		report(5)
		time.Sleep(checkDelay)
		synctest.Wait()
		assert.Equal(t, arrivals.Load(), int32(1))
	})
}

// Guards against a configuration that is fetched seconds after the store is back, since all checks before found
// the store away.
func TestVersionIsCheckedSoonOnceStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const away, checkTime = 30 * time.Second, time.Second
		var arrivedAt time.Time
		backAt := time.Now().Add(away)
		report := mtmesh.NewFailingCheck(checkDelay, func(mtid.Version) (arrived, answered bool) {
			if !arrivedAt.IsZero() {
				return true, true
			}
			time.Sleep(checkTime)
			if time.Now().Before(backAt) {
				return false, false
			}
			arrivedAt = time.Now()
			return true, true
		})
		for time.Since(backAt) < 10*time.Second {
			report(4)
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		assert.Assert(t, !arrivedAt.IsZero() && arrivedAt.Sub(backAt) < 2*checkTime, "arrived after %s", arrivedAt.Sub(backAt))
	})
}
