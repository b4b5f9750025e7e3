// Package mtgrant sees to it that the backend server on this VM holds the keys
// that the assignment gives it, and no others.
//
// A grant is an order to the server: it may run calls for these keys for a
// while, under an epoch. The duty renews what the assignment gives to the
// server's present life, as long as this daemon's record certainly stands in
// the platform's store. So whoever finds the record gone, and waits until every
// grant of this daemon must have run out, can give the keys to another server.
// A grant lasts longer than the store's usual outages, so that an outage alone
// stops no key.
//
// A daemon whose record was gone, or that has just started, grants nothing before its
// copy of the assignment is as new as its record: what others took over while the record
// was gone stands in it then. Nor is anything granted to a server that leaves; its keys
// only move away.
//
// Keys leave a server in one of three ways: this daemon releases them, which
// the server answers once nothing runs on them, and then writes their new owner
// (a move); the record shows that the server's process has ended; or the record
// has been gone for long enough.
//
// # Usage
//
//	grants, cleanUp := mtgrant.New(config)
//	err := grants.Holds(server, key) // for each keyed call
//
// A Grants is safe for concurrent use.
package mtgrant

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtcommit"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
)

// Port carries orders to a backend server.
type Port interface {
	// Grant lets the server run calls for the range for the time hold, counted
	// from the order's arrival. It fails with a *SupersededError if the server
	// has seen a higher epoch on one of the keys, and with an *AbsentError if it
	// was not delivered; after any other failure the order may still be carried
	// out, later.
	Grant(ctx context.Context, address string, r mtrange.Range, hold time.Duration) error
	// Release takes keys back. It returns once nothing runs on them, with what
	// the next owner needs to start warm. After a failure the order may still
	// be carried out.
	Release(ctx context.Context, address string, low, high mtid.KeyNumber, epoch mtid.Epoch) (warmth string, err error)
}

// SupersededError says that a server has seen a higher epoch.
type SupersededError struct{ Epoch mtid.Epoch }

// Error implements error.
func (*SupersededError) Error() string { return "grant: the server has seen a higher epoch" }

// AbsentError says that nothing listens at a server's address, so that the order
// was not delivered.
type AbsentError struct{ Err error }

// Error implements error.
func (e *AbsentError) Error() string { return "grant: nobody takes the order: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AbsentError) Unwrap() error { return e.Err }

// UnreadError says that the assignment has not been read from the store yet.
type UnreadError struct{}

// Error implements error.
func (*UnreadError) Error() string { return "grant: the assignment has not been read yet" }

type clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
}

// host is the backend server on this VM.
type host interface {
	Record() (mtbackend.Record, string)
	Stop(low, high mtid.KeyNumber)
	Resume(low, high mtid.KeyNumber)
	Release(low, high mtid.KeyNumber)
	Cut(ranges []mtrange.Range, gifts []mtrange.Offload) []mtrange.KeyMove
	Spill(ranges []mtrange.Range, turn mtrange.SpillPosition, others []mtrange.LoadReport) []mtrange.KeyMove
	Forget(low, high mtid.KeyNumber)
	Gain(low, high mtid.KeyNumber)
	Suspect(life mtid.ServerIncarnation)
	// Bound reports whether an order that is sent now reaches that life of the
	// server, and no other.
	Bound(life mtid.ServerIncarnation) bool
}

// Config is what a Grants works with.
type Config struct {
	Self      mtid.Daemon
	Service   mtid.Service
	Keyed     func() bool // the configuration in force divides the service by key
	Hold      time.Duration
	Directory *mtdirectory.Directory
	Store     mtstore.ConditionalStore
	Host      host
	Port      Port
	Clock     clock
	Log       *slog.Logger
	// Standings returns what is known of the load of this server and the others
	// of its service.
	Standings func() (self mtrange.LoadReport, others []mtrange.LoadReport)
	// Inform tells a daemon of an assignment that gives it keys, as far as it differs
	// from the one at an epoch. It must not block, and may be nil.
	Inform func(to mtid.Daemon, a mtdirectory.Assignment, since mtid.Epoch)
	// Committer writes what this daemon writes itself. If it is nil, there is one of its own.
	Committer *mtcommit.Committer
	// Delegate leaves changes of owners to the daemon that writes for all. It returns false
	// if nothing was left to anybody. It may be nil.
	Delegate func(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool)
	// Survey asks other servers of the service how loaded they are.
	Survey func(ctx context.Context)
}

