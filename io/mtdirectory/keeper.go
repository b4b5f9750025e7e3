package mtdirectory

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

const (
	// renewals is how many renewals fit into a lease: one may be lost, since it is tried
	// again once.
	renewals = 2
	// drift is the part of a lease that is not counted on, since the store's
	// clock may run faster than this VM's.
	drift = 0.02
	// callTimeout bounds a call to the store. Answers take some milliseconds, and 0.4 s
	// from a store that is slow; during an outage a call may hang for good. A renewal
	// that hangs leaves time for a second one before a lease of 2 s ends.
	callTimeout = 600 * time.Millisecond
	// retryPause is between two attempts to write the record while the store
	// fails. Records have to be back within two seconds of its return, and each
	// attempt is paid for.
	retryPause = 600 * time.Millisecond
	// endTimeout bounds the end of the lease in a shutdown.
	endTimeout = 300 * time.Millisecond
)

// keeper keeps the own record in the store.
type keeper struct {
	Config
	wake chan struct{}

	mu      sync.Mutex
	wanted  mtbackend.Record
	present bool // Publish was called

	// The duty's own state.
	lease   mtstore.LeaseID
	version mtid.Version
	written mtbackend.Record
	renewed mtclock.Instant
	failing bool

	certain  atomic.Int64
	newest   atomic.Uint64 // version of the last write
	standing atomic.Uint64 // version from which on the record has stood without a gap
	foreign  atomic.Uint64 // version that another writer left under the own name
	deleted  atomic.Uint64 // revision at which the record was seen deleted
	away     atomic.Bool   // the last attempt to keep the record failed
}

func newKeeper(config Config) *keeper {
	return &keeper{Config: config, wake: make(chan struct{}, 1)}
}

// publish sets what the record is to say.
func (k *keeper) publish(r mtbackend.Record) {
	k.mu.Lock()
	same := k.present && k.wanted == r
	k.wanted, k.present = r, true
	k.mu.Unlock()
	if same {
		return
	}
	k.wakeUp()
}

// overwritten is told that something stands under the own name that no daemon wrote.
// The record is written again over it, since the others pass it over and would go by
// what they knew before. A record of another life of this daemon is left alone: that
// life has taken the place of this one.
func (k *keeper) overwritten(version mtid.Version) {
	k.foreign.Store(uint64(version))
	k.wakeUp()
}

// removed is told that the own record was seen deleted. If it is the one that this life
// wrote last, its lease may go on all the same: another writer deleted it, or the store
// takes keys away without their leases. Renewals succeed then, so that the record passed
// for certain for ever, while all others counted until they would take the keys.
func (k *keeper) removed(revision mtid.Revision) {
	if uint64(revision) <= k.newest.Load() {
		return // of before the last write
	}
	k.deleted.Store(uint64(revision))
	k.certain.Store(0)
	k.wakeUp()
}

// wakeUp makes the duty look at once.
func (k *keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// until returns until when the record certainly stands.
func (k *keeper) until() mtclock.Instant { return mtclock.Instant(k.certain.Load()) }

// stands returns the version from which on the record has stood without a gap, as far
// as this life knows. Zero means that it does not stand.
func (k *keeper) stands() mtid.Version {
	if k.until() == 0 {
		return 0
	}
	return mtid.Version(k.standing.Load())
}

// seen returns the version of the last write of the record.
func (k *keeper) seen() mtid.Version { return mtid.Version(k.newest.Load()) }

// start starts the duty and returns the function that ends it.
func (k *keeper) start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	var duty sync.WaitGroup
	duty.Go(func() {
		for ctx.Err() == nil {
			k.pause(ctx, k.step(ctx))
		}
	})
	return func() {
		cancel()
		duty.Wait()
		k.end()
	}
}

// pause waits for the next step, or until something is published.
func (k *keeper) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.wake:
	}
}

// step does what is due and returns when the next one is.
func (k *keeper) step(ctx context.Context) time.Duration {
	k.mu.Lock()
	wanted, present := k.wanted, k.present
	k.mu.Unlock()
	if !present {
		return k.Lease
	}
	begun := k.Clock.Now()
	err := k.keep(ctx, wanted)
	k.away.Store(err != nil)
	if err != nil {
		if ctx.Err() == nil {
			k.Log.Warn("own record can't be kept", "error", err, "certain", k.until().Sub(k.Clock.Now()))
		}
		return k.retry(k.Clock.Now().Sub(begun))
	}
	if k.failing {
		k.Log.Info("own record stands again")
		k.failing = false
	}
	return k.Lease / renewals
}

