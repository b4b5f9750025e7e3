package mtdirectory

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

const (
	// renewalsPerLease is the number of renewals within the duration of a lease. One
	// of them may fail, since it is retried once.
	renewalsPerLease = 2
	// maxClockDrift is the fraction of a lease that is not relied on, since the
	// store's clock may run faster than the clock of this VM.
	maxClockDrift = 0.02
	// callTimeout limits a call to the store. Responses take some milliseconds, or
	// 0.4 s if the store is slow; during an outage a call may hang forever. After a
	// renewal that hangs, there is time for a second one before a lease of 2 s expires.
	callTimeout = 600 * time.Millisecond
	// retryInterval is the interval between attempts to write the record while the
	// store fails. Records have to be present again within two seconds after the store
	// has recovered, and each attempt is billed.
	retryInterval = 600 * time.Millisecond
	// endLeaseTimeout limits the call that ends the lease during a shutdown.
	endLeaseTimeout = 150 * time.Millisecond
)

// publisher writes this daemon's own record to the store and keeps it there.
type publisher struct {
	Config
	trigger chan struct{}

	mu        sync.Mutex
	wanted    mtbackend.Record
	published bool           // Publish was called
	losses    []*pendingLoss // oldest first
	// writtenLosses are the last ones that are in the store, oldest first.
	writtenLosses []writtenLoss

	// State of the background goroutine.
	lease     mtstore.LeaseID
	version   mtid.Version
	written   mtbackend.Record
	renewedAt mtclock.Instant
	failing   bool
	era       mtid.Era // of the store, the last one entered
	tenure    Tenure   // the current one; without Until, and zero if there is none
	former    atomic.Pointer[Tenure]

	validUntil     atomic.Int64
	lastVersion    atomic.Uint64               // version of the last write
	validSince     atomic.Uint64               // version since which the record has been present without a gap, and has not reported the end of the server
	foreignVersion atomic.Uint64               // version that another writer stored under this daemon's name
	deletedAt      atomic.Uint64               // revision at which the record was reported as deleted
	registeredAt   atomic.Uint64               // version of the last write of the registration
	unregisteredAt atomic.Uint64               // revision at which the registration was reported as deleted
	firstWrite     atomic.Pointer[recordWrite] // the first one of the era entered last
	unavailable    atomic.Bool                 // the last attempt to maintain the record failed
}

func newPublisher(config Config) *publisher {
	return &publisher{Config: config, trigger: make(chan struct{}, 1)}
}

// publish sets the record to write.
func (p *publisher) publish(r mtbackend.Record) {
	p.mu.Lock()
	same := p.published && p.wanted == r
	p.wanted, p.published = r, true
	if reportsEnd(r) {
		// Others may take over the keys from the next write on, even if its answer is lost. A
		// server that runs after all gets only what is left to it then: with an older copy, it
		// would be granted keys that have another owner.
		p.validSince.Store(0)
	}
	p.mu.Unlock()
	if same {
		return
	}
	p.runNow()
}

// reportsEnd reports whether a record lets others take over the keys of the server it names.
func reportsEnd(r mtbackend.Record) bool { return !r.MayHoldKeys(r.Incarnation) }

// setValidSince records the version since which the record has let the server hold keys, unless
// its end was published or written meanwhile.
func (p *publisher) setValidSince(version mtid.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reportsEnd(p.wanted) && !reportsEnd(p.written) {
		p.validSince.Store(uint64(version))
		p.tenure = Tenure{Incarnation: p.written.Incarnation, Since: version}
	}
}

// stands reports whether a record of this process stands in the store, as far as it knows.
func (p *publisher) stands() bool { return p.version != 0 && p.written != mtbackend.Record{} }

// needsWrite reports whether the record in the store differs from the wanted one, or may have
// reported the end of a server that runs.
func (p *publisher) needsWrite(wanted mtbackend.Record) bool {
	return p.version == 0 || p.written != wanted || p.validSince.Load() == 0 && !reportsEnd(wanted)
}

// onOverwritten is called when an entry that no daemon wrote was found under this
// daemon's name. The record is written again, because other daemons ignore the invalid
// entry and would keep using the previous record. A record of another incarnation of
// this daemon is not reported here and stays: that incarnation has replaced this one.
func (p *publisher) onOverwritten(version mtid.Version) {
	p.foreignVersion.Store(uint64(version))
	p.runNow()
}

