package mtshard

import "magnoliaturn/core/mtid"

// First reports whether a shard of t has had no owner before its present one:
// whether its epoch is one of those that the chunk's first version gave out.
// Nobody served any key before that version was written, whatever its ops are.
// It reports false where the first step is no longer kept.
func (t *Table) First(s Shard) bool {
	if len(t.Steps) == 0 || t.Steps[0].Version != 1 {
		return false
	}
	given := mtid.Epoch(0)
	for _, op := range t.Steps[0].Ops {
		switch o := op.(type) {
		case Create:
			given += mtid.Epoch(o.Shards)
		case Move:
			given++
		case Failover, Evict:
			return false
		}
	}
	return s.Epoch <= given
}

// Handed reports whether the newest change of owner of the shard that begins at
// low is a planned move from one holder to another, written by the former. An
// owner writes such a move only right after a handover, and takes nothing in
// between, so the memory that was handed over is whole. After a handover whose
// move was given up the owner goes on; if it is lost then, its shards arrive by
// failover, and what it handed over earlier must not be trusted.
func (t *Table) Handed(low mtid.Point, from, to mtid.Holder) bool {
	for i := len(t.Steps) - 1; i >= 0; i-- {
		step := t.Steps[i]
		for j := len(step.Ops) - 1; j >= 0; j-- {
			switch o := step.Ops[j].(type) {
			case Move:
				if o.Low == low {
					return o.To == to && step.Stamp.Writer == from
				}
			case Failover, Evict, Create:
				return false
			}
		}
	}
	return false
}
