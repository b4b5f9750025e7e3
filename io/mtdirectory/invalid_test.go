package mtdirectory_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtstandin"
)

// invalidRecords returns values that no daemon writes under its own name.
func invalidRecords(t *testing.T) map[string]string {
	t.Helper()
	value, err := record("b").Encode()
	assert.NilError(t, err)
	good := string(value)
	without := func(field string) string {
		var all map[string]any
		assert.NilError(t, json.Unmarshal(value, &all))
		delete(all, field)
		text, err := json.Marshal(all)
		assert.NilError(t, err)
		return string(text)
	}
	invalid := map[string]string{
		"empty value":            "",
		"undecodable bytes":      "\x00\xff{",
		"not an object":          `["b"]`,
		"empty object":           `{}`,
		"no daemon":              without("daemon"),
		"no address":             without("address"),
		"no service":             without("service"),
		"no server":              without("server"),
		"no state":               without("state"),
		"no slots":               without("slots"),
		"unknown state":          strings.Replace(good, `"ready"`, `"resting"`, 1),
		"state of another type":  strings.Replace(good, `"ready"`, `7`, 1),
		"name of another daemon": strings.Replace(good, `"daemon":"b"`, `"daemon":"c"`, 1),
		"megabyte of garbage":    strings.Repeat("x", 1<<20),
		"deep nesting":           strings.Replace(good, `"ready"`, strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000), 1),
		"number too large":       strings.Replace(good, `"slots":3`, `"slots":1e400`, 1),
	}
	for _, address := range []string{
		"a", "a:", ":1", "a:0", "a:-1", "a:+1", "a:65536", "a:70000", "a:18446744073709551617", "a:http", "a:1:2", "::1:80", "a:1/path", "http://a:1", "a b:1", "a/b:1", "\u0000:1", "ä:1",
		strings.Repeat("a", 64<<10) + ":1",
	} {
		invalid["address "+address[:min(len(address), 30)]] = strings.Replace(good, `"address":"a:1"`, `"address":"`+address+`"`, 1)
	}
	return invalid
}

// Another program overwrites the record of a running daemon. Other daemons must keep
// using the last valid record, and the daemon must write its record again.
func TestInvalidRecordIsIgnored(t *testing.T) {
	for name, text := range invalidRecords(t) {
		t.Run(name, func(t *testing.T) {
			store := mtstandin.NewRevisionStore(time.Now)
			a, b := start(t, store, "a"), start(t, store, "b")
			b.Publish(record("b"))
			waitFor(t, "a knows the record of b", func() bool { return knowsRecord(a, "b", false) })
			before := a.View().Members["b"]
			store.Put(mtstore.BackendName(0, "b"), []byte(text))
			waitFor(t, "b's record is valid again", func() bool { return a.View().Members["b"].Version > before.Version })
			assert.DeepEqual(t, a.View().Members["b"].Record, before.Record)
		})
	}
}

// The entry of a daemon that is not running is invalid. A daemon that has just started
// must know no server of that daemon, and must not consider any server terminated.
func TestInvalidRecordIdentifiesNoServer(t *testing.T) {
	for name, text := range invalidRecords(t) {
		t.Run(name, func(t *testing.T) {
			store := mtstandin.NewRevisionStore(time.Now)
			store.Put(mtstore.BackendName(0, "b"), []byte(text))
			store.Put(mtstore.BackendPrefix, []byte("no name at all"))
			store.Put(mtstore.RangePrefix+"maps", []byte("no assignment"))
			a := start(t, store, "a")
			waitFor(t, "a has read everything", func() bool { return a.View().Revision != 0 })
			view := a.View()
			assert.Equal(t, len(view.Members), 0)
			assert.Equal(t, len(view.Assignments), 0)
			assert.Assert(t, view.InvalidRecords["b"])
		})
	}
}

func FuzzRecord(f *testing.F) {
	value, err := record("b").Encode()
	assert.NilError(f, err)
	f.Add(value)
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := mtbackend.Decode(text)
		if err == nil && r.AcceptsWork() {
			assert.Assert(t, r.Incarnation.Server != "" && r.Service != "" && r.Address != "" && r.Slots > 0 && r.Daemon != mtid.Daemon(""))
		}
	})
}