// onDeleted is called when this daemon's record was reported as deleted. If it is the one
// that this incarnation wrote last, its lease may still be active: another writer deleted
// the record, or the store deletes keys without ending their leases. Renewals would keep
// succeeding, so this daemon would consider the record valid forever, while all other
// daemons count down to taking over the keys.
func (p *publisher) onDeleted(revision mtid.Revision) {
	if uint64(revision) <= p.lastVersion.Load() {
		return // the deletion precedes the last write
	}
	p.deletedAt.Store(uint64(revision))
	p.validUntil.Store(0)
	p.runNow()
}

// onUnregistered is called when this daemon's registration was reported as deleted. Other daemons accept no
// record without one.
func (p *publisher) onUnregistered(revision mtid.Revision) {
	p.unregisteredAt.Store(uint64(revision))
	p.runNow()
}

// runNow makes the background goroutine run its next step immediately.
func (p *publisher) runNow() {
	select {
	case p.trigger <- struct{}{}:
	default:
	}
}

// recordValidUntil returns the time until which the record is certainly present in the
// store.
func (p *publisher) recordValidUntil() mtclock.Instant { return mtclock.Instant(p.validUntil.Load()) }

// recordValidSince returns the version since which the record has been present without
// a gap, and has let the server hold keys, as far as this incarnation knows. Zero means that
// it is not present, or reports the end of the server.
func (p *publisher) recordValidSince() mtid.Version {
	if p.recordValidUntil() == 0 {
		return 0
	}
	return mtid.Version(p.validSince.Load())
}

// lastWritten returns the version of the last write of the record.
func (p *publisher) lastWritten() mtid.Version { return mtid.Version(p.lastVersion.Load()) }

// start starts the background goroutine and returns the function that stops it and
// ends the lease.
func (p *publisher) start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			p.wait(ctx, p.step(ctx))
		}
	})
	return func() {
		cancel()
		running.Wait()
		p.endLease()
	}
}

// wait waits for the next step, or until a step is requested by runNow.
func (p *publisher) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.trigger:
	}
}

// step renews the lease and writes the record if necessary. It returns the delay until
// the next step.
func (p *publisher) step(ctx context.Context) time.Duration {
	p.mu.Lock()
	wanted, published := p.wanted, p.published
	p.mu.Unlock()
	if !published {
		return p.Lease
	}
	started := p.Clock.Now()
	err := p.maintain(ctx, wanted)
	p.unavailable.Store(err != nil)
	if err != nil {
		if ctx.Err() == nil {
			p.Log.Warn("own record can't be kept", "error", err, "certain", p.recordValidUntil().Sub(p.Clock.Now()))
		}
		return p.retryDelay(p.Clock.Now().Sub(started))
	}
	if p.failing {
		p.Log.Info("own record stands again")
		p.failing = false
	}
	return p.Lease / renewalsPerLease
}

// retryDelay returns the delay after a failed attempt that took the given time. The
// first failed renewal may only be a lost response, so the next attempt starts while
// the lease is still active.
func (p *publisher) retryDelay(elapsed time.Duration) time.Duration {
	first := !p.failing
	p.failing = true
	if first {
		return max(retryInterval-elapsed, 0)
	}
	return retryInterval
}

// maintain renews the lease and brings the record up to date. The store counts the
// lease from the arrival of the call, which is later than the time of sending from
// which this daemon counts it.
func (p *publisher) maintain(ctx context.Context, wanted mtbackend.Record) error {
	p.enterEra()
	sent := p.Clock.Now()
	if err := p.ensureLease(ctx, sent); err != nil {
		return err
	}
	lossesWritten, err := p.writeLosses(ctx)
	if err != nil {
		return err
	}
	if foreign := mtid.Version(p.foreignVersion.Swap(0)); p.version != 0 && foreign > p.version {
		p.Log.Warn("own record was written over", "own", p.version.Number(), "by", foreign.Number())
		p.version, p.written = foreign, mtbackend.Record{}
	}
	if deleted := p.deletedAt.Swap(0); p.version != 0 && deleted > uint64(p.version) {
		p.Log.Warn("own record was deleted", "own", p.version.Number(), "revision", mtid.Revision(deleted).Number())
		p.version, p.tenure = 0, Tenure{}
	}
	if p.unregisteredAt.Swap(0) > p.registeredAt.Load() {
		p.written = mtbackend.Record{} // written again, with the registration
	}
	if !lossesWritten {
		p.runNow() // a changed record is written after them
		if p.stands() {
			p.extendValidity()
		}
		return nil
	}
	if p.needsWrite(wanted) {
		if err := p.writeRecord(ctx, wanted); err != nil {
			return err
		}
	}
	p.extendValidity()
	return nil
}

