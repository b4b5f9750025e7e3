package mtstore_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	core "magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtstore"
)

// A proxy responds in place of the store, or the response is truncated. A write that
// may have been applied must not be reported as rejected.
func TestClientTrustsOnlyStoreRefusals(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		swap   error
		get    error
	}{
		{"bad gateway", 502, "<html>", &core.UnknownError{}, &core.UnavailableError{}},
		{"refusal of a proxy", 503, "busy", &core.UnknownError{}, &core.UnavailableError{}},
		{"conflict without a body", 409, "", &core.UnknownError{}, &core.UnavailableError{}},
		{"kind does not match status", 500, `{"kind":"conflict"}`, &core.UnknownError{}, &core.UnavailableError{}},
		{"unknown kind", 503, `{"kind":"tired"}`, &core.UnknownError{}, &core.UnavailableError{}},
		{"truncated response", 200, `{"vers`, &core.UnknownError{}, &core.UnavailableError{}},
		{"redirect", 307, "", &core.UnknownError{}, &core.UnavailableError{}},
		{"no version", 200, `{}`, &core.UnknownError{}, nil},
		{"refusal of the store", 503, `{"kind":"unavailable"}`, &core.UnavailableError{}, &core.UnavailableError{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "http://127.0.0.1:1/")
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer server.Close()
			client, cleanUp, err := mtstore.NewClient(server.URL, longTimeout)
			assert.NilError(t, err)
			defer cleanUp()
			_, err = client.Swap(t.Context(), "a", 0, nil, "")
			assertType(t, err, tt.swap)
			_, err = client.Get(t.Context(), "a")
			assertType(t, err, tt.get)
		})
	}
}

// Nothing listens at the address. No byte of the write was sent, so it was not
// applied.
func TestClientReportsUnavailableWithoutConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	client, cleanUp, err := mtstore.NewClient("http://"+address, longTimeout)
	assert.NilError(t, err)
	defer cleanUp()
	_, err = client.Swap(t.Context(), "a", 0, nil, "")
	assertType(t, err, &core.UnavailableError{})
	assert.Equal(t, client.Vars().Get("unavailable").String(), "1")
}

// The store terminates while a connection is open and idle. The next write fails on
// that connection, and it is unknown whether the store has read it.
func TestClientReportsUnknownOnClosedConnection(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, `{"version":1}`)
	}))
	defer server.Close()
	client, cleanUp, err := mtstore.NewClient(server.URL, longTimeout)
	assert.NilError(t, err)
	defer cleanUp()
	_, err = client.Swap(t.Context(), "a", 0, nil, "")
	assert.NilError(t, err)
	_, err = client.Swap(t.Context(), "a", 1, nil, "")
	assertType(t, err, &core.UnknownError{})
	assert.Equal(t, calls.Load(), int32(2), "a write must never be sent twice")
}

func TestNewClientRejectsInvalidSettings(t *testing.T) {
	for _, base := range []string{"", "127.0.0.1:7000", "ftp://127.0.0.1", "http://"} {
		_, _, err := mtstore.NewClient(base, time.Second)
		assertType(t, err, &mtstore.SettingError{})
	}
	_, _, err := mtstore.NewClient("http://127.0.0.1", 0)
	assertType(t, err, &mtstore.SettingError{})
}

func TestFaultsAreControlledByForm(t *testing.T) {
	memory := mtstore.NewMemory(time.Now)
	server := httptest.NewServer(mtstore.NewHandler(memory))
	defer server.Close()
	post := func(form string) (int, string) {
		response, err := http.Post(server.URL+"/admin/faults", "application/x-www-form-urlencoded", strings.NewReader(form))
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, string(body)
	}
	want := mtstore.Faults{
		Down: true, Hang: true, Slow: time.Second, LoseAnswers: true, LateWrites: 2 * time.Second, DropWrites: true,
		CutWatches: true, LateWatches: 3 * time.Second, WriteRate: 300, ReadRate: 2000.5, Prefix: "live/", Times: 4,
	}
	status, _ := post(want.Form().Encode())
	assert.Equal(t, status, http.StatusOK)
	assert.DeepEqual(t, memory.Faults(), want)
	refused := []string{"down=perhaps", "slow=-1s", "slow=1h", "write-rate=-1", "read-rate=NaN", "times=-1", "fire=true"}
	for _, form := range refused {
		t.Run(form, func(t *testing.T) {
			field, _, _ := strings.Cut(form, "=")
			status, body := post(form)
			assert.Equal(t, status, http.StatusBadRequest)
			assert.Assert(t, strings.Contains(body, field) && strings.Contains(body, "accepted"), "got %q", body)
			assert.DeepEqual(t, memory.Faults(), want)
		})
	}
}

func FuzzParseFaults(f *testing.F) {
	f.Add("down=true&slow=1s&times=3")
	f.Fuzz(func(t *testing.T, form string) {
		values, err := url.ParseQuery(form)
		if err != nil {
			return
		}
		faults, err := mtstore.ParseFaults(values)
		if err != nil {
			return
		}
		again, err := mtstore.ParseFaults(faults.Form())
		assert.NilError(t, err)
		assert.DeepEqual(t, again, faults)
	})
}
