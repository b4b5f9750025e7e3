// Package mtgrant makes sure that the backend server on this VM holds exactly the keys
// that the assignment gives to it.
//
// A grant is a command that lets the server run calls for a range of keys for a limited
// time, under an epoch. The package renews the grants of everything that the assignment
// gives to the server's current incarnation, as long as this daemon's record is certain to
// exist in the platform's store. So a daemon that finds the record missing, and waits until
// every grant of this daemon must have expired, can give the keys to another server. A
// grant lasts longer than the store's usual outages, so that an outage alone makes no key
// unavailable.
//
// When the store comes back from an older copy, a new era of it begins. A daemon whose record had
// let its server hold keys all the while claims them: they get an epoch of the new era under the
// same owner. All other keys are granted to nobody until no grant of an earlier era can be in
// force, since the newest changes of owners may be lost.
//
// A daemon that has just started, or whose record was missing, grants nothing until its
// copy of the assignment is as new as its record: the copy then includes every takeover
// that happened while the record was missing. A server that is leaving is granted nothing;
// its keys only move away.
//
// Keys leave a server in one of three ways: this daemon releases them, which the server
// confirms once nothing runs on them, and then writes their new owner (a move); the record
// shows that the server's process has terminated; or the record has been missing for long
// enough.
//
//	grants, cleanUp := mtgrant.New(config)
//	err := grants.CheckGranted(incarnation, key) // for each keyed call
//
// A Grants is safe for concurrent use.
package mtgrant

import (
	"context"
	"log/slog"
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

// ServerClient sends commands to a backend server.
type ServerClient interface {
	// Grant lets the server run calls for the range for the duration, counted from the
	// arrival of the command. It calls Confirm after opening a connection for it. It fails with a
	// *SupersededError if the server has seen a higher epoch on one of the keys, and with an
	// *UnreachableError or an *UnconfirmedError if the command was not delivered. After any other error the server may still execute the command, possibly
	// later.
	Grant(ctx context.Context, address string, r mtrange.Range, duration time.Duration) error
	// Release revokes keys. It returns once nothing runs on them, with the state that the
	// next owner needs for a warm start. After an error the server may still execute the
	// command.
	Release(ctx context.Context, address string, low, high mtid.KeyNumber, epoch mtid.Epoch) (warmupState string, err error)
}

// SupersededError reports that a server has seen a higher epoch on a key than the one of
// the grant.
type SupersededError struct{ Epoch mtid.Epoch }

// Error implements error.
func (*SupersededError) Error() string { return "grant: the server has seen a higher epoch" }

// UnreachableError reports that nothing listens at a server's address, so that the command
// was not delivered.
type UnreachableError struct{ Err error }

// Error implements error.
func (e *UnreachableError) Error() string {
	return "grant: nothing listens at the server's address: " + e.Err.Error()
}

// Unwrap returns the error of the connection attempt.
func (e *UnreachableError) Unwrap() error { return e.Err }

// UnconfirmedError reports that a command was not sent, since it is not certain which incarnation of the
// server its connection leads to.
type UnconfirmedError struct{}

// Error implements error.
func (*UnconfirmedError) Error() string {
	return "grant: the connection may lead to another incarnation of the server"
}

// confirmKey is the context key of WithConfirmation.
type confirmKey struct{}

// WithConfirmation returns a context for a command that may be sent only if confirm, called once its
// connection is open, returns true.
func WithConfirmation(ctx context.Context, confirm func() bool) context.Context {
	return context.WithValue(ctx, confirmKey{}, confirm)
}

// Confirm returns an *UnconfirmedError if a command with the context may not be sent over a connection that
// has just been opened.
func Confirm(ctx context.Context) error {
	if confirm, ok := ctx.Value(confirmKey{}).(func() bool); ok && !confirm() {
		return &UnconfirmedError{}
	}
	return nil
}

// AssignmentNotReadError reports that the assignment has not been read from the store yet.
type AssignmentNotReadError struct{}

// Error implements error.
func (*AssignmentNotReadError) Error() string {
	return "grant: the assignment has not been read from the store yet"
}

type clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
}

// host manages the backend server on this VM and its admission gate.
type host interface {
	Record() (mtbackend.Record, string)
	Stop(low, high mtid.KeyNumber)
	Resume(low, high mtid.KeyNumber)
	Release(low, high mtid.KeyNumber)
	SelectMoves(ranges []mtrange.Range, offloads []mtrange.Offload) []mtrange.KeyMove
	Spill(ranges []mtrange.Range, position mtrange.SpillPosition, others []mtrange.LoadReport) []mtrange.KeyMove
	Forget(low, high mtid.KeyNumber)
	AddKeys(low, high mtid.KeyNumber)
	CheckServer(incarnation mtid.ServerIncarnation)
	// ConnectedTo reports whether a command that is sent now reaches that incarnation of
	// the server and no other.
	ConnectedTo(incarnation mtid.ServerIncarnation) bool
}

