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

// MaxBody is the largest body of a request that a server reads, in bytes.
const MaxBody = 16 << 20

// ServerSetting says what a server stand-in is and how it behaves.
type ServerSetting struct {
	Name    string // of this life of the server, as journaled
	Service mtid.Ref
	Address string // that callers of the server connect to, host:port
	Daemon  string // base URL of the daemon to announce to; empty for none
	// Slots and Connections are announced; more than Slots requests at once
	// wait, or are refused if Shed is set.
	Slots       int
	Connections int
	Shed        bool
	Epochs      bool // refuse epochs below the highest seen for a key
	Deadlines   bool // honour start-by times and deadlines
	Grants      bool // cancel keyed runs when the daemon's lease ends
	Time        ServiceTime
	// A server that starts cold multiplies its service time by ColdFactor for
	// the length of Cold.
	Cold       time.Duration
	ColdFactor float64
	Reply      int    // length of a reply, bytes
	Crash      string // the rest of a path that crashes the server; empty for none
	Load       float64
	FixedLoad  bool // announce Load whatever the load is
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

// Server takes the place of a backend server. It is an http.Handler and safe
// for concurrent use.
type Server struct {
	setting ServerSetting
	journal *Journal[mtaudit.Event]
	crash   func()
	clock   *mttime.Clock
	started mtclock.Instant
	slots   chan struct{}
	dice    *dice
	runs    atomic.Uint64
	busy    atomic.Int64
	drain   atomic.Bool
	until   atomic.Int64  // boot-time clock: up to when the daemon's lease is certain
	changed chan struct{} // asks for an announcement ahead of time

	mu     sync.Mutex
	epochs map[mtid.Key]mtid.Epoch // the highest seen
}

// NewServer returns a server and starts its announcements. crash is called for
// a request that crashes the server, and must not return. The clean-up ends
// the announcements. It fails with a *SettingError or a *mtannounce.FieldError.
func NewServer(setting ServerSetting, journal *Journal[mtaudit.Event], crash func()) (*Server, func(), error) {
	if err := setting.check(); err != nil {
		return nil, nil, err
	}
	clock := mttime.New()
	s := &Server{
		setting: setting, journal: journal, crash: crash, clock: clock, started: clock.Now(),
		slots: make(chan struct{}, setting.Slots), dice: newDice(setting.Seed),
		changed: make(chan struct{}, 1), epochs: make(map[mtid.Key]mtid.Epoch),
	}
	return s, s.announce(), nil
}

// Drain makes the server ask for no new work. It goes on answering what it
// gets: it is for the daemon to send no more.
func (s *Server) Drain() {
	s.drain.Store(true)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Busy returns how many requests are running or waiting for a slot.
func (s *Server) Busy() int { return int(s.busy.Load()) }

// ask is a request as the server reads it.
type ask struct {
	id       string
	key      mtid.Key
	rest     string
	class    mtid.Class
	epoch    mtid.Epoch
	startBy  int64 // boot-time clock; zero if absent
	deadline int64
	digest   mtaudit.Digest
}

// ServeHTTP runs one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.busy.Add(1)
	defer s.busy.Add(-1)
	a, detail := readAsk(r)
	w.Header().Set(mtheader.ID, a.id)
	if detail != "" {
		refuse(w, http.StatusBadRequest, mtreply.CauseMalformed, detail)
		return
	}
	ctx, cancel := s.bound(r.Context(), a)
	defer cancel()
	if !s.take(ctx) {
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

// run journals and works on an admitted request, and replies.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, a ask) {
	event := mtaudit.Event{
		Kind: mtaudit.Begin, At: time.Now(), Server: s.setting.Name, Run: s.runs.Add(1), ID: mtaudit.ID(a.id),
		Business: s.setting.Service.Business, Service: s.setting.Service.Service, Key: a.key, Class: a.class,
		Epoch: a.epoch, Request: a.digest,
	}
	s.journal.Write(event)
	if s.setting.Crash != "" && a.rest == s.setting.Crash {
		s.crash()
	}
	whole := s.work(ctx, a.epoch)
	event.Kind, event.At = mtaudit.End, time.Now()
	if !whole {
		s.journal.Write(event)
		// Any reply would be an answer. There is none, so the connection is cut.
		panic(http.ErrAbortHandler)
	}
	body := s.reply(a, event.Run)
	event.Reply = mtaudit.DigestOf(body)
	s.journal.Write(event)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// work spends the service time, and reports whether it came to its end before
// the caller went away, the deadline passed or the daemon's lease ended.
func (s *Server) work(ctx context.Context, epoch mtid.Epoch) bool {
	d := s.dice.draw(s.setting.Time)
	if s.cold() {
		d = time.Duration(float64(d) * s.setting.ColdFactor)
	}
	bound := s.setting.Grants && epoch != 0
	end := s.clock.Boot() + int64(d)
	for {
		now := s.clock.Boot()
		if bound && now >= s.until.Load() {
			return false
		}
		if now >= end {
			return ctx.Err() == nil
		}
		wait := end - now
		if bound {
			wait = min(wait, s.until.Load()-now)
		}
		if pause(ctx, time.Duration(wait)) != nil {
			return false
		}
	}
}

// pause waits for d, or returns the context's error.
func pause(ctx context.Context, d time.Duration) error {
	if !mtduty.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// granted moves on the time up to which the daemon's lease is certain.
func (s *Server) granted(until int64) {
	for {
		old := s.until.Load()
		if until <= old || s.until.CompareAndSwap(old, until) {
			return
		}
	}
}

// bound ends the context at the request's deadline.
func (s *Server) bound(ctx context.Context, a ask) (context.Context, context.CancelFunc) {
	if !s.setting.Deadlines || a.deadline == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(a.deadline-s.clock.Boot()))
}

// take waits for a slot.
func (s *Server) take(ctx context.Context) bool {
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

// admit decides whether a request that has a slot may begin. It is asked last
// of all: a request that waited past its start-by time belongs to an owner
// whose lease may have ended meanwhile, and another may have begun on the key.
func (s *Server) admit(a ask) mtreply.Cause {
	if s.setting.Deadlines {
		now := s.clock.Boot()
		if a.startBy != 0 && now > a.startBy {
			return mtreply.CauseFenced
		}
		if a.deadline != 0 && now > a.deadline {
			return mtreply.CauseExpired
		}
	}
	s.granted(a.startBy)
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

// reply returns a body that no other run shares.
func (s *Server) reply(a ask, run uint64) []byte {
	head := fmt.Sprintf("request %s key %q class %s run %d at %s\n", a.id, a.key, a.class, run, s.setting.Name)
	if len(head) >= s.setting.Reply {
		return []byte(head)
	}
	repeats := s.setting.Reply/len(head) + 1
	return []byte(strings.Repeat(head, repeats))[:s.setting.Reply]
}

// readAsk reads a request, and says what is malformed about it.
func readAsk(r *http.Request) (ask, string) {
	a := ask{id: r.Header.Get(mtheader.ID), class: mtid.Class(r.Header.Get(mtheader.Class))}
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

// refuse says that the request was not run.
func refuse(w http.ResponseWriter, status int, cause mtreply.Cause, detail string) {
	w.Header().Set(mtheader.Outcome, string(mtreply.NotRun))
	w.Header().Set(mtheader.Cause, string(cause))
	http.Error(w, detail, status)
}
