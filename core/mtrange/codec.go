package mtrange

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// Patch holds the changes to a table since its next epoch was Since. Every key that
// has changed owner since then lies in one of the ranges; all other keys are
// unchanged. Daemons exchange patches instead of full tables: a move among 39
// servers that share 250 ranges changes two or three of them, and sending the
// full table to every daemon for each move saturated links of 10 Mbit/s.
type Patch struct {
	Service mtid.Service
	Since   mtid.Epoch
	Next    mtid.Epoch
	Ranges  []Range // in order; only those whose epoch is at least Since
}

// Since returns the changes made since the table's next epoch was the given one.
func (t *Table) Since(epoch mtid.Epoch) *Patch {
	p := &Patch{Service: t.Service, Since: epoch, Next: t.Next}
	for _, r := range t.Ranges {
		if r.Epoch >= epoch {
			p.Ranges = append(p.Ranges, r)
		}
	}
	return p
}

// PatchError reports that a patch cannot be applied to a table.
type PatchError struct {
	Service mtid.Service
	Next    mtid.Epoch // of the table
	Since   mtid.Epoch // of the patch
}

// Error implements error.
func (e *PatchError) Error() string {
	return fmt.Sprintf("range: cannot apply the patch of service %q since epoch %d to a table at epoch %d", e.Service, e.Since, e.Next)
}

// Apply returns a copy of the table with the patch applied. It fails with a
// *PatchError if the patch is of another service, starts at an epoch that the
// table has not reached, or ends before the table does.
func (t *Table) Apply(p *Patch) (*Table, error) {
	if t.Service != p.Service || t.Next < p.Since || p.Next < t.Next {
		return nil, &PatchError{Service: p.Service, Next: t.Next, Since: p.Since}
	}
	return &Table{Service: t.Service, Next: p.Next, Ranges: overlay(t.Ranges, p.Ranges)}, nil
}

// overlay returns the ranges of a table with some replaced by changed ones, which are in order.
func overlay(ranges, changed []Range) []Range {
	var next []Range
	for _, r := range ranges {
		low := int(r.Low)
		for len(changed) > 0 && int(changed[0].Low) <= int(r.High) {
			if int(changed[0].Low) > low {
				next = append(next, subrange(r, mtid.KeyNumber(low), changed[0].Low-1))
			}
			low = max(low, int(changed[0].High)+1)
			if int(changed[0].High) > int(r.High) {
				break // it extends into the next range
			}
			next = append(next, changed[0])
			changed = changed[1:]
		}
		if low <= int(r.High) {
			next = append(next, subrange(r, mtid.KeyNumber(low), r.High))
		}
	}
	return next
}

// DecodeError reports that an encoded table, patch or batch is invalid.
type DecodeError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Err != nil {
		return "range: decode: " + e.Err.Error()
	}
	return "range: decode: " + e.Reason
}

// Unwrap returns the error of the protobuf decoder, or nil if the message was
// well-formed but its content was invalid.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the stored form of t. A range takes about eight bytes, and its
// warm-up state another twenty.
func (t *Table) Encode() ([]byte, error) { return encode(t.Service, t.Next, 0, t.Ranges) }

// Encode returns the form of p that daemons exchange.
func (p *Patch) Encode() ([]byte, error) { return encode(p.Service, p.Next, p.Since, p.Ranges) }