// Config holds the settings and dependencies of a Grants.
type Config struct {
	Self          mtid.Daemon
	Service       mtid.Service
	Keyed         func() bool // reports whether the current configuration divides the service by key
	GrantDuration time.Duration
	Directory     *mtdirectory.Directory
	Store         mtstore.ConditionalStore
	Host          host
	Client        ServerClient
	Clock         clock
	// Bootstrap reports that the whole system starts for the first time. Otherwise a missing
	// assignment may have been lost by the store, while grants by it are in force.
	Bootstrap bool
	// RunningSince is a time at which the daemon's previous process had ended; zero stands
	// for the time of New. It is by the steady clock.
	RunningSince mtclock.Instant
	Log          *slog.Logger
	// LoadReports returns the known load of this server and of the other servers of its
	// service.
	LoadReports func() (self mtrange.LoadReport, others []mtrange.LoadReport)
	// NotifyOwner notifies a daemon of an assignment that gives it keys, by sending what has
	// changed in the assignment since an epoch. It must not block, and may be nil.
	NotifyOwner func(to mtid.Daemon, a mtdirectory.Assignment, since mtid.Epoch)
	// Committer writes the changes that this daemon writes itself. If it is nil, New
	// creates one.
	Committer *mtcommit.Committer
	// Delegate passes ownership changes to the daemon that writes them for all daemons. It
	// returns false if no other daemon was asked to write them. It may be nil.
	Delegate func(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool)
	// QueryLoads queries the load of other servers of the service.
	QueryLoads func(ctx context.Context)
	// Answers asks another daemon whether it can be called, and returns within some tenths of a second. If it is nil,
	// all can.
	Answers func(ctx context.Context, daemon mtid.Daemon) bool
}

// grant is the state of one range of keys that is assigned to the server.
type grant struct {
	mtrange.Range
	incarnation mtid.ServerIncarnation // of the server
	// grantedAt is when the last answered command was sent; zero if none. The command may
	// have been for an earlier epoch of the same owner.
	grantedAt    mtclock.Instant
	attempted    bool // a command was sent, answered or not
	moving       bool // stopped at the gate while it moves to another owner
	renewedEarly bool // was renewed because the record is about to expire
	uncertainty
}

// Grants manages the grants of one server. See the package comment.
type Grants struct {
	Config
	wake      chan struct{}
	receivers receivers
	// baseCtx is canceled by the clean-up function. Moves use it, since they outlive the
	// step that began them.
	baseCtx context.Context

	mu     sync.Mutex
	grants []*grant
	// inFlight is the grant that has been sent and not answered yet. Its keys can't start
	// to move until the answer arrives.
	inFlight           *grant
	previous           previousProcess
	lastExpiry         mtclock.Instant // until when any command may be in effect, by the steady clock
	staleSince         mtclock.Instant // since when the copy is older than this daemon's record; zero if it is not
	lastOffload        mtclock.Instant // when the last offload ended, or was last considered without a result
	offloading         bool
	movedKeys          int                // keys moved to other servers since the last TakeMovedCount
	writeConflicts     int                // writes of the last offload that lost against conflicting writes
	emptyPlans         int                // consecutive attempts that found no server to offload to
	transfers          []*pendingTransfer // waiting to be written
	survivorCount      int                // number of survivors since survivorCountSince
	survivorCountSince mtclock.Instant    // by the steady clock
	firstSurvivorSince mtclock.Instant    // when the first assignment could have been written; zero if never
	claims             []claim            // not settled yet
	claimedEra         mtid.Era           // era of the last tenure from which claims were made
	claiming           bool               // claims are being written
	claimFailed        bool               // the last attempt to write them failed
	claimedFirst       bool               // claims were made from some tenure
	forgone            []mtrange.Range    // moves whose outcome is lost with their era
	unowned            Waits              // keys of the service that have no owner
	ungranted          Waits              // keys of the server that are not granted to it

	offloads sync.WaitGroup // running ones
	// lostSince holds when each lost owner was first found lost, by the steady clock. Only
	// the takeover loop uses it.
	lostSince map[mtrange.Owner]mtclock.Instant
	// owners are the owners in ownersTable of ranges that are not fallow in ownersEra. They are
	// cached because the table changes far less often than the takeover loop runs.
	owners      []mtrange.Owner
	ownersTable *mtrange.Table
	ownersEra   mtid.Era
	// recordsValid is the result of allRecordsValid for ownersTable and a view whose
	// MembershipVersion is recordsVersion.
	recordsValid   bool
	recordsVersion uint64
}

