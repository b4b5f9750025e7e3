package mtloss_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/io/mtloss"
)

const first = `noise
  0.1 a {"time":"2026-01-01T00:00:01.2Z","level":"INFO+1","msg":"second","daemon":"a","service":"maps","ends":{"plans":{"in time":8,"shed":2}},"running":6,"waiting":3,"slots":9,"moved":40}
  1.1 a {"time":"2026-01-01T00:00:02.2Z","level":"INFO+1","msg":"second","daemon":"a","service":"maps","ends":{"plans":{"again no-lease":3,"in time":1}},"running":0,"waiting":0,"slots":9,"moved":0}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"another","daemon":"a"}
`

const second = `{"time":"2026-01-01T00:00:01.9Z","level":"INFO+1","msg":"second","daemon":"b","service":"maps","ends":{"desk":{"late":5,"in time":5}},"running":3,"waiting":0,"slots":9,"moved":0}
`

// Requests lost in the same second on several VMs must be summed up in one row, with
// their causes, the imbalance of the load and the keys that changed owner.
func TestPrintSumsUpSeveralDaemons(t *testing.T) {
	losses, err := mtloss.Read(strings.NewReader(first), strings.NewReader(second))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, losses.Print(&out))
	assert.Equal(t, out.String(), `second  asked  in time  imbalance  moved  unavailable  lost to
0       20     0.650    1.50       40     0            late 5, shed 2
1       4      0.250    0.00       0      3            again no-lease 3
all     24     0.583    0.75       40     3            late 5, again no-lease 3, shed 2

route  asked  in time  lost to
desk   10     0.500    late 5
plans  14     0.643    again no-lease 3, shed 2
`)
}

// Guards against a search for room that operators can't see: servers that handed requests back
// must be summed up by route.
func TestPrintSumsUpSearchesForRoom(t *testing.T) {
	const line = `{"time":"2026-01-01T00:00:01.2Z","level":"INFO+1","msg":"second","daemon":"a","service":"maps","ends":{},"room":{"plans":{"handed back":3,"known full":1,"slow start":2}}}
`
	losses, err := mtloss.Read(strings.NewReader(line), strings.NewReader(line))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, losses.Print(&out))
	_, table, _ := strings.Cut(out.String(), "handed back")
	assert.Equal(t, table, `  known full  slow start
plans  6            2           4
`)
}