func encode(service mtid.Service, next, since mtid.Epoch, ranges []Range) ([]byte, error) {
	w := &mtwire.RangeTable{Service: string(service), Next: uint64(next), Since: uint64(since)}
	indexes := make(map[Owner]uint32)
	for i, r := range ranges {
		index, ok := indexes[r.Owner]
		if !ok {
			index = uint32(len(w.Owners))
			indexes[r.Owner] = index
			w.Owners = append(w.Owners, wireOwner(r.Owner))
		}
		w.Lows = append(w.Lows, uint32(r.Low))
		w.Highs = append(w.Highs, uint32(r.High))
		w.Owner = append(w.Owner, index)
		w.Epochs = append(w.Epochs, uint64(r.Epoch))
		if r.WarmupState != "" {
			w.Warmths = append(w.Warmths, &mtwire.RangeWarmth{Place: uint32(i), Text: r.WarmupState})
		}
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(w)
}

func wireOwner(o Owner) *mtwire.RangeOwner {
	return &mtwire.RangeOwner{Daemon: string(o.Daemon), Server: string(o.Incarnation.Server), Born: int64(o.Incarnation.Started)}
}

func readOwner(w *mtwire.RangeOwner) Owner {
	incarnation := mtid.ServerIncarnation{Server: mtid.Server(w.GetServer()), Started: mtid.StartTime(w.GetBorn())}
	return Owner{Daemon: mtid.Daemon(w.GetDaemon()), Incarnation: incarnation}
}

// Decode reads a stored table. It fails with a *DecodeError if the ranges do not
// cover all keys in order: a gap would leave keys unserved permanently, and an
// overlap would give a key two owners.
func Decode(value []byte) (*Table, error) {
	w, ranges, err := decode(value)
	if err != nil {
		return nil, err
	}
	if w.GetSince() != 0 {
		return nil, &DecodeError{Reason: "expected a full table, got a patch"}
	}
	nextLow := 0
	for _, r := range ranges {
		if int(r.Low) != nextLow {
			return nil, &DecodeError{Reason: fmt.Sprintf("gap before range %d to %d", r.Low, r.High)}
		}
		nextLow = int(r.High) + 1
	}
	if nextLow != int(mtid.LastKeyNumber)+1 {
		return nil, &DecodeError{Reason: "no range covers the last keys"}
	}
	return &Table{Service: mtid.Service(w.GetService()), Next: mtid.Epoch(w.GetNext()), Ranges: ranges}, nil
}

// DecodePatch reads a patch. It returns nil if the value is a full table, and
// fails with a *DecodeError if the value is invalid.
func DecodePatch(value []byte) (*Patch, error) {
	w, ranges, err := decode(value)
	if err != nil {
		return nil, err
	}
	if w.GetSince() == 0 {
		return nil, nil
	}
	for _, r := range ranges {
		if r.Epoch < mtid.Epoch(w.GetSince()) {
			return nil, &DecodeError{Reason: fmt.Sprintf("epoch %d is below the first epoch of the patch", r.Epoch)}
		}
	}
	return &Patch{
		Service: mtid.Service(w.GetService()), Since: mtid.Epoch(w.GetSince()), Next: mtid.Epoch(w.GetNext()), Ranges: ranges,
	}, nil
}

// decode reads the parts that tables and patches share. It checks that the
// ranges are in order and that their epochs have already been assigned.
func decode(value []byte) (*mtwire.RangeTable, []Range, error) {
	w := &mtwire.RangeTable{}
	if err := proto.Unmarshal(value, w); err != nil {
		return nil, nil, &DecodeError{Err: err}
	}
	n := len(w.GetLows())
	if len(w.GetHighs()) != n || len(w.GetOwner()) != n || len(w.GetEpochs()) != n {
		return nil, nil, &DecodeError{Reason: "columns lows, highs, owner and epochs differ in length"}
	}
	ranges := make([]Range, 0, n)
	minLow := uint32(0)
	for i, low := range w.GetLows() {
		high, index, epoch := w.GetHighs()[i], w.GetOwner()[i], w.GetEpochs()[i]
		switch {
		case low < minLow || high < low || high > uint32(mtid.LastKeyNumber):
			return nil, nil, &DecodeError{Reason: fmt.Sprintf("range %d to %d is invalid or overlaps the previous one", low, high)}
		case epoch >= w.GetNext():
			return nil, nil, &DecodeError{Reason: fmt.Sprintf("epoch %d is not below the next epoch of the table", epoch)}
		case int(index) >= len(w.GetOwners()):
			return nil, nil, &DecodeError{Reason: fmt.Sprintf("owner index %d is out of range", index)}
		}
		ranges = append(ranges, Range{
			Low: mtid.KeyNumber(low), High: mtid.KeyNumber(high), Epoch: mtid.Epoch(epoch),
			Owner: readOwner(w.GetOwners()[index]),
		})
		minLow = high + 1
	}
	for _, warmup := range w.GetWarmths() {
		if int(warmup.GetPlace()) >= n {
			return nil, nil, &DecodeError{Reason: "warm-up state of a range that does not exist"}
		}
		ranges[warmup.GetPlace()].WarmupState = warmup.GetText()
	}
	return w, slices.Clip(ranges), nil
}