// grant is a range as the server has been told of it.
type grant struct {
	mtrange.Range
	life    mtid.ServerIncarnation // of the server
	granted mtclock.Instant        // when the last answered order was sent; zero if none
	ordered bool                   // an order was sent, answered or not
	moving  bool                   // stopped at the gate, on its way to another owner
	overdue bool                   // was renewed because the record is about to lapse
}

// Grants keeps the grants of one server.
type Grants struct {
	Config
	wake chan struct{}
	// stopping ends with the clean-up. A move outlives the step that began it.
	stopping context.Context

	mu     sync.Mutex
	grants []*grant
	// ordering is the grant whose order is under way. Its keys don't begin to
	// move before it is answered.
	ordering *grant
	// doubt is until when an order that was not answered may still be in force,
	// for each life of the server. A key that is released while such an order
	// is on its way would be held again.
	doubt     map[mtid.ServerIncarnation]mtclock.Instant
	lasts     mtclock.Instant // until when any order may be in force
	behind    mtclock.Instant // since when the copy is older than the own record; zero if it isn't
	moved     mtclock.Instant // the end of the last relief, or a look that led to none
	relieving bool
	given     int             // keys given to other servers since TakeMoved
	beaten    int             // writes of the last relief that lost against others
	fruitless int             // looks in a row for whom to give work to, of which none was found
	transfers []*transfer     // that wait to be written
	counted   int             // servers that were there at countedAt
	countedAt mtclock.Instant // steady

	reliefs sync.WaitGroup // those under way
	// noticed is since when owners have been found lost, by the steady clock. Only
	// the duty that takes over looks.
	noticed map[mtrange.Owner]mtclock.Instant
	// owners are those of the table owned, which changes far less often than that duty
	// looks.
	owners []mtrange.Owner
	owned  *mtrange.Table
	// stand says that the records of all of them stand, in a view of that roll.
	stand bool
	roll  uint64
}

// New starts the duties and returns the Grants and its clean-up function.
func New(config Config) (*Grants, func()) {
	g := &Grants{Config: config, wake: make(chan struct{}, 1), doubt: make(map[mtid.ServerIncarnation]mtclock.Instant)}
	config.Directory.OnChange(g.Wake)
	// A former process of this daemon may have ordered a grant just before its end.
	g.lasts = config.Clock.Now().Add(orderTimeout + g.longest())
	ctx, cancel := context.WithCancel(context.Background())
	g.stopping = ctx
	closeCommitter := func() {}
	if g.Committer == nil {
		g.Committer, closeCommitter = mtcommit.New(mtcommit.Config{
			Directory: config.Directory, Store: config.Store, Log: config.Log, Inform: config.Inform,
		})
	}
	stopRenewal := mtduty.EveryOr(period, g.wake, g.renew)
	stopTaker := mtduty.Every(takePeriod, g.take)
	stopBalance := mtduty.Every(balancePeriod, g.balance)
	return g, func() {
		cancel()
		stopRenewal()
		stopTaker()
		stopBalance()
		closeCommitter()
		g.reliefs.Wait()
	}
}

// Wake makes the duty look at once.
func (g *Grants) Wake() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Holds fails with a *mtreply.RefusedError unless that life of the server was
// granted the key.
func (g *Grants) Holds(life mtid.ServerIncarnation, key mtid.KeyNumber) error {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, held := range g.grants {
		if !held.Covers(key) || held.life != life {
			continue
		}
		if held.granted == 0 || !now.Before(held.granted.Add(g.Hold)) {
			return g.ungranted(now)
		}
		return nil
	}
	return g.elsewhere(life, key)
}

// elsewhere says why the server does not hold the key.
func (g *Grants) elsewhere(life mtid.ServerIncarnation, key mtid.KeyNumber) error {
	assignment, ok := g.Directory.View().Assignments[g.Service]
	if !ok {
		return &mtreply.RefusedError{Cause: mtreply.CauseNoOwner, RetryAfter: grantRetry}
	}
	r, _ := assignment.Lookup(key)
	if r.Owner == (mtrange.Owner{Daemon: g.Self, Incarnation: life}) {
		return g.ungranted(g.Clock.Now())
	}
	return &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute, Owner: r.Owner.Daemon, Epoch: assignment.Next}
}

// ungranted says why the server does not hold a key that is assigned to it. While the own
// record is not certain nothing is granted, here or elsewhere, and waiting a moment for it
// helps nobody.
func (g *Grants) ungranted(now mtclock.Instant) error {
	retry := grantRetry
	if !g.Directory.RecordValidUntil().After(now) {
		retry = awayRetry
	}
	return &mtreply.RefusedError{Cause: mtreply.CauseNoLease, RetryAfter: retry}
}

