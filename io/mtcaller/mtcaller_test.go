package mtcaller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/io/mtcaller"
)

const (
	bodyLimit = 64
	validID   = "019388a0-0000-7000-8000-000000000001"
)

// recordingRouter records the last request and returns a fixed reply.
type recordingRouter struct {
	got   *mtrequest.Request
	reply *mtrequest.Reply
}

func (r *recordingRouter) Route(_ context.Context, q *mtrequest.Request) *mtrequest.Reply {
	r.got = q
	return r.reply
}

type clock struct{}

func (clock) Now() mtclock.Instant { return 1000 }
func (clock) Wall() time.Time      { return time.UnixMilli(1) }

type addressBook struct{}

func (addressBook) CallerAddress(h mtid.Holder) string {
	if h.IsZero() {
		return ""
	}
	return "127.0.0.1:80"
}

func serve(r *recordingRouter, request *http.Request) *httptest.ResponseRecorder {
	e := echo.New()
	mtcaller.Register(e, mtcaller.Config{Router: r, Addresses: addressBook{}, Clock: clock{}, MaxBodySize: bodyLimit})
	w := httptest.NewRecorder()
	e.ServeHTTP(w, request)
	return w
}

func TestInvalidRequestIsRejected(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		header map[string]string
		body   string
		field  string
		status int
	}{
		{"no class", "/v1/b/s/k", map[string]string{mtheader.Class: ""}, "", mtheader.Class, 400},
		{"long class", "/v1/b/s/k", map[string]string{mtheader.Class: strings.Repeat("x", 65)}, "", mtheader.Class, 400},
		{"identifier of version 4", "/v1/b/s/k", map[string]string{mtheader.Key: "6f8b7ad0-2a55-4b59-9b3c-1f6c1a2b3c4d"}, "", mtheader.Key, 400},
		{"malformed identifier", "/v1/b/s/k", map[string]string{mtheader.Key: "tray"}, "", mtheader.Key, 400},
		{"timeout without unit", "/v1/b/s/k", map[string]string{mtheader.Timeout: "5"}, "", mtheader.Timeout, 400},
		{"negative timeout", "/v1/b/s/k", map[string]string{mtheader.Timeout: "-1s"}, "", mtheader.Timeout, 400},
		{"timeout above maximum", "/v1/b/s/k", map[string]string{mtheader.Timeout: "11m"}, "", mtheader.Timeout, 400},
		{"key with a zero byte", "/v1/b/s/a%00b", nil, "", "key", 400},
		{"long key", "/v1/b/s/" + strings.Repeat("k", 513), nil, "", "key", 400},
		{"long service", "/v1/b/" + strings.Repeat("s", 65) + "/k", nil, "", "path", 400},
		{"large body", "/v1/b/s/k", nil, strings.Repeat("x", bodyLimit+1), "body", 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			request := httptest.NewRequest("POST", tt.path, strings.NewReader(tt.body))
			request.Header.Set(mtheader.Class, "send")
			for name, value := range tt.header {
				request.Header.Set(name, value)
			}
			r := &recordingRouter{}
			w := serve(r, request)
			assert.Equal(t, w.Code, tt.status)
			assert.Equal(t, w.Header().Get(mtheader.Outcome), string(mtreply.NotRun))
			assert.Equal(t, w.Header().Get("Retry-After"), "")
			assert.Assert(t, strings.Contains(w.Body.String(), tt.field), "got %q, want it to contain the field name %s", w.Body, tt.field)
			assert.Assert(t, r.got == nil, "a malformed request reached the router")
		})
	}
}

func TestRequestIsParsed(t *testing.T) {
	request := httptest.NewRequest("PUT", "/v1/ratins/dispatch/hotel%2F7/robots/3?x=1", strings.NewReader("tray"))
	request.Header.Set(mtheader.Class, "send")
	request.Header.Set(mtheader.Timeout, "750ms")
	request.Header.Set(mtheader.Key, validID)
	r := &recordingRouter{reply: &mtrequest.Reply{Outcome: mtreply.Answered, Status: 201, Body: []byte("done"), Epoch: 4, Owner: mtid.Holder{Daemon: "d", Incarnation: 1}}}
	w := serve(r, request)
	assert.Equal(t, r.got.Key, mtid.Key("hotel/7"))
	assert.Equal(t, r.got.Path, "/robots/3")
	assert.Equal(t, r.got.Query, "x=1")
	assert.Equal(t, string(r.got.Body), "tray")
	assert.Equal(t, r.got.ID.String(), validID)
	assert.Equal(t, r.got.Minted, false)
	assert.Equal(t, r.got.Deadline, mtclock.Instant(1000).Add(750*time.Millisecond))
	assert.Equal(t, w.Code, 201)
	assert.Equal(t, w.Body.String(), "done")
	assert.Equal(t, w.Header().Get(mtheader.ID), validID)
	assert.Equal(t, w.Header().Get(mtheader.Epoch), "4")
	assert.Equal(t, w.Header().Get(mtheader.Owner), "127.0.0.1:80")
	assert.Equal(t, w.Header().Get(mtheader.Outcome), "answered")
}

func TestStatusOfReplies(t *testing.T) {
	tests := []struct {
		reply mtrequest.Reply
		want  int
		retry string
	}{
		{mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseQueueFull, RetryAfter: 1200 * time.Millisecond}, 503, "2"},
		{mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseNoService, RetryAfter: -1}, 404, ""},
		{mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseLimited, RetryAfter: time.Second}, 429, "1"},
		{mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseQuarantined, RetryAfter: -1}, 429, ""},
		{mtrequest.Reply{Outcome: mtreply.Unknown, Cause: mtreply.CauseLost}, 504, ""},
	}
	for _, tt := range tests {
		t.Run(string(tt.reply.Cause), func(t *testing.T) {
			request := httptest.NewRequest("GET", "/v1/b/s/k", nil)
			request.Header.Set(mtheader.Class, "status")
			w := serve(&recordingRouter{reply: &tt.reply}, request)
			assert.Equal(t, w.Code, tt.want)
			assert.Equal(t, w.Header().Get("Retry-After"), tt.retry)
			assert.Equal(t, w.Header().Get(mtheader.Cause), string(tt.reply.Cause))
		})
	}
}

func FuzzRequest(f *testing.F) {
	f.Add("/v1/b/s/k/rest", "send", "750ms", validID)
	f.Add("/v1/b/s/%2f%00", "", "-1s", "x")
	f.Fuzz(func(t *testing.T, path, class, timeout, id string) {
		request, err := http.NewRequest(http.MethodGet, "http://host/", http.NoBody)
		if err != nil || !strings.HasPrefix(path, "/") {
			return
		}
		if request.URL, err = request.URL.Parse(path); err != nil {
			return
		}
		request.Body = http.NoBody
		request.Header.Set(mtheader.Class, class)
		request.Header.Set(mtheader.Timeout, timeout)
		request.Header.Set(mtheader.Key, id)
		r := &recordingRouter{reply: &mtrequest.Reply{Outcome: mtreply.Answered, Status: 200}}
		serve(r, request)
		if r.got == nil {
			return
		}
		assert.Assert(t, r.got.Key != "" && len(r.got.Key) <= mtcaller.MaxKeyLength)
		assert.Assert(t, r.got.Deadline == 0 || r.got.Deadline.After(1000))
	})
}
