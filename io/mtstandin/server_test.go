package mtstandin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtaudit"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
)

var dispatch = mtid.Ref{Business: "ratins", Service: "dispatch"}

// journalBuffer is the output of a journal that can be read while it is written.
type journalBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *journalBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func read[T any](t *testing.T, b *journalBuffer) []T {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	records, err := mtstandin.ReadJournal[T](bytes.NewReader(b.text.Bytes()))
	assert.NilError(t, err)
	return records
}

func setting() mtstandin.ServerSetting {
	return mtstandin.ServerSetting{
		Name: "a", Service: dispatch, Address: "127.0.0.1:1", Slots: 2, Connections: 10, Epochs: true, Deadlines: true,
		Time: mtstandin.ServiceTime{Shape: mtstandin.Fixed}, ColdFactor: 1, Reply: 100, Crash: "poison",
	}
}

// start runs a server whose crash closes the connection instead of ending the
// process.
func start(t *testing.T, s mtstandin.ServerSetting) (string, *mtstandin.Server, *journalBuffer) {
	t.Helper()
	written := &journalBuffer{}
	journal := mtstandin.NewJournal[mtaudit.Event](written)
	server, cleanUp, err := mtstandin.NewServer(s, journal, func() { panic(http.ErrAbortHandler) })
	assert.NilError(t, err)
	t.Cleanup(cleanUp)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return listener.URL, server, written
}

func send(ctx context.Context, url string, headers map[string]string) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("towels"))
	if err != nil {
		return nil, "", err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func TestServerRefusesInvalidRequests(t *testing.T) {
	now := mttime.New().Boot()
	past, future := strconv.FormatInt(now-1, 10), strconv.FormatInt(now+int64(time.Hour), 10)
	tests := []struct {
		name    string
		path    string
		headers map[string]string
		cause   mtreply.Cause // empty if it runs
	}{
		{"valid", "/k/run", map[string]string{mtheader.ID: "r", mtheader.Epoch: "2", mtheader.StartBy: future, mtheader.Deadline: future}, ""},
		{"same epoch", "/k/run", map[string]string{mtheader.ID: "r", mtheader.Epoch: "2"}, ""},
		{"old epoch", "/k/run", map[string]string{mtheader.ID: "r", mtheader.Epoch: "1"}, mtreply.CauseFenced},
		{"old epoch of another key", "/k2/run", map[string]string{mtheader.ID: "r", mtheader.Epoch: "1"}, ""},
		{"after start-by", "/k/run", map[string]string{mtheader.ID: "r", mtheader.Epoch: "2", mtheader.StartBy: past}, mtreply.CauseFenced},
		{"after its deadline", "/k/run", map[string]string{mtheader.ID: "r", mtheader.Epoch: "2", mtheader.Deadline: past}, mtreply.CauseExpired},
		{"no identifier", "/k/run", map[string]string{}, mtreply.CauseMalformed},
		{"no key", "/", map[string]string{mtheader.ID: "r"}, mtreply.CauseMalformed},
		{"epoch is not a number", "/k/run", map[string]string{mtheader.ID: "r", mtheader.Epoch: "x"}, mtreply.CauseMalformed},
	}
	url, _, written := start(t, setting())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := len(read[mtaudit.Event](t, written))
			response, _, err := send(t.Context(), url+tt.path, tt.headers)
			assert.NilError(t, err)
			assert.Equal(t, mtreply.Cause(response.Header.Get(mtheader.Cause)), tt.cause)
			assert.Equal(t, response.Header.Get(mtheader.ID), tt.headers[mtheader.ID])
			events := read[mtaudit.Event](t, written)[before:]
			if tt.cause != "" {
				assert.Equal(t, response.Header.Get(mtheader.Outcome), string(mtreply.NotRun))
				assert.Equal(t, len(events), 0)
				return
			}
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, len(events), 2)
		})
	}
}

