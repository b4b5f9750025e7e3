package mtrange

import (
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// Transfer is a change of the owner of some keys that is yet to be written.
type Transfer struct {
	From        Owner
	Epoch       mtid.Epoch // under which From owned the keys when the transfer began
	Low, High   mtid.KeyNumber
	To          Owner
	WarmupState string
}

// CanApply reports whether the keys of a transfer still have the owner and epoch that
// they had when it began. If not, the transfer has been written, or the keys have
// been reassigned. In a later era of the store only claims of fallow keys can be applied.
func (t *Table) CanApply(tr Transfer) bool {
	if tr.Epoch.Era() < t.Era() {
		return tr.Claims(t.Era()) && t.allFallow(tr.Low, tr.High)
	}
	at, _ := t.Lookup(tr.Low)
	return at.Owner == tr.From && at.Epoch == tr.Epoch
}

// Transfer returns the table with a transfer applied. It fails with a *RangeError if the
// transfer does not fit the table.
func (t *Table) Transfer(tr Transfer) (*Table, error) {
	if tr.Claims(t.Era()) {
		return t.claim(tr.Low, tr.High, tr.To), nil
	}
	return t.Move(tr.Low, tr.High, tr.To, tr.WarmupState)
}

// Batch is a group of transfers that one daemon requests to be written in one step.
type Batch struct {
	Service mtid.Service
	Daemon  mtid.Daemon
	// RecordVersion is the version of the daemon's record. The transfers may only be
	// written while the record has this version: the daemon's next incarnation
	// writes its record before it grants anything.
	RecordVersion mtid.Version
	// KnownEpoch is the next epoch of the assignment that the daemon has, so that the
	// reply can include everything that has changed since.
	KnownEpoch mtid.Epoch
	Transfers  []Transfer
}

// Outcome is the result of a write.
type Outcome int

// Outcomes of a write.
const (
	Refused    Outcome = iota // not written, and never will be
	Conflicted                // not written, and never will be: a conflicting write won
	Written
	OutcomeUnknown // it may have been written, or may still be
)

// Wire returns the form of b that daemons exchange.
func (b Batch) Wire() *mtwire.RangeBatch {
	w := &mtwire.RangeBatch{Service: string(b.Service), Daemon: string(b.Daemon), Record: uint64(b.RecordVersion), Known: uint64(b.KnownEpoch)}
	for _, t := range b.Transfers {
		w.Transfers = append(w.Transfers, &mtwire.RangeTransfer{
			From: wireOwner(t.From), Epoch: uint64(t.Epoch), Low: uint32(t.Low), High: uint32(t.High), To: wireOwner(t.To), Warmth: t.WarmupState,
		})
	}
	return w
}

// ReadBatch reads the form of a Batch that daemons exchange. It fails with a *DecodeError.
func ReadBatch(w *mtwire.RangeBatch) (Batch, error) {
	b := Batch{Service: mtid.Service(w.GetService()), Daemon: mtid.Daemon(w.GetDaemon()), RecordVersion: mtid.Version(w.GetRecord()), KnownEpoch: mtid.Epoch(w.GetKnown())}
	for _, t := range w.GetTransfers() {
		if t.GetLow() > t.GetHigh() || t.GetHigh() > uint32(mtid.LastKeyNumber) {
			return Batch{}, &DecodeError{Reason: "transfer with an invalid key range"}
		}
		b.Transfers = append(b.Transfers, Transfer{
			From: readOwner(t.GetFrom()), Epoch: mtid.Epoch(t.GetEpoch()), Low: mtid.KeyNumber(t.GetLow()), High: mtid.KeyNumber(t.GetHigh()),
			To: readOwner(t.GetTo()), WarmupState: t.GetWarmth(),
		})
	}
	if b.Daemon == "" || b.RecordVersion == 0 {
		return Batch{}, &DecodeError{Reason: "batch without a daemon or the version of its record"}
	}
	return b, nil
}
