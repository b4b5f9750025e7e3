package mtstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtheader"
)

// announcePeriod is the announcement interval of a server that does not track grants,
// and the timeout of each announcement.
const announcePeriod = time.Second

// StatusError reports that the daemon rejected an announcement.
type StatusError struct{ Status string }

// Error implements error.
func (e *StatusError) Error() string {
	return "stand-in: the daemon rejected the announcement: " + e.Status
}

// announce starts the periodic announcements and returns a function that stops them
// and waits until they have stopped.
func (s *Server) announce() func() {
	if s.setting.Daemon == "" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	client := &http.Client{Timeout: announcePeriod}
	go func() {
		defer close(done)
		defer client.CloseIdleConnections()
		tick := time.NewTicker(s.period())
		defer tick.Stop()
		accepted := true
		for {
			err := s.announceOnce(ctx, client)
			if (err == nil) != accepted && ctx.Err() == nil {
				accepted = err == nil
				slog.Info("announcements", "server", s.setting.Name, "heard", accepted, "error", err)
			}
			select {
			case <-tick.C:
			case <-s.announceNow:
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// announceOnce sends one announcement and applies the lease end in the daemon's
// reply.
func (s *Server) announceOnce(ctx context.Context, client *http.Client) error {
	a := s.setting.announcement()
	a.State = s.state()
	a.Load = s.load()
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.setting.Daemon+mtheader.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if leaseEnd, err := strconv.ParseInt(response.Header.Get(mtheader.ServeUntil), 10, 64); err == nil {
		s.extendLease(leaseEnd)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{Status: response.Status}
	}
	return nil
}

// period returns the announcement interval.
func (s *Server) period() time.Duration {
	if s.setting.Grants {
		return mtannounce.GrantAnnounceInterval
	}
	return announcePeriod
}

func (s *Server) state() mtannounce.State {
	if s.draining.Load() {
		return mtannounce.Draining
	}
	if s.cold() {
		return mtannounce.Cold
	}
	return mtannounce.Ready
}

// load returns the fraction of slots in use, or the configured fixed load.
func (s *Server) load() float64 {
	if s.setting.FixedLoad {
		return s.setting.Load
	}
	return float64(len(s.slots)) / float64(cap(s.slots))
}
