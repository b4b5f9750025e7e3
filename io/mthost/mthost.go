// Package mthost represents the backend server on this VM: it receives the server's
// heartbeats, tracks its incarnation, admits calls to it and runs them there.
//
// No other daemon reaches the server, so this one enforces everything that must hold at it:
// a server that is leaving gets no new work, a key is served only while the server owns it,
// and no more calls are in flight than the server has slots.
//
// # Usage
//
//	host, cleanUp := mthost.New(config)
//	err := host.ObserveHeartbeat(heartbeat) // from the server
//	answer, err := host.Run(ctx, call)      // from callers
//
// Run fails with a *mtreply.RefusedError if the call was not run, otherwise with a
// *mtreply.UnknownError. A Host is safe for concurrent use.
package mthost

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlink"
	"magnoliaturn/core/mtoverload"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtshutdown"
	"magnoliaturn/core/mtzone"
	iobackend "magnoliaturn/io/mtbackend"
	"magnoliaturn/io/mtduty"
	iogate "magnoliaturn/io/mtgate"
)

// clock provides two times: Now may jump ahead but never falls behind the elapsed time, and
// Steady never jumps ahead.
type clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
}

// backendClient sends calls to the server.
type backendClient interface {
	Do(ctx context.Context, target iobackend.Target, call *mtcall.Call) (*mtcall.Answer, error)
	// Identify queries which incarnation of the server answers at an address, and its
	// warm-up state.
	Identify(ctx context.Context, address, path string) (iobackend.Health, error)
}

const (
	// connectAttempts refused connections, connectPause apart, show that the server's
	// process has terminated. A single one may be due to a full queue of new connections.
	connectAttempts = 3
	connectPause    = 100 * time.Millisecond
	// maxWaiting is the number of calls that may wait at the gate, in total and in one of
	// its queues. A queue with more work than fits into any deadline is useless; the gate
	// refuses calls by its estimate long before that.
	maxWaiting = 1024
	// heartbeatTimeout is the time without a heartbeat after which the server's process is
	// checked. A server sends a heartbeat about once a second, and one may arrive seconds
	// late.
	heartbeatTimeout = 2500 * time.Millisecond
	// drainFraction is the part of Config.DrainPeriod in which this daemon sends new calls
	// to a leaving server. The keys move to other servers during that time.
	drainFraction = 0.6
	// tickInterval is how often the host checks the state of its server. It bounds the
	// delay until a server comes into service, and until a leaving one gets no new work.
	tickInterval = 50 * time.Millisecond
	// keyMoveRetry is the time after which to retry a call for a key whose server has left,
	// but whose keys have not moved yet: a move takes 0.1 to 0.3 s while the store is
	// available, and a record is written again 0.6 s after an outage.
	keyMoveRetry = 500 * time.Millisecond
	// stoppingRetry is the time after which to retry a call for a key of this daemon, which
	// shuts down: its keys begin to move at once.
	stoppingRetry = 200 * time.Millisecond
)

// Config holds the settings and dependencies of a Host.
type Config struct {
	Daemon      mtid.Daemon
	Zone        mtid.Zone
	Link        mtbackend.Bandwidth
	Service     mtid.Service // service of the server on this VM
	Address     string       // configured address of the server
	PeerAddress string       // address of this daemon for other daemons
	// DrainPeriod is how long after the acknowledgement that a server is leaving new work
	// may reach it.
	DrainPeriod time.Duration
	Overload    mtoverload.Policies
	Clock       clock
	Client      backendClient
	Log         *slog.Logger
	// Health returns the path of the server's health check, or an empty string while it is
	// unknown.
	Health func() string
	// Publish is called with the record whenever it changes.
	Publish func(mtbackend.Record)
	// PublishLoss is called with each loss of the server that a request may have caused,
	// before the record that reports the end.
	PublishLoss func(mtpoison.Loss)
	// IsDeclared reports whether the configuration in force declares a service.
	IsDeclared func(service mtid.Service) bool
	// Keyed reports whether the service is divided by key.
	Keyed func() bool
	// CheckGrant checks that the server has been granted the key. It fails with a
	// *mtreply.RefusedError if not. It is called for keyed calls.
	CheckGrant func(incarnation mtid.ServerIncarnation, key mtid.KeyNumber) error
	// OnKeyDenied is called when the server denied holding a key that it was granted.
	OnKeyDenied func(key mtid.KeyNumber)
	// ClearGrants removes from a new incarnation of the server the grants that commands
	// meant for a previous one may have given it. It may take a moment.
	ClearGrants func(ctx context.Context, incarnation mtid.ServerIncarnation, address string) error
	// CommandExpiry returns the time until which a command may be in force at the server, by
	// the steady clock. It may be nil if commands do not expire at a known time.
	CommandExpiry func() mtclock.Instant
	// OnChange is called when the incarnation or the state of the server has changed. It
	// must not block.
	OnChange func()
}