// inTime makes a call to the store. Each call has its own time. If the calls of an attempt shared one, and the
// store were slow, no attempt would come to its end; and the write that is given up would be executed, so
// that the first write of the next attempt would meet a conflict and take its time.
func inTime[T any](ctx context.Context, call func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}

// extendValidity records that the record is valid for one lease duration after the
// last renewal.
func (p *publisher) extendValidity() {
	p.validUntil.Store(int64(p.renewedAt.Add(time.Duration(float64(p.Lease) * (1 - maxClockDrift)))))
}

// enterEra reports whether the store has begun a later era than the one entered last. If so, it
// forgets the lease and the record, if there are any: the store may assign their lease ID and
// version again.
func (p *publisher) enterEra() bool {
	era := p.Store.Era()
	if era <= p.era {
		return false
	}
	if p.lease == "" {
		p.Log.Info("own record enters an era of the store without a lease", "era", era, "before", p.era)
	} else {
		p.Log.Warn("own record and lease are lost: the store has begun a new era", "era", era, "before", p.era, "own", p.version.Number())
	}
	if p.tenure.Since != 0 && p.deletedAt.Load() <= uint64(p.version) {
		ended := p.tenure
		ended.Until = p.recordValidUntil()
		p.former.Store(&ended)
	}
	p.rewriteLosses(p.Clock.Now())
	p.era, p.tenure = era, Tenure{}
	p.lease, p.version, p.written, p.renewedAt = "", 0, mtbackend.Record{}, 0
	p.validUntil.Store(0)
	p.validSince.Store(0)
	p.foreignVersion.Store(0)
	p.deletedAt.Store(0)
	if p.OnEra != nil {
		p.OnEra(era)
	}
	return true
}

// endTenure ends the tenure if a record may have been written that lets others take over the keys
// of the incarnation that holds them so far.
func (p *publisher) endTenure(r mtbackend.Record, err error) {
	var unknown *mtstore.UnknownError
	if !r.MayHoldKeys(p.tenure.Incarnation) && (err == nil || errors.As(err, &unknown)) {
		p.tenure = Tenure{}
	}
}

// ensureLease requests a lease or renews the current one.
func (p *publisher) ensureLease(ctx context.Context, sent mtclock.Instant) error {
	if p.lease != "" {
		if p.renewedAt != 0 && sent.Sub(p.renewedAt) < p.Lease/renewalsPerLease/2 {
			return nil // a record is published shortly after a renewal
		}
		_, err := inTime(ctx, func(ctx context.Context) (struct{}, error) { return struct{}{}, p.Store.Renew(ctx, p.lease) })
		var expired *mtstore.LeaseExpiredError
		if !errors.As(err, &expired) {
			if err == nil {
				p.renewedAt = sent
			}
			return err
		}
		p.loseLease()
	}
	lease, err := inTime(ctx, func(ctx context.Context) (mtstore.LeaseID, error) { return p.Store.Grant(ctx, p.Lease) })
	// This answer, or another one since, may have shown a new era. A lease that was granted in an
	// earlier era is not returned: the call fails.
	p.enterEra()
	if err != nil {
		return err
	}
	p.lease, p.renewedAt = lease, sent
	return nil
}

// loseLease forgets the lease, which the store has reported as expired, and the record with it.
func (p *publisher) loseLease() {
	if p.enterEra() {
		return
	}
	p.Log.Warn("own lease has expired", "lease", p.lease)
	p.lease, p.version, p.tenure = "", 0, Tenure{}
	p.validUntil.Store(0)
}

// recordWrite is a write of the record that succeeded.
type recordWrite struct {
	version mtid.Version
	sent    mtclock.Instant // by the clock that never runs slow
}

// sentBefore returns a time before which an entry with a version was certainly not written: this
// daemon sent a write at that time, and the store gave it a lower version in the same era.
func (p *publisher) sentBefore(version mtid.Version) (mtclock.Instant, bool) {
	first := p.firstWrite.Load()
	if first == nil || first.version.Era() != version.Era() || first.version >= version {
		return 0, false
	}
	return first.sent, true
}

