package mtrange_test

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtwire"
)

// checkPatch checks that applying the changes since the table before yields the
// table after, once the patch has been encoded and decoded.
func checkPatch(t *rapid.T, before, after *mtrange.Table) {
	value, err := after.Since(before.Next).Encode()
	if err != nil {
		t.Fatal(err)
	}
	patch, err := mtrange.DecodePatch(value)
	if err != nil || patch == nil {
		t.Fatalf("patch %v: %v", patch, err)
	}
	got, err := before.Apply(patch)
	if err != nil {
		t.Fatal(err)
	}
	assert.DeepEqual(t, got, after)
}

// A daemon misses several changes, makes one itself and receives all others in one
// patch that starts before its own change. Applying it must not lose any change.
func TestApplyPatchToLaterTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, err := mtrange.Spread("maps", 0, owners(5))
		if err != nil {
			t.Fatal(err)
		}
		history := []*mtrange.Table{table}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			table = randomChange(t, table)
			history = append(history, table)
		}
		known := rapid.IntRange(0, len(history)-1).Draw(t, "known at")
		ownAt := rapid.IntRange(known, len(history)-1).Draw(t, "applied at")
		got, err := history[ownAt].Apply(table.Since(history[known].Next))
		if err != nil {
			t.Fatal(err)
		}
		assert.DeepEqual(t, got, table)
	})
}

// A patch that starts after the daemon's table would leave keys with previous owners,
// and so would one that ends before it.
func TestApplyRejectsPatchThatDoesNotFit(t *testing.T) {
	first, err := mtrange.Spread("maps", 0, owners(2))
	assert.NilError(t, err)
	second, err := first.Move(0, 9, owner(1), "")
	assert.NilError(t, err)
	third, err := second.Move(20, 29, owner(1), "")
	assert.NilError(t, err)
	other, err := mtrange.Spread("orders", 0, owners(2))
	assert.NilError(t, err)
	for name, apply := range map[string]func() (*mtrange.Table, error){
		"change missing": func() (*mtrange.Table, error) { return first.Apply(third.Since(second.Next)) },
		"older":          func() (*mtrange.Table, error) { return third.Apply(second.Since(first.Next)) },
		"other service":  func() (*mtrange.Table, error) { return other.Apply(second.Since(first.Next)) },
	} {
		_, err := apply()
		var want *mtrange.PatchError
		assert.Assert(t, errors.As(err, &want), name)
	}
}

// encodedTable returns a table with one owner; a row holds the low and high key and
// the epoch of a range.
func encodedTable(t testing.TB, next, since uint64, rows ...[3]uint32) []byte {
	w := &mtwire.RangeTable{Service: "m", Next: next, Since: since, Owners: []*mtwire.RangeOwner{{Daemon: "d", Server: "s"}}}
	for _, row := range rows {
		w.Lows = append(w.Lows, row[0])
		w.Highs = append(w.Highs, row[1])
		w.Epochs = append(w.Epochs, uint64(row[2]))
		w.Owner = append(w.Owner, 0)
	}
	value, err := proto.Marshal(w)
	assert.NilError(t, err)
	return value
}

func TestDecodeRejectsInvalidTables(t *testing.T) {
	unknownOwner := &mtwire.RangeTable{Next: 2, Lows: []uint32{0}, Highs: []uint32{65535}, Epochs: []uint64{1}, Owner: []uint32{3}}
	badIndex, err := proto.Marshal(unknownOwner)
	assert.NilError(t, err)
	ragged, err := proto.Marshal(&mtwire.RangeTable{Next: 2, Lows: []uint32{0}, Highs: []uint32{65535}})
	assert.NilError(t, err)
	for name, value := range map[string][]byte{
		"gap":                      encodedTable(t, 3, 0, [3]uint32{0, 9, 1}, [3]uint32{11, 65535, 2}),
		"overlap":                  encodedTable(t, 3, 0, [3]uint32{0, 9, 1}, [3]uint32{9, 65535, 2}),
		"start missing":            encodedTable(t, 3, 0, [3]uint32{1, 65535, 1}),
		"end missing":              encodedTable(t, 3, 0, [3]uint32{0, 65534, 1}),
		"epoch not assigned yet":   encodedTable(t, 1, 0, [3]uint32{0, 65535, 1}),
		"no ranges":                encodedTable(t, 1, 0),
		"key above 16 bits":        encodedTable(t, 3, 0, [3]uint32{0, 65536, 1}),
		"a patch":                  encodedTable(t, 3, 2, [3]uint32{0, 65535, 2}),
		"owner index out of range": badIndex,
		"columns differ in length": ragged,
		"not a table":              []byte("[]"),
	} {
		_, err := mtrange.Decode(value)
		var want *mtrange.DecodeError
		assert.Assert(t, errors.As(err, &want), name)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encodedTable(f, 2, 0, [3]uint32{0, 65535, 1}))
	f.Add(encodedTable(f, 4, 3, [3]uint32{7, 9, 3}))
	f.Fuzz(func(t *testing.T, value []byte) {
		patch, err := mtrange.DecodePatch(value)
		if err == nil && patch != nil {
			full, err := mtrange.Spread(patch.Service, 0, owners(3))
			assert.NilError(t, err)
			if next, err := full.Apply(patch); err == nil {
				checkCoverage(t, next)
			}
			return
		}
		table, err := mtrange.Decode(value)
		if err != nil {
			return
		}
		checkCoverage(t, table)
	})
}

// checkCoverage checks that every key has exactly one owner.
func checkCoverage(t *testing.T, table *mtrange.Table) {
	want := 0
	for _, r := range table.Ranges {
		assert.Equal(t, int(r.Low), want)
		want = int(r.High) + 1
	}
	assert.Equal(t, want, int(mtid.LastKeyNumber)+1)
}
