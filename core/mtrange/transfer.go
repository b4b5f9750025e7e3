package mtrange

import (
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// Transfer is a change of owner of some keys that is to be written.
type Transfer struct {
	From      Owner
	Epoch     mtid.Epoch // under which From had the keys when the transfer began
	Low, High mtid.KeyNumber
	To        Owner
	Warmth    string
}

// Stands reports whether the keys of a transfer still have the owner and epoch that they
// had when it began. Where they don't, it has landed, or others have taken the keys.
func (t *Table) Stands(tr Transfer) bool {
	at, _ := t.Lookup(tr.Low)
	return at.Owner == tr.From && at.Epoch == tr.Epoch
}

// Batch is what one daemon wants written in one step.
type Batch struct {
	Service mtid.Service
	Daemon  mtid.Daemon
	// Record is the version of the daemon's record, under the condition of which alone
	// the transfers may be written: a next life of the daemon writes its record before it
	// grants anything.
	Record mtid.Version
	// Known is the next epoch of the assignment that the daemon knows, so that it is told
	// all that has changed since.
	Known     mtid.Epoch
	Transfers []Transfer
}

// Outcome is what is known of a write.
type Outcome int

// The outcomes.
const (
	Refused Outcome = iota // it has not been written and never will be
	Beaten                 // the same, since another one was written first
	Written
	Doubtful // it may have been written, or may be later
)

// Wire returns the form of b that daemons exchange.
func (b Batch) Wire() *mtwire.RangeBatch {
	w := &mtwire.RangeBatch{Service: string(b.Service), Daemon: string(b.Daemon), Record: uint64(b.Record), Known: uint64(b.Known)}
	for _, t := range b.Transfers {
		w.Transfers = append(w.Transfers, &mtwire.RangeTransfer{
			From: wireOwner(t.From), Epoch: uint64(t.Epoch), Low: uint32(t.Low), High: uint32(t.High), To: wireOwner(t.To), Warmth: t.Warmth,
		})
	}
	return w
}

// ReadBatch reads the form of a Batch that daemons exchange. It fails with a *DecodeError.
func ReadBatch(w *mtwire.RangeBatch) (Batch, error) {
	b := Batch{Service: mtid.Service(w.GetService()), Daemon: mtid.Daemon(w.GetDaemon()), Record: mtid.Version(w.GetRecord()), Known: mtid.Epoch(w.GetKnown())}
	for _, t := range w.GetTransfers() {
		if t.GetLow() > t.GetHigh() || t.GetHigh() > uint32(mtid.LastKeyNumber) {
			return Batch{}, &DecodeError{Reason: "a transfer names no run of keys"}
		}
		b.Transfers = append(b.Transfers, Transfer{
			From: readOwner(t.GetFrom()), Epoch: mtid.Epoch(t.GetEpoch()), Low: mtid.KeyNumber(t.GetLow()), High: mtid.KeyNumber(t.GetHigh()),
			To: readOwner(t.GetTo()), Warmth: t.GetWarmth(),
		})
	}
	if b.Daemon == "" || b.Record == 0 {
		return Batch{}, &DecodeError{Reason: "a batch names no record of a daemon"}
	}
	return b, nil
}