// runs are the runs of the calls with one identifier that are in flight at the server.
type runs struct {
	count  int
	latest mtcall.Parent // what nested calls need to know of the run that started last
}

// Host represents the backend server on this VM.
type Host struct {
	Config

	mu       sync.Mutex
	record   mtbackend.Record
	sequence uint64 // of the latest heartbeat of the current incarnation
	// sequenceAt is when the connection with that heartbeat was accepted. A lower number on a later connection shows
	// that one of the two isn't the server's; the later one counts.
	sequenceAt mtclock.Instant
	ended      map[mtid.ServerIncarnation]bool // terminated or replaced
	// leavingSince holds, by incarnation, when its leaving was acknowledged.
	leavingSince map[mtid.ServerIncarnation]mtclock.Instant
	admission    *iogate.AdmissionController[*mtgate.Urgent]
	routes       []mtroute.Route
	drainAt      mtclock.Instant // while draining, the end of new work; zero otherwise
	checking     bool
	clearing     bool
	contenders   contenders      // senders of heartbeats that may be the server
	identifiedAt mtclock.Instant // when the latest query for the running incarnation began
	// uncleared is the latest heartbeat of an incarnation that still has to be cleared.
	uncleared  mtbackend.Heartbeat
	clearAfter mtclock.Instant
	// identifying is set while a query for the running incarnation is in progress.
	identifying       bool
	undetermined      string                                     // latest line about a query without result
	ignored           mtid.ServerIncarnation                     // latest one whose heartbeat was ignored
	nothingListens    bool                                       // the latest query was refused
	proof             proof                                      // that the current incarnation is the server
	refuted           map[mtid.Server]bool                       // names of senders that aren't the server
	replacedAt        map[mtid.ServerIncarnation]mtclock.Instant // when an incarnation was replaced that may still run
	lastOpened        mtclock.Instant                            // when the current incarnation was certainly running, by its heartbeats
	lastHeartbeat     mtclock.Instant                            // time of the latest heartbeat
	lastAccepted      mtclock.Instant                            // when the latest connection with a heartbeat of the current incarnation was accepted
	lastCheck         mtclock.Instant                            // time of the latest process check for lack of heartbeats
	silent            bool                                       // it answered nothing at the latest process check
	endInferredAt     mtclock.Instant                            // when the current incarnation was taken for ended because of silence; zero if it was not
	liveness          *livenessConn                              // nil if there is none
	livenessAge       time.Duration                              // after which it is replaced
	livenessClosed    livenessClose                              // the last one that the server closed, until an incarnation is confirmed
	openingLiveness   bool                                       // a liveness connection is being opened
	openLivenessAfter mtclock.Instant                            // no earlier attempt to open one
	lastConfirmed     mtid.ServerIncarnation                     // latest incarnation confirmed on a liveness connection
	deniedKeys        map[mtid.KeyNumber]bool                    // keys that the server denied holding since its latest heartbeat
	zone              mtzone.Admission
	zoneClosed        bool            // the gate is closed because of the zone
	ordersDoubted     mtclock.Instant // by the steady clock, until when an order about the zone may be unknown
	warmup            mtbackend.WarmupTracker
	startLimit        mtgate.StartRate // for a cold server; zero means no limit
	startLimited      bool             // startLimit is in force at the gate
	lastRun           mtclock.Instant  // when this process was last seen running
	signals           signals
	shutdown          *mtshutdown.Schedule       // nil before the daemon shuts down
	withdrawnTries    *mtshutdown.WithdrawnTries // taken back by their senders

	startedCalls     atomic.Int64 // calls sent to the server
	quotaRefused     atomic.Int64 // calls refused because of its rate limit
	withdrawnRefused atomic.Int64 // calls refused because their senders withdrew them

	inFlightMu sync.Mutex
	inFlight   map[mtcall.ID]runs // calls in flight at the server

	crashMu   sync.Mutex
	recurring *mtpoison.RecurrenceDetector
	crashes   CrashCounts

	link link

	meterMu         sync.Mutex
	meter           *mtrange.Meter
	slowness        mtbackend.Slowness
	relativeTime    float64       // average service time, as a multiple of the configured one
	meanTime        time.Duration // average service time of all calls
	serviceTimes    map[mtid.Class]time.Duration
	configuredTimes map[mtid.Class]time.Duration // by the configuration
}

