package mtstandin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtaudit"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mttime"
)

// MaxBody is the maximum size of a request body that a server accepts, in bytes.
const MaxBody = 16 << 20

// ServerSetting configures the identity and the behaviour of a server stand-in.
type ServerSetting struct {
	Name    string // in the journal, unique per incarnation
	Service mtid.Ref
	Address string // where the server is reached, host:port
	Daemon  string // base URL of the daemon to announce to; empty disables announcements
	// Slots and Connections are announced. Requests beyond Slots wait, or are
	// refused if Shed is set.
	Slots       int
	Connections int
	Shed        bool
	Epochs      bool // refuse epochs below the highest seen for a key
	Deadlines   bool // honour start-by times and deadlines
	Grants      bool // cancel keyed runs when the daemon's lease ends
	Time        ServiceTime
	// Cold is how long after its start the server is cold; its service time is
	// multiplied by ColdFactor meanwhile.
	Cold       time.Duration
	ColdFactor float64
	Reply      int    // length of a reply, bytes
	Crash      string // path after the key that crashes the server; empty disables it
	Load       float64
	FixedLoad  bool // announce Load instead of the measured load
	Seed       uint64
}

func (s *ServerSetting) check() error {
	if s.ColdFactor < 1 {
		return &SettingError{Field: "cold-factor", Value: fmt.Sprint(s.ColdFactor), Accept: "1 or more"}
	}
	if s.Reply < 0 || s.Reply > MaxBody {
		return &SettingError{Field: "reply", Value: strconv.Itoa(s.Reply), Accept: fmt.Sprintf("0 to %d", MaxBody)}
	}
	a := s.announcement()
	if faults := a.Check(); len(faults) > 0 {
		return faults[0]
	}
	return s.Time.check()
}

func (s *ServerSetting) announcement() mtannounce.Announcement {
	return mtannounce.Announcement{
		Business: s.Service.Business, Service: s.Service.Service, Address: s.Address,
		Slots: s.Slots, Connections: s.Connections, Epochs: s.Epochs, Deadlines: s.Deadlines, Grants: s.Grants,
		State: mtannounce.Ready,
	}
}

// Server is a stand-in for a backend server. It is an http.Handler and safe for
// concurrent use.
type Server struct {
	setting     ServerSetting
	journal     *Journal[mtaudit.Event]
	crash       func()
	clock       *mttime.Clock
	started     mtclock.Instant
	slots       chan struct{}
	random      *sharedRand
	runs        atomic.Uint64
	busy        atomic.Int64
	draining    atomic.Bool
	leaseEnd    atomic.Int64  // boot-time clock: until when the daemon's lease is known to hold
	announceNow chan struct{} // triggers an announcement before the next tick

	mu     sync.Mutex
	epochs map[mtid.Key]mtid.Epoch // highest seen per key
}

// NewServer returns a server and starts its announcements. crash is called when a
// request crashes the server and must not return. The clean-up function stops the
// announcements. It fails with a *SettingError or a *mtannounce.FieldError.
func NewServer(setting ServerSetting, journal *Journal[mtaudit.Event], crash func()) (*Server, func(), error) {
	if err := setting.check(); err != nil {
		return nil, nil, err
	}
	clock := mttime.New()
	s := &Server{
		setting: setting, journal: journal, crash: crash, clock: clock, started: clock.Now(),
		slots: make(chan struct{}, setting.Slots), random: newSharedRand(setting.Seed),
		announceNow: make(chan struct{}, 1), epochs: make(map[mtid.Key]mtid.Epoch),
	}
	return s, s.announce(), nil
}

// Drain makes the server announce that it is draining. It still runs the requests
// it receives: the daemon is responsible for sending no more.
func (s *Server) Drain() {
	s.draining.Store(true)
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
}

// Busy returns how many requests are running or waiting for a slot.
func (s *Server) Busy() int { return int(s.busy.Load()) }

// incomingRequest is the parsed form of a request.
type incomingRequest struct {
	id       string
	key      mtid.Key
	rest     string
	class    mtid.Class
	epoch    mtid.Epoch
	startBy  int64 // boot-time clock; zero if absent
	deadline int64
	digest   mtaudit.Digest
}

// ServeHTTP runs a request, or refuses it if it is malformed, finds no slot or must
// not begin.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.busy.Add(1)
	defer s.busy.Add(-1)
	a, detail := readRequest(r)
	w.Header().Set(mtheader.ID, a.id)
	if detail != "" {
		refuse(w, http.StatusBadRequest, mtreply.CauseMalformed, detail)
		return
	}
	ctx, cancel := s.withDeadline(r.Context(), a)
	defer cancel()
	if !s.acquireSlot(ctx) {
		refuse(w, http.StatusServiceUnavailable, mtreply.CauseShed, "no slot is free")
		return
	}
	defer func() { <-s.slots }()
	if cause := s.admit(a); cause != "" {
		refuse(w, http.StatusPreconditionFailed, cause, "")
		return
	}
	s.run(ctx, w, a)
}

