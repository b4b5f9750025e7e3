package mtrange_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

// Guards against an epoch that was given before, or a key that is given away while it is fallow, whatever order of moves, claims and steps back to older copies.
func TestEpochsRiseAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := owners(rapid.IntRange(2, 5).Draw(t, "owners"))
		table, err := mtrange.Spread("maps", 0, all)
		assert.NilError(t, err)
		given := make(map[int]mtid.Epoch)
		record := func(before, after *mtrange.Table) {
			for _, r := range after.Ranges {
				if old, _ := before.Lookup(r.Low); old.Epoch == r.Epoch {
					continue
				}
				for key := int(r.Low); key <= int(r.High); key += 997 {
					assert.Assert(t, r.Epoch > given[key], "key %d gets epoch %d after %d", key, r.Epoch, given[key])
					given[key] = r.Epoch
				}
			}
		}
		record(&mtrange.Table{}, table)
		copies := []*mtrange.Table{table}
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			low := mtid.KeyNumber(rapid.IntRange(0, int(mtid.LastKeyNumber)).Draw(t, "key"))
			r, _ := table.Lookup(low)
			to := rapid.SampledFrom(all).Draw(t, "to")
			tr := mtrange.Transfer{From: r.Owner, Epoch: r.Epoch, Low: r.Low, High: low, To: to}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // the store comes back from an older copy
				table = rapid.SampledFrom(copies).Draw(t, "copy").InEra(table.Era() + 1)
				assert.Assert(t, len(table.Owners()) == 0)
				copies = append(copies, table)
				continue
			case 1: // an owner claims what it had, whoever has it in the copy
				claimed := mtrange.Transfer{From: to, Epoch: r.Epoch, Low: r.Low, High: low, To: to}
				if table.Fallow(r) {
					tr = claimed
				}
			case 2: // fallow ranges are given to servers once no old grant is in force
				next, err := table.TakeOver(table.Fallow, all)
				assert.NilError(t, err)
				record(table, next)
				table, copies = next, append(copies, next)
				continue
			}
			if !table.CanApply(tr) {
				assert.Assert(t, table.Fallow(r), "a move of %v can't be applied", tr)
				continue
			}
			next, err := table.Transfer(tr)
			assert.NilError(t, err)
			at, _ := next.Lookup(low)
			assert.Equal(t, at.Owner, tr.To)
			record(table, next)
			table, copies = next, append(copies, next)
		}
	})
}
