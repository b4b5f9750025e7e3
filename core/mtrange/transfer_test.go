package mtrange_test

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtwire"
)

// A daemon that is asked to write for another one reads a batch of bytes. It gets what was
// meant, or an error, whatever the bytes are.
func FuzzBatch(f *testing.F) {
	whole, err := proto.Marshal(mtrange.Batch{
		Service: "maps", Daemon: "a", Record: 7, Known: 5,
		Transfers: []mtrange.Transfer{{
			From: mtrange.Owner{Daemon: "a", Life: mtid.ServerIncarnation{Server: "s", Started: 3}}, Epoch: 4, Low: 10, High: mtid.LastKeyNumber,
			To: mtrange.Owner{Daemon: "b", Life: mtid.ServerIncarnation{Server: "t"}}, Warmth: "warm",
		}},
	}.Wire())
	assert.NilError(f, err)
	f.Add(whole)
	f.Add([]byte{})
	f.Add([]byte("nonsense"))
	f.Fuzz(func(t *testing.T, value []byte) {
		w := &mtwire.RangeBatch{}
		if proto.Unmarshal(value, w) != nil {
			return
		}
		b, err := mtrange.ReadBatch(w)
		var unread *mtrange.DecodeError
		if err != nil {
			assert.Assert(t, errors.As(err, &unread))
			return
		}
		for _, tr := range b.Transfers {
			assert.Assert(t, tr.Low <= tr.High)
		}
		again, err := mtrange.ReadBatch(b.Wire())
		assert.NilError(t, err)
		assert.DeepEqual(t, again, b)
	})
}

// A transfer stands only while its keys have the owner and the epoch that they had when it
// began: they may have come back to the same owner since.
func TestATransferStandsUnderItsEpochOnly(t *testing.T) {
	a, b := mtrange.Owner{Daemon: "a"}, mtrange.Owner{Daemon: "b"}
	table, err := mtrange.Spread("maps", []mtrange.Owner{a, b})
	assert.NilError(t, err)
	r := table.Owned(a)[0]
	tr := mtrange.Transfer{From: a, Epoch: r.Epoch, Low: r.Low, High: r.High, To: b}
	assert.Assert(t, table.Stands(tr))
	away, err := table.Move(r.Low, r.High, b, "")
	assert.NilError(t, err)
	assert.Assert(t, !away.Stands(tr))
	back, err := away.Move(r.Low, r.High, a, "")
	assert.NilError(t, err)
	assert.Assert(t, !back.Stands(tr))
}
