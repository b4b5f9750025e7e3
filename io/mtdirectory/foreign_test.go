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

// foreignRecords are what no daemon writes under its own name.
func foreignRecords(t *testing.T) map[string]string {
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
	return map[string]string{
		"no bytes":                 "",
		"bytes that can't be read": "\x00\xff{",
		"no object":                `["b"]`,
		"nothing":                  `{}`,
		"no daemon":                without("daemon"),
		"no address":               without("address"),
		"no service":               without("service"),
		"no server":                without("server"),
		"no state":                 without("state"),
		"no slots":                 without("slots"),
		"unknown state":            strings.Replace(good, `"ready"`, `"resting"`, 1),
		"state of another type":    strings.Replace(good, `"ready"`, `7`, 1),
		"another daemon's":         strings.Replace(good, `"daemon":"b"`, `"daemon":"c"`, 1),
		"a megabyte of nonsense":   strings.Repeat("x", 1<<20),
	}
}

// Somebody writes over the record of a daemon that lives. The others go by what they
// knew, and the daemon writes its record again.
func TestAForeignRecordChangesNothing(t *testing.T) {
	for name, text := range foreignRecords(t) {
		t.Run(name, func(t *testing.T) {
			store := mtstandin.NewRevisions(time.Now)
			a, b := start(t, store, "a"), start(t, store, "b")
			b.Publish(record("b"))
			until(t, "a knows b", func() bool { return seen(a, "b", false) })
			before := a.Now().Members["b"]
			store.Put(mtstore.BackendName("b"), []byte(text))
			until(t, "b's record stands again", func() bool { return a.Now().Members["b"].Version > before.Version })
			assert.DeepEqual(t, a.Now().Members["b"].Record, before.Record)
		})
	}
}

// The same while the daemon can't be reached, seen by one that has just started:
// it knows no server there, and takes nothing for ended.
func TestAForeignRecordNamesNoServer(t *testing.T) {
	for name, text := range foreignRecords(t) {
		t.Run(name, func(t *testing.T) {
			store := mtstandin.NewRevisions(time.Now)
			store.Put(mtstore.BackendName("b"), []byte(text))
			store.Put(mtstore.BackendPrefix, []byte("no name at all"))
			store.Put(mtstore.RangePrefix+"maps", []byte("no assignment"))
			a := start(t, store, "a")
			until(t, "a has read all", func() bool { return a.Now().Revision != 0 })
			view := a.Now()
			assert.Equal(t, len(view.Members), 0)
			assert.Equal(t, len(view.Assignments), 0)
			assert.Assert(t, view.Foreign["b"])
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
