package main

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/io/mtstandin"
)

func TestParseClasses(t *testing.T) {
	got, err := parseClasses("send:once:1:1s:64,status:idempotent:6.5:500ms:0")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []mtstandin.LoadClass{
		{Name: "send", Weight: 1, Timeout: time.Second, Body: 64},
		{Name: "status", Idempotent: true, Weight: 6.5, Timeout: 500 * time.Millisecond},
	})
	for _, text := range []string{"", "send", "send:twice:1:1s:64", "send:once:x:1s:64", "send:once:1:1:64", "send:once:1:1s:x"} {
		_, err := parseClasses(text)
		var fault *FlagError
		assert.Assert(t, errors.As(err, &fault), "%q gave %v", text, err)
	}
}

func TestParseService(t *testing.T) {
	got, err := parseService("ratins/dispatch")
	assert.NilError(t, err)
	assert.Equal(t, got.String(), "ratins/dispatch")
	for _, text := range []string{"", "ratins", "/dispatch", "ratins/"} {
		_, err := parseService(text)
		var fault *FlagError
		assert.Assert(t, errors.As(err, &fault), "%q gave %v", text, err)
	}
}

// An audit whose patterns match no files would report no findings and look like a
// passed one, so it must fail.
func TestAuditWithoutFilesFails(t *testing.T) {
	c := auditCommand{journals: t.TempDir() + "/*", records: t.TempDir() + "/*"}
	_, err := c.input()
	var fault *FlagError
	assert.Assert(t, errors.As(err, &fault), "got %v", err)
}
