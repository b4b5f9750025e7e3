package mtshard

import "magnoliaturn/core/mtid"

// HasFirstOwner reports whether a shard of t has had no owner before its current
// one, that is, whether its epoch was allocated by the chunk's first version. No
// key was served before that version was written, whatever its ops are.
// HasFirstOwner reports false if the first step is no longer retained.
func (t *Table) HasFirstOwner(s Shard) bool {
	if len(t.Steps) == 0 || t.Steps[0].Version != 1 {
		return false
	}
	allocated := mtid.Epoch(0)
	for _, op := range t.Steps[0].Ops {
		switch o := op.(type) {
		case Create:
			allocated += mtid.Epoch(o.Shards)
		case Move:
			allocated++
		case Failover, Evict:
			return false
		}
	}
	return s.Epoch <= allocated
}

// MovedByHandover reports whether the latest change of owner of the shard that
// begins at low is a planned move to the holder to, written by the previous owner
// from. An owner writes such a move only right after a handover and accepts no
// request in between, so the request identifiers that it handed over are complete.
// If the move is canceled after the handover, the owner continues to serve. If it
// is lost later, its shards are reassigned by a failover, and the identifiers of
// the earlier handover must not be trusted.
func (t *Table) MovedByHandover(low mtid.Point, from, to mtid.Holder) bool {
	for i := len(t.Steps) - 1; i >= 0; i-- {
		step := t.Steps[i]
		for j := len(step.Ops) - 1; j >= 0; j-- {
			switch o := step.Ops[j].(type) {
			case Move:
				if o.Low == low {
					return o.To == to && step.WriteID.Writer == from
				}
			case Failover, Evict, Create:
				return false
			}
		}
	}
	return false
}
