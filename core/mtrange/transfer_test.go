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

// A daemon decodes a batch that another one sends it to write. Any input must yield
// either an error or a batch that is unchanged by encoding and decoding.
func FuzzBatch(f *testing.F) {
	encoded, err := proto.Marshal(mtrange.Batch{
		Service: "maps", Daemon: "a", RecordVersion: 7, KnownEpoch: 5,
		Transfers: []mtrange.Transfer{{
			From: mtrange.Owner{Daemon: "a", Incarnation: mtid.ServerIncarnation{Server: "s", Started: 3}}, Epoch: 4, Low: 10, High: mtid.LastKeyNumber,
			To: mtrange.Owner{Daemon: "b", Incarnation: mtid.ServerIncarnation{Server: "t"}}, WarmupState: "warm",
		}},
	}.Wire())
	assert.NilError(f, err)
	f.Add(encoded)
	f.Add([]byte{})
	f.Add([]byte("nonsense"))
	f.Fuzz(func(t *testing.T, value []byte) {
		w := &mtwire.RangeBatch{}
		if proto.Unmarshal(value, w) != nil {
			return
		}
		b, err := mtrange.ReadBatch(w)
		var invalid *mtrange.DecodeError
		if err != nil {
			assert.Assert(t, errors.As(err, &invalid))
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

// A transfer can be applied only while its keys have the owner and epoch that they had
// when it began: the keys may have returned to the same owner under a new epoch.
func TestTransferAppliesUnderItsEpochOnly(t *testing.T) {
	a, b := mtrange.Owner{Daemon: "a"}, mtrange.Owner{Daemon: "b"}
	table, err := mtrange.Spread("maps", 0, []mtrange.Owner{a, b})
	assert.NilError(t, err)
	r := table.Owned(a)[0]
	tr := mtrange.Transfer{From: a, Epoch: r.Epoch, Low: r.Low, High: r.High, To: b}
	assert.Assert(t, table.CanApply(tr))
	moved, err := table.Move(r.Low, r.High, b, "")
	assert.NilError(t, err)
	assert.Assert(t, !moved.CanApply(tr))
	returned, err := moved.Move(r.Low, r.High, a, "")
	assert.NilError(t, err)
	assert.Assert(t, !returned.CanApply(tr))
}