func TestServerJournalsRequestAndReply(t *testing.T) {
	url, _, written := start(t, setting())
	headers := map[string]string{mtheader.ID: "r", mtheader.Epoch: "2", mtheader.Class: "send"}
	_, body, err := send(t.Context(), url+"/room%2F7/run/now", headers)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 100)
	events := read[mtaudit.Event](t, written)
	assert.Equal(t, events[0].Kind, mtaudit.Begin)
	assert.Equal(t, events[0].Key, mtid.Key("room/7"))
	assert.Equal(t, events[0].Epoch, mtid.Epoch(2))
	assert.Equal(t, events[0].Class, mtid.Class("send"))
	assert.Equal(t, events[0].Request, mtaudit.DigestOf([]byte("towels")))
	assert.Equal(t, events[1].Kind, mtaudit.End)
	assert.Equal(t, events[1].Reply, mtaudit.DigestOf([]byte(body)))
}

// waitUntil polls for a state that may take any time to be reached, and fails after 30 s.
func waitUntil(t *testing.T, reached func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
}

// A caller disconnects while its request runs. The server must end the run and
// journal that it sent no reply.
func TestServerHonoursCancellation(t *testing.T) {
	s := setting()
	s.Time.Mean = time.Hour
	url, server, written := start(t, s)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, _, err := send(ctx, url+"/k/run", map[string]string{mtheader.ID: "r"})
		done <- err
	}()
	waitUntil(t, func() bool { return len(read[mtaudit.Event](t, written)) == 1 })
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	waitUntil(t, func() bool { return server.Busy() == 0 })
	events := read[mtaudit.Event](t, written)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[1].Reply, mtaudit.Digest(""))
}

func TestServerEndsRunAtDeadline(t *testing.T) {
	s := setting()
	s.Time.Mean = time.Hour
	url, _, written := start(t, s)
	var err error
	// On a busy machine a short deadline may pass before the request begins.
	for wait := 100 * time.Millisecond; len(read[mtaudit.Event](t, written)) == 0; wait *= 2 {
		deadline := strconv.FormatInt(mttime.New().Boot()+int64(wait), 10)
		_, _, err = send(t.Context(), url+"/k/run", map[string]string{mtheader.ID: "r", mtheader.Deadline: deadline})
	}
	events := read[mtaudit.Event](t, written)
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, events[1].Reply, mtaudit.Digest(""))
}

func TestServerShedsWithoutFreeSlot(t *testing.T) {
	s := setting()
	s.Time.Mean, s.Slots, s.Shed = time.Hour, 1, true
	url, _, written := start(t, s)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _, _ = send(ctx, url+"/k/run", map[string]string{mtheader.ID: "r"}) }()
	waitUntil(t, func() bool { return len(read[mtaudit.Event](t, written)) == 1 })
	response, _, err := send(t.Context(), url+"/k/run", map[string]string{mtheader.ID: "r2"})
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(mtheader.Cause), string(mtreply.CauseShed))
	assert.Equal(t, len(read[mtaudit.Event](t, written)), 1)
}

// A poison request crashes the server that runs it. The journal must contain the
// begin of the run but no end, and the caller must receive no reply.
func TestServerCrashesOnPoison(t *testing.T) {
	url, _, written := start(t, setting())
	_, _, err := send(t.Context(), url+"/k/poison", map[string]string{mtheader.ID: "r"})
	assert.Assert(t, err != nil)
	assert.Equal(t, len(read[mtaudit.Event](t, written)), 1)
}

func TestServerAnnouncesItself(t *testing.T) {
	announced := make(chan mtannounce.Announcement, 100)
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a mtannounce.Announcement
		if r.URL.Path != mtheader.AnnouncePath || json.NewDecoder(r.Body).Decode(&a) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		announced <- a
	}))
	defer daemon.Close()
	s := setting()
	s.Daemon, s.Cold, s.FixedLoad, s.Load = daemon.URL, time.Hour, true, 0.25
	_, server, _ := start(t, s)
	want := mtannounce.Announcement{
		Business: "ratins", Service: "dispatch", Address: "127.0.0.1:1", Slots: 2, Connections: 10,
		Epochs: true, Deadlines: true, State: mtannounce.Cold, Load: 0.25,
	}
	assert.DeepEqual(t, <-announced, want)
	server.Drain()
	for a := range announced {
		if a.State == mtannounce.Draining {
			return
		}
		assert.DeepEqual(t, a, want)
	}
}

