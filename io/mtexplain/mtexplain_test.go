package mtexplain_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/io/mtexplain"
)

const first = `noise
  1.0 a {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"configuration in force","daemon":"a","version":3}
  2.0 a {"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"configuration in force","daemon":"a","version":4}
  4.0 a {"time":"2026-01-01T00:00:04Z","level":"INFO","msg":"request not-run: shed","daemon":"a","id":"7","status":503}
  5.0 a {"time":"2026-01-01T00:00:05Z","level":"INFO","msg":"configuration in force","daemon":"a","version":5}
  5.5 a {"time":"2026-01-01T00:00:05Z","level":"INFO","msg":"request not-run: shed","daemon":"a","id":"78"}
{"broken
`

const second = `{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"call refused: shed","daemon":"b","id":"7","waiting":9}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"server state","daemon":"c","to":"ready"}
`

func TestPrintShowsLinesOfSeveralDaemons(t *testing.T) {
	timeline, err := mtexplain.Read("7", strings.NewReader(first), strings.NewReader(second))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, timeline.Print(&out))
	assert.Equal(t, out.String(), `request 7
before:
     -1.000s a: configuration in force version=4
then:
     +0.000s b: call refused: shed id="7" waiting=9
     +1.000s a: request not-run: shed id="7" status=503
`)
}

func TestPrintWithoutMatchingLines(t *testing.T) {
	timeline, err := mtexplain.Read("9", strings.NewReader(first))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, timeline.Print(&out))
	assert.Assert(t, strings.Contains(out.String(), "no line of request 9"))
}