// retry returns the pause after an attempt that failed and took so long. The first
// renewal that fails may be one lost answer: the next attempt begins while the lease
// still stands.
func (k *keeper) retry(took time.Duration) time.Duration {
	first := !k.failing
	k.failing = true
	if first {
		return max(retryPause-took, 0)
	}
	return retryPause
}

// keep renews the lease and brings the record up to date. The lease runs from
// the call's arrival, which is later than its sending, by which it is counted.
func (k *keeper) keep(ctx context.Context, wanted mtbackend.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := k.Clock.Now()
	if err := k.hold(ctx, sent); err != nil {
		return err
	}
	if foreign := mtid.Version(k.foreign.Swap(0)); k.version != 0 && foreign > k.version {
		k.Log.Warn("own record was written over", "own", uint64(k.version), "by", uint64(foreign))
		k.version, k.written = foreign, mtbackend.Record{}
	}
	if deleted := k.deleted.Swap(0); k.version != 0 && deleted > uint64(k.version) {
		k.Log.Warn("own record was deleted", "own", uint64(k.version), "revision", deleted)
		k.version = 0
	}
	if k.version == 0 || k.written != wanted {
		if err := k.write(ctx, wanted); err != nil {
			return err
		}
	}
	k.certify()
	return nil
}

// certify notes that the record stands for a lease from its last renewal on.
func (k *keeper) certify() {
	k.certain.Store(int64(k.renewed.Add(time.Duration(float64(k.Lease) * (1 - drift)))))
}

// hold makes a lease or renews it.
func (k *keeper) hold(ctx context.Context, sent mtclock.Instant) error {
	if k.lease != "" {
		if k.renewed != 0 && sent.Sub(k.renewed) < k.Lease/renewals/2 {
			return nil // a record is published shortly after a renewal
		}
		err := k.Store.Renew(ctx, k.lease)
		var lapsed *mtstore.LeaseExpiredError
		if !errors.As(err, &lapsed) {
			if err == nil {
				k.renewed = sent
			}
			return err
		}
		k.Log.Warn("own lease has lapsed", "lease", k.lease)
		k.lease, k.version = "", 0
		k.certain.Store(0)
	}
	lease, err := k.Store.Grant(ctx, k.Lease)
	if err != nil {
		return err
	}
	k.lease, k.renewed = lease, sent
	return nil
}

// write writes the record. A former life of this daemon may have left one, whose
// lease still runs, and an earlier write whose answer was lost may have landed:
// both show as a conflict with what stands there now.
func (k *keeper) write(ctx context.Context, wanted mtbackend.Record) error {
	value, err := wanted.Encode()
	if err != nil {
		return err
	}
	name := mtstore.BackendName(k.Self)
	gap := k.version == 0
	for range conflicts {
		version, err := k.Store.Swap(ctx, name, k.version, value, k.lease)
		var conflict *mtstore.ConflictError
		var lapsed *mtstore.LeaseExpiredError
		switch {
		case err == nil:
			k.version, k.written = version, wanted
			if gap {
				k.standing.Store(uint64(version))
			}
			k.newest.Store(uint64(version))
			k.Log.Info("own record written", "state", wanted.State, "server", wanted.Incarnation.String(), "leaving", wanted.Leaving, "version", uint64(version))
			return nil
		case errors.As(err, &conflict):
			// What stands there, or that nothing does, was not known here: the record
			// may have been gone in between.
			gap = true
			k.version = conflict.Current.Version
			k.former(conflict.Current)
		case errors.As(err, &lapsed):
			k.lease, k.version = "", 0
			return err
		default:
			return err
		}
	}
	return &mtstore.ConflictError{Name: name, Expected: k.version}
}

// former tells of the record that a former life of this daemon left. What that one knew
// of its server is lost otherwise: that it leaves, for one, which a server may say once.
func (k *keeper) former(e mtstore.Entry) {
	if k.Former == nil || e.Version == 0 {
		return
	}
	record, err := mtbackend.Decode(e.Value)
	if err != nil {
		k.Log.Warn("record of a former life can't be read", "version", uint64(e.Version), "error", err)
		return
	}
	k.Former(record)
}

// conflicts is how often a write is tried over what others left.
const conflicts = 3

// end ends the lease, so that others need not wait for it to run out. The record of a
// leaving server is left to its lease: the daemon may be back before that ends, and learns
// from it that the server has no time for new work any more.
func (k *keeper) end() {
	k.certain.Store(0)
	if k.lease == "" || k.written.State == mtbackend.Draining {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := k.Store.End(ctx, k.lease); err != nil {
		k.Log.Warn("own lease runs out by itself", "error", err)
	}
}