// run executes an admitted request, journals its begin and end, and replies.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, a incomingRequest) {
	event := mtaudit.Event{
		Kind: mtaudit.Begin, At: time.Now(), Server: s.setting.Name, Run: s.runs.Add(1), ID: mtaudit.ID(a.id),
		Business: s.setting.Service.Business, Service: s.setting.Service.Service, Key: a.key, Class: a.class,
		Epoch: a.epoch, Request: a.digest,
	}
	s.journal.Write(event)
	if s.setting.Crash != "" && a.rest == s.setting.Crash {
		s.crash()
	}
	completed := s.work(ctx, a.epoch)
	event.Kind, event.At = mtaudit.End, time.Now()
	if !completed {
		s.journal.Write(event)
		// Any reply would count as an answer, so the connection is closed without one.
		panic(http.ErrAbortHandler)
	}
	body := s.reply(a, event.Run)
	event.Reply = mtaudit.DigestOf(body)
	s.journal.Write(event)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// work waits for the service time. It returns false if the caller disconnected, the
// deadline passed or the daemon's lease ended first.
func (s *Server) work(ctx context.Context, epoch mtid.Epoch) bool {
	d := s.random.draw(s.setting.Time)
	if s.cold() {
		d = time.Duration(float64(d) * s.setting.ColdFactor)
	}
	leased := s.setting.Grants && epoch != 0
	end := s.clock.Boot() + int64(d)
	for {
		now := s.clock.Boot()
		if leased && now >= s.leaseEnd.Load() {
			return false
		}
		if now >= end {
			return ctx.Err() == nil
		}
		wait := end - now
		if leased {
			wait = min(wait, s.leaseEnd.Load()-now)
		}
		if pause(ctx, time.Duration(wait)) != nil {
			return false
		}
	}
}

// pause waits for d and returns the error of ctx if ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	if !mtduty.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// extendLease records a later end of the daemon's lease and ignores an earlier one.
func (s *Server) extendLease(leaseEnd int64) {
	for {
		old := s.leaseEnd.Load()
		if leaseEnd <= old || s.leaseEnd.CompareAndSwap(old, leaseEnd) {
			return
		}
	}
}

// withDeadline limits ctx to the deadline of the request.
func (s *Server) withDeadline(ctx context.Context, a incomingRequest) (context.Context, context.CancelFunc) {
	if !s.setting.Deadlines || a.deadline == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(a.deadline-s.clock.Boot()))
}

// acquireSlot waits for a slot. It returns false if ctx ends first, or at once if the
// server sheds and no slot is free.
func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.setting.Shed {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// admit returns why a request that holds a slot must not begin, or "". It is the
// last check before the run: the lease of the owner that sent the request may have
// ended while it waited past its start-by time, and a new owner may already serve
// the key.
func (s *Server) admit(a incomingRequest) mtreply.Cause {
	if s.setting.Deadlines {
		now := s.clock.Boot()
		if a.startBy != 0 && now > a.startBy {
			return mtreply.CauseFenced
		}
		if a.deadline != 0 && now > a.deadline {
			return mtreply.CauseExpired
		}
	}
	s.extendLease(a.startBy)
	if !s.setting.Epochs {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.epoch < s.epochs[a.key] {
		return mtreply.CauseFenced
	}
	s.epochs[a.key] = a.epoch
	return ""
}

func (s *Server) cold() bool {
	return s.clock.Now().Sub(s.started) < s.setting.Cold
}

// reply returns a body that is unique to the run.
func (s *Server) reply(a incomingRequest, run uint64) []byte {
	head := fmt.Sprintf("request %s key %q class %s run %d at %s\n", a.id, a.key, a.class, run, s.setting.Name)
	if len(head) >= s.setting.Reply {
		return []byte(head)
	}
	repeats := s.setting.Reply/len(head) + 1
	return []byte(strings.Repeat(head, repeats))[:s.setting.Reply]
}

// readRequest parses a request. It returns a non-empty detail if it is malformed.
func readRequest(r *http.Request) (incomingRequest, string) {
	a := incomingRequest{id: r.Header.Get(mtheader.ID), class: mtid.Class(r.Header.Get(mtheader.Class))}
	if a.id == "" {
		return a, mtheader.ID + " is absent"
	}
	segment, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	key, err := url.PathUnescape(segment)
	if err != nil || key == "" {
		return a, "the path has no key"
	}
	a.key, a.rest = mtid.Key(key), rest
	numbers := map[string]func(n int64){
		mtheader.Epoch:    func(n int64) { a.epoch = mtid.Epoch(n) },
		mtheader.StartBy:  func(n int64) { a.startBy = n },
		mtheader.Deadline: func(n int64) { a.deadline = n },
	}
	for name, set := range numbers {
		text := r.Header.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			return a, name + " is not a whole number"
		}
		set(n)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBody+1))
	if err != nil || len(body) > MaxBody {
		return a, "the body is cut or too large"
	}
	a.digest = mtaudit.DigestOf(body)
	return a, ""
}

// refuse replies that the request was not run.
func refuse(w http.ResponseWriter, status int, cause mtreply.Cause, detail string) {
	w.Header().Set(mtheader.Outcome, string(mtreply.NotRun))
	w.Header().Set(mtheader.Cause, string(cause))
	http.Error(w, detail, status)
}