// New returns a Host that has received no heartbeat of its server yet, and its clean-up
// function.
func New(config Config) (*Host, func()) {
	h := &Host{
		Config:          config,
		refuted:         make(map[mtid.Server]bool),
		replacedAt:      make(map[mtid.ServerIncarnation]mtclock.Instant),
		ended:           make(map[mtid.ServerIncarnation]bool),
		leavingSince:    make(map[mtid.ServerIncarnation]mtclock.Instant),
		deniedKeys:      make(map[mtid.KeyNumber]bool),
		withdrawnTries:  mtshutdown.NewWithdrawnTries(),
		inFlight:        make(map[mtcall.ID]runs),
		relativeTime:    1,
		signals:         signals{logged: mtbackend.Unlimited},
		livenessAge:     livenessMaxAge,
		serviceTimes:    make(map[mtid.Class]time.Duration),
		configuredTimes: make(map[mtid.Class]time.Duration),
		meter:           mtrange.NewMeter(config.Clock.Now()),

		recurring: mtpoison.NewRecurrenceDetector(config.Clock.Now()),
		link:      link{inbound: mtlink.NewInbound(config.Link)},
	}
	h.record = mtbackend.Record{
		Daemon: config.Daemon, Address: config.PeerAddress, Zone: config.Zone, Link: config.Link, Service: config.Service, State: mtbackend.Unknown,
	}
	h.lastHeartbeat = config.Clock.Now()
	h.admission = h.newAdmission()
	// The previous process of this daemon may have sent requests until just now.
	h.admission.AssumeRecentStarts()
	h.warmup.MarkPossiblyCold(h.lastHeartbeat)
	h.lastRun = h.lastHeartbeat
	config.Publish(h.record)
	stop := mtduty.Every(tickInterval, func(context.Context) { h.tick(h.Clock.Now()) })
	return h, func() {
		stop()
		h.closeLiveness()
	}
}

// ignoreIdleRange ignores the gate's notification that no call is in flight in a stopped
// range. Nothing here waits for it: the server itself answers a release command only then.
func ignoreIdleRange(mtid.Point, mtid.Point) {}

func (h *Host) newAdmission() *iogate.AdmissionController[*mtgate.Urgent] {
	limits := mtgate.Limits{Waiting: maxWaiting, MaxWaitFraction: 1}
	order := mtgate.NewUrgent()
	if h.Overload.Reserve {
		order = mtgate.NewReserving()
	}
	admission := iogate.New(h.Clock, order, limits, ignoreIdleRange)
	for _, r := range h.routes {
		declareRoute(admission, r)
	}
	return admission
}

// declareRoute declares a route to the gate, as a class of calls.
func declareRoute(admission *iogate.AdmissionController[*mtgate.Urgent], r mtroute.Route) {
	// The most urgent route has the lowest priority value, the most urgent class the
	// highest.
	class := mtbundle.Class{Name: r.Name, Idempotent: r.Idempotent, Timeout: r.Timeout, Priority: -r.Priority, Queue: maxWaiting}
	admission.Declare("", class)
	admission.Expect("", r.Name, r.ExpectedDuration())
}

// Declare sets the classes of calls that the gate distinguishes: the routes of the
// configuration in force.
func (h *Host) Declare(routes []mtroute.Route) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routes = routes
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	for _, r := range routes {
		h.configuredTimes[r.Name] = r.ExpectedDuration()
		declareRoute(h.admission, r)
	}
}

// tick runs every tickInterval. It stops new work to a leaving server in time, applies
// changed limits to the gate, and retries pending work.
func (h *Host) tick(now mtclock.Instant) {
	h.mu.Lock()
	h.drainIfDue(now)
	h.detectPause(now)
	h.updateLimits(now)
	h.mu.Unlock()
	h.updateSlowness(now)
	h.checkHeartbeat(now)
	h.retryPending(now)
}

// drainIfDue stops new work to a leaving server once its time is over. It is called with mu
// held.
func (h *Host) drainIfDue(now mtclock.Instant) {
	if h.drainAt == 0 || now.Before(h.drainAt) {
		return
	}
	h.drainAt = 0
	h.admission.Drain()
}

// BeginShutdown begins the shutdown of this daemon: calls that could outlast it are not sent to
// the server any more.
func (h *Host) BeginShutdown(s mtshutdown.Schedule) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shutdown = &s
}

// Retire publishes that this daemon shuts down while its server continues to run. Other
// daemons may not be notified while the store is unavailable, so calls that can go to
// another server are refused from now on.
func (h *Host) Retire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.Leaving = true
	h.Publish(h.record)
}

// Close refuses all new calls. Calls in flight finish.
func (h *Host) Close() { h.currentAdmission().Drain() }

// Idle returns a channel that is closed once nothing is in flight after Close.
func (h *Host) Idle() <-chan struct{} { return h.currentAdmission().Idle() }

// Record returns the current record and the server's address.
func (h *Host) Record() (mtbackend.Record, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record, h.Address
}

// Stop makes new calls for keys wait while the keys move to another owner.
func (h *Host) Stop(low, high mtid.KeyNumber) {
	h.currentAdmission().Stop(low.Point(), high.LastPoint())
}

// Resume admits calls for keys again after a stopped move.
func (h *Host) Resume(low, high mtid.KeyNumber) {
	h.currentAdmission().Resume(low.Point(), high.LastPoint())
}

// Release refuses the calls that wait for keys, so that they go to the new owner.
func (h *Host) Release(low, high mtid.KeyNumber) {
	h.currentAdmission().Release(low.Point(), high.LastPoint())
}

func (h *Host) currentAdmission() *iogate.AdmissionController[*mtgate.Urgent] {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.admission
}