// New starts the background loops and returns the Grants and its clean-up function.
func New(config Config) (*Grants, func()) {
	g := &Grants{Config: config, wake: make(chan struct{}, 1), receivers: receivers{answers: config.Answers, silent: make(map[mtid.Daemon]mtclock.Instant)}}
	config.Directory.OnChange(g.Wake)
	if g.RunningSince == 0 {
		g.RunningSince = config.Clock.Steady()
	}
	// The daemon's previous process may have sent a grant just before it ended.
	g.previous.expiry = g.commandExpiry(g.RunningSince)
	g.lastExpiry = g.previous.expiry
	ctx, cancel := context.WithCancel(context.Background())
	g.baseCtx = ctx
	closeCommitter := func() {}
	if g.Committer == nil {
		g.Committer, closeCommitter = mtcommit.New(mtcommit.Config{
			Directory: config.Directory, Store: config.Store, Log: config.Log, NotifyOwner: config.NotifyOwner,
		})
	}
	stopReconcile := mtduty.EveryOrOnSignal(reconcilePeriod, g.wake, g.reconcile)
	stopTakeover := mtduty.Every(takeoverPeriod, g.assignKeys)
	stopBalance := mtduty.Every(balancePeriod, g.balance)
	return g, func() {
		cancel()
		stopReconcile()
		stopTakeover()
		stopBalance()
		closeCommitter()
		g.offloads.Wait()
	}
}

// Wake makes the reconcile loop run at once.
func (g *Grants) Wake() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// CheckGranted returns nil if the key is granted to that incarnation of the server, and a
// *mtreply.RefusedError otherwise.
func (g *Grants) CheckGranted(incarnation mtid.ServerIncarnation, key mtid.KeyNumber) error {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, held := range g.grants {
		if !held.Covers(key) || held.incarnation != incarnation {
			continue
		}
		if held.grantedAt != 0 && now.Before(held.grantedAt.Add(g.GrantDuration)) {
			return nil
		}
		if view := g.Directory.View(); held.Epoch.Era() != view.Era() {
			return g.checkFallow(view, key)
		}
		return g.notGrantedError(now)
	}
	return g.notHeldError(incarnation, key)
}

// notHeldError returns the error for a key that the server has no grant for.
func (g *Grants) notHeldError(incarnation mtid.ServerIncarnation, key mtid.KeyNumber) error {
	assignment, ok := g.Directory.View().Assignments[g.Service]
	if !ok {
		return &mtreply.RefusedError{Cause: mtreply.CauseNoOwner, RetryAfter: grantRetry}
	}
	r, _ := assignment.Lookup(key)
	if r.Owner == (mtrange.Owner{Daemon: g.Self, Incarnation: incarnation}) {
		return g.notGrantedError(g.Clock.Now())
	}
	return &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute, Owner: r.Owner.Daemon, Epoch: assignment.Next}
}

// notGrantedError returns the error for a key that is assigned to the server but not
// currently granted. While this daemon's record is not certain to exist, nothing is granted
// here or elsewhere, so the error asks the caller to retry later.
func (g *Grants) notGrantedError(now mtclock.Instant) error {
	retry := grantRetry
	if !g.Directory.RecordValidUntil().After(now) {
		retry = unavailableRetry
	}
	return &mtreply.RefusedError{Cause: mtreply.CauseNoLease, RetryAfter: retry}
}

// Regrant grants a key again after the server has reported that it does not hold it: a
// release of the key may have been executed late.
func (g *Grants) Regrant(key mtid.KeyNumber) {
	g.mu.Lock()
	for _, held := range g.grants {
		if held.Covers(key) {
			held.grantedAt = 0
		}
	}
	g.mu.Unlock()
	g.Wake()
}

// ReleaseUnowned revokes all keys from an incarnation of the server that owns none. A
// command for the previous incarnation at the same address may have reached it.
func (g *Grants) ReleaseUnowned(ctx context.Context, incarnation mtid.ServerIncarnation, address string) error {
	view := g.Directory.View()
	if view.Revision == 0 {
		// The owner of the keys is unknown until the assignment has been read. No other
		// daemon sees the new incarnation before the store is reachable.
		return &AssignmentNotReadError{}
	}
	assignment, ok := view.Assignments[g.Service]
	if !g.Keyed() || !ok || len(assignment.Owned(mtrange.Owner{Daemon: g.Self, Incarnation: incarnation})) > 0 {
		return nil
	}
	for g.grantInFlight() {
		if !mtduty.Sleep(ctx, commandTimeout/inFlightPolls) {
			return ctx.Err()
		}
	}
	_, err := g.Client.Release(ctx, address, 0, mtid.LastKeyNumber, assignment.Next-1)
	return err
}

// inFlightPolls is how many times ReleaseUnowned checks for a pending answer within
// commandTimeout.
const inFlightPolls = 100

// grantInFlight reports whether a grant has been sent and not answered yet.
func (g *Grants) grantInFlight() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight != nil
}

// TakeMovedCount returns how many keys have moved from this server to others since the last
// call.
func (g *Grants) TakeMovedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	moved := g.movedKeys
	g.movedKeys = 0
	return moved
}

// LastExpiry returns the time until which any command that was sent, answered or not, may
// be in effect at the server, by the steady clock. A command that is in flight may arrive just
// now.
func (g *Grants) LastExpiry() mtclock.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight != nil {
		return max(g.lastExpiry, g.commandExpiry(g.Clock.Steady()))
	}
	return g.lastExpiry
}