// A frozen daemon cannot cancel a run that takes longer than its lease, and the next
// owner of the key starts serving it. The server must end the run itself when the
// last reported lease end has passed, and must continue while later ends are
// reported.
func TestServerEndsRunWithDaemonLease(t *testing.T) {
	const lease = 300 * time.Millisecond
	clock := mttime.New()
	tests := []struct {
		name  string
		lease time.Duration // duration in the only reply of the daemon
		epoch string
		stops bool
	}{
		{"frozen", lease, "1", true},
		{"renewed", time.Hour, "1", false},
		{"no owner", lease, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var announcements atomic.Int32
			daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if announcements.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set(mtheader.ServeUntil, strconv.FormatInt(clock.Boot()+int64(tt.lease), 10))
			}))
			defer daemon.Close()
			s := setting()
			s.Daemon, s.Grants, s.Time.Mean = daemon.URL, true, time.Hour
			url, server, written := start(t, s)
			// The second announcement shows that the server has read the first reply.
			waitUntil(t, func() bool { return announcements.Load() > 1 })
			startBy := clock.Boot() + int64(lease)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan error, 1)
			go func() {
				_, _, err := send(ctx, url+"/k/run", map[string]string{
					mtheader.ID: "r", mtheader.Epoch: tt.epoch, mtheader.StartBy: strconv.FormatInt(startBy, 10),
				})
				done <- err
			}()
			if tt.stops {
				assert.ErrorIs(t, <-done, io.EOF)
				assert.Assert(t, clock.Boot() >= startBy, "the run ended before the lease did")
				events := read[mtaudit.Event](t, written)
				assert.Equal(t, len(events), 2)
				assert.Equal(t, events[1].Reply, mtaudit.Digest(""))
				return
			}
			waitUntil(t, func() bool { return server.Busy() == 1 && clock.Boot() > startBy+int64(lease) })
			assert.Equal(t, len(done), 0)
		})
	}
}

func TestNewServerRejectsInvalidSettings(t *testing.T) {
	tests := []struct {
		name       string
		invalidate func(s *mtstandin.ServerSetting)
	}{
		{"slots", func(s *mtstandin.ServerSetting) { s.Slots = 0 }},
		{"address", func(s *mtstandin.ServerSetting) { s.Address = "here" }},
		{"shape", func(s *mtstandin.ServerSetting) { s.Time.Shape = "odd" }},
		{"mean", func(s *mtstandin.ServerSetting) { s.Time.Mean = -1 }},
		{"cold-factor", func(s *mtstandin.ServerSetting) { s.ColdFactor = 0.5 }},
		{"reply", func(s *mtstandin.ServerSetting) { s.Reply = -1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := setting()
			tt.invalidate(&s)
			_, _, err := mtstandin.NewServer(s, nil, nil)
			assert.ErrorContains(t, err, tt.name)
		})
	}
}

// A process killed while writing a line leaves an incomplete last line. The complete
// lines before it must still be read.
func TestReadJournalIgnoresIncompleteLastLine(t *testing.T) {
	got, err := mtstandin.ReadJournal[mtaudit.Mark](strings.NewReader("{\"name\":\"kill\"}\n{\"na"))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []mtaudit.Mark{{Name: "kill"}})
	_, err = mtstandin.ReadJournal[mtaudit.Mark](strings.NewReader("{\"na\n{\"name\":\"kill\"}\n"))
	assert.ErrorContains(t, err, "line 1")
}