// Fenced makes the duty grant the key again, which the server says it does not
// hold: an order to release it may have been carried out late.
func (g *Grants) Fenced(key mtid.KeyNumber) {
	g.mu.Lock()
	for _, held := range g.grants {
		if held.Covers(key) {
			held.granted = 0
		}
	}
	g.mu.Unlock()
	g.Wake()
}

// renew brings the grants in line with the assignment and renews what is due.
func (g *Grants) renew(ctx context.Context) {
	record, address := g.Host.Record()
	owner := record.Owner()
	g.catchUp(g.Clock.Now())
	if owner.Incarnation.IsZero() || record.State == mtbackend.Ended || record.State == mtbackend.Unknown {
		return
	}
	assignment, ok := g.Directory.View().Assignments[g.Service]
	if !ok {
		return
	}
	g.drop(ctx, address, g.adopt(owner, assignment.Owned(owner)))
	for _, held := range g.due(record) {
		g.order(ctx, address, held)
	}
}

// drop releases what the assignment gave to another server without a move of
// this life of the daemon.
func (g *Grants) drop(ctx context.Context, address string, dropped []*grant) {
	for _, held := range dropped {
		g.Log.Warn("grant is no longer assigned here", "server", held.life.String(), "low", held.Low, "high", held.High, "epoch", uint64(held.Epoch))
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		if _, err := g.Port.Release(ctx, address, held.Low, held.High, held.Epoch); err != nil {
			g.Log.Warn("release failed", "low", held.Low, "high", held.High, "error", err)
		}
		cancel()
	}
}

// Clear takes all keys from a life of the server that owns none. An order that
// was meant for a former life at the same address may have reached it.
func (g *Grants) Clear(ctx context.Context, life mtid.ServerIncarnation, address string) error {
	view := g.Directory.View()
	if view.Revision == 0 {
		// Whose keys these are is not known yet, and nobody else hears of the new
		// life before the store is reached.
		return &UnreadError{}
	}
	assignment, ok := view.Assignments[g.Service]
	if !g.Keyed() || !ok || len(assignment.Owned(mtrange.Owner{Daemon: g.Self, Incarnation: life})) > 0 {
		return nil
	}
	for g.orders() {
		if !mtduty.Sleep(ctx, orderTimeout/orderLooks) {
			return ctx.Err()
		}
	}
	_, err := g.Port.Release(ctx, address, 0, mtid.LastKeyNumber, assignment.Next-1)
	return err
}

// orderLooks is how often it is looked whether an order has ended, within the
// time that it may take.
const orderLooks = 100

// orders reports whether an order is under way.
func (g *Grants) orders() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ordering != nil
}

// adopt takes over what the assignment says, and returns the grants that it no
// longer gives to the server and that were not moved from here.
func (g *Grants) adopt(owner mtrange.Owner, owned []mtrange.Range) (dropped []*grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var next []*grant
	for _, r := range owned {
		next = append(next, g.known(owner.Incarnation, r)...)
	}
	for _, held := range g.grants {
		still := slices.ContainsFunc(next, func(n *grant) bool { return n.Epoch == held.Epoch && n.Covers(held.Low) })
		if !still && !held.moving && held.ordered && held.life == owner.Incarnation {
			dropped = append(dropped, held)
		}
		if !still && held.moving {
			next = append(next, held) // its move ends it
		}
	}
	g.grants = next
	return dropped
}

// known returns the grants of a range: as they were, the part that is left of a
// wider one, or a new one.
func (g *Grants) known(life mtid.ServerIncarnation, r mtrange.Range) []*grant {
	var inside []*grant
	keys := 0
	for _, held := range g.grants {
		if held.life != life || held.Epoch != r.Epoch {
			continue
		}
		if r.Covers(held.Low) && r.Covers(held.High) {
			inside = append(inside, held)
			keys += held.Keys()
			continue
		}
		if held.Covers(r.Low) && held.Covers(r.High) && !held.moving {
			left := *held
			left.Low, left.High = r.Low, r.High
			return []*grant{&left}
		}
	}
	if keys == r.Keys() {
		return inside
	}
	return []*grant{{Range: r, life: life}}
}

// TakeMoved returns how many keys have gone from this server to others since the
// last call.
func (g *Grants) TakeMoved() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	given := g.given
	g.given = 0
	return given
}

// Lasts returns until when an order may be in force at the server, whether it was
// answered or not.
func (g *Grants) Lasts() mtclock.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lasts
}
