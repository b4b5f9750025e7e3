package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Every step of the example checks the exit codes of its commands. The output must
// contain the key results of all steps.
func TestTour(t *testing.T) {
	var out bytes.Buffer
	err := run(t.Context(), &out, t.TempDir())
	t.Log(out.String())
	assert.NilError(t, err)
	for _, want := range []string{
		"[service dispatch] kind: \"sharded\", accepted: keyed, spread",
		"[service dispatch] shards: \"none\"",
		"the proposer can't sign off the own bundle",
		"in force at 4 of 4 daemons",
		"version 2",
		"Another bundle took the version: bundle: ratins version 2 can't come next: version 2 (proposed by ilze, accepted by ilze) is in force",
		"0 unknown",
		"leaving",
	} {
		assert.Assert(t, strings.Contains(out.String(), want), want)
	}
}