// writeRecord writes the record. A previous incarnation of this daemon may have left a
// record whose lease is still active, or an earlier write whose response was lost may
// have been applied. Both show as a conflict that contains the current entry.
func (p *publisher) writeRecord(ctx context.Context, wanted mtbackend.Record) error {
	value, err := wanted.Encode()
	if err != nil {
		return err
	}
	name := mtstore.BackendName(p.era, p.Self)
	interrupted := p.version == 0 || p.validSince.Load() == 0
	mayBeAbsent := p.version == 0 || p.written == mtbackend.Record{}
	for range maxWriteAttempts {
		sent := p.Clock.Now()
		version, err := inTime(ctx, func(ctx context.Context) (mtid.Version, error) {
			return p.swapRecord(ctx, name, value, mayBeAbsent)
		})
		p.endTenure(wanted, err)
		var conflict *mtstore.ConflictError
		var expired *mtstore.LeaseExpiredError
		switch {
		case err == nil && version.Era() != p.era:
			return &eraError{Name: name, Era: version.Era()} // written under a name that counts no more
		case err == nil:
			if first := p.firstWrite.Load(); first == nil || first.version.Era() != version.Era() {
				p.firstWrite.Store(&recordWrite{version: version, sent: sent})
			}
			p.version, p.written = version, wanted
			if mayBeAbsent {
				p.registeredAt.Store(uint64(version))
			}
			if interrupted {
				p.setValidSince(version)
			} else if !reportsEnd(wanted) {
				p.tenure = Tenure{Incarnation: wanted.Incarnation, Since: mtid.Version(p.validSince.Load())}
			}
			p.lastVersion.Store(uint64(version))
			p.Log.Info("own record written", "state", wanted.State, "server", wanted.Incarnation.String(), "leaving", wanted.Leaving, "version", version.Number())
			return nil
		case errors.As(err, &conflict):
			// This daemon did not know the current entry, or that there is none: the
			// record may have been absent in between.
			interrupted, mayBeAbsent, p.tenure = true, true, Tenure{}
			p.version = conflict.Current.Version
			p.reportPrevious(conflict.Current)
		case errors.As(err, &expired):
			p.loseLease()
			return err
		default:
			return err
		}
	}
	return &mtstore.ConflictError{Name: name, Expected: p.version}
}

// swapRecord writes the record over its last known version. Where the record may have been absent, also
// if another writer's entry stands in its place now, the registration is written with it: whoever
// takes this daemon's keys over while the record is absent goes by that.
func (p *publisher) swapRecord(ctx context.Context, name string, value []byte, mayBeAbsent bool) (mtid.Version, error) {
	if !mayBeAbsent {
		return p.Store.Swap(ctx, name, p.version, value, p.lease)
	}
	known := []mtstore.Condition{{Name: name, Version: p.version}}
	record := mtstore.Put{Name: name, Value: value, Lease: p.lease}
	registration := mtstore.Put{Name: mtstore.RegistrationName(p.era, p.Self), Value: []byte(p.Self)}
	return p.Store.Commit(ctx, known, record, registration)
}

// reportPrevious passes on the record that a previous incarnation of this daemon left.
// Otherwise, what that incarnation knew about its server would be lost, for example that it
// is leaving, which a server may report only once.
func (p *publisher) reportPrevious(e mtstore.Entry) {
	if p.OnPreviousRecord == nil || e.Version == 0 {
		return
	}
	record, err := decodeRecord(e)
	if err != nil {
		p.Log.Warn("record of a previous incarnation of this daemon can't be decoded", "version", e.Version.Number(), "error", err)
		return
	}
	p.OnPreviousRecord(record)
}

// eraError reports that the store has begun a new era while the record was written.
type eraError struct {
	Name string
	Era  mtid.Era
}

// Error implements error.
func (e *eraError) Error() string {
	return fmt.Sprintf("directory: %s was written in era %d of the store", e.Name, e.Era)
}

// maxWriteAttempts is the number of attempts to write the record over conflicting
// entries.
const maxWriteAttempts = 3

// endLease ends the lease, so that other daemons need not wait until it expires. The
// record of a draining server is left to expire: the daemon may be restarted before
// that, and finds in the record that the server has no time for new work.
func (p *publisher) endLease() {
	p.validUntil.Store(0)
	if p.lease == "" || p.written.State == mtbackend.Draining {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endLeaseTimeout)
	defer cancel()
	if err := p.Store.End(ctx, p.lease); err != nil {
		p.Log.Warn("own lease could not be ended and remains until it expires", "error", err)
	}
}
