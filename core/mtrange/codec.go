package mtrange

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// Patch is what has changed in a table since Since was its next epoch: a key that
// changed hands since then lies in one of the ranges, and every other key stands
// as before. Daemons tell each other patches: a move among 39 servers that
// share 250 ranges changes two or three of them, and the whole table sent to
// every daemon for each move filled links of 10 Mbit/s.
type Patch struct {
	Service mtid.Service
	Since   mtid.Epoch
	Next    mtid.Epoch
	Ranges  []Range // in order; those under an epoch of Since or higher
}

// Since returns what has changed since an epoch was the next one.
func (t *Table) Since(epoch mtid.Epoch) *Patch {
	p := &Patch{Service: t.Service, Since: epoch, Next: t.Next}
	for _, r := range t.Ranges {
		if r.Epoch >= epoch {
			p.Ranges = append(p.Ranges, r)
		}
	}
	return p
}

// PatchError says that a patch does not fit the table that it is laid over.
type PatchError struct {
	Service mtid.Service
	Next    mtid.Epoch // of the table
	Since   mtid.Epoch // of the patch
}

// Error implements error.
func (e *PatchError) Error() string {
	return fmt.Sprintf("range: patch of %q since epoch %d does not fit a table at epoch %d", e.Service, e.Since, e.Next)
}

// Apply returns the table with a patch laid over it. It fails with a *PatchError
// if the table is older than what the patch builds on.
func (t *Table) Apply(p *Patch) (*Table, error) {
	if t.Service != p.Service || t.Next < p.Since || p.Next < t.Next {
		return nil, &PatchError{Service: p.Service, Next: t.Next, Since: p.Since}
	}
	next := &Table{Service: t.Service, Next: p.Next}
	changed := p.Ranges
	for _, r := range t.Ranges {
		low := int(r.Low)
		for len(changed) > 0 && int(changed[0].Low) <= int(r.High) {
			if int(changed[0].Low) > low {
				next.Ranges = append(next.Ranges, part(r, mtid.KeyNumber(low), changed[0].Low-1))
			}
			low = max(low, int(changed[0].High)+1)
			if int(changed[0].High) > int(r.High) {
				break // it covers the next range too
			}
			next.Ranges = append(next.Ranges, changed[0])
			changed = changed[1:]
		}
		if low <= int(r.High) {
			next.Ranges = append(next.Ranges, part(r, mtid.KeyNumber(low), r.High))
		}
	}
	return next, nil
}

// DecodeError says that a table or a patch can't be read.
type DecodeError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Err != nil {
		return "range: table can't be read: " + e.Err.Error()
	}
	return "range: table can't be read: " + e.Reason
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the stored form of t. A range costs about eight bytes, and its
// warmth twenty.
func (t *Table) Encode() ([]byte, error) { return encode(t.Service, t.Next, 0, t.Ranges) }

// Encode returns the form of p that daemons tell each other.
func (p *Patch) Encode() ([]byte, error) { return encode(p.Service, p.Next, p.Since, p.Ranges) }

func encode(service mtid.Service, next, since mtid.Epoch, ranges []Range) ([]byte, error) {
	w := &mtwire.RangeTable{Service: string(service), Next: uint64(next), Since: uint64(since)}
	places := make(map[Owner]uint32)
	for i, r := range ranges {
		place, ok := places[r.Owner]
		if !ok {
			place = uint32(len(w.Owners))
			places[r.Owner] = place
			w.Owners = append(w.Owners, wireOwner(r.Owner))
		}
		w.Lows = append(w.Lows, uint32(r.Low))
		w.Highs = append(w.Highs, uint32(r.High))
		w.Owner = append(w.Owner, place)
		w.Epochs = append(w.Epochs, uint64(r.Epoch))
		if r.Warmth != "" {
			w.Warmths = append(w.Warmths, &mtwire.RangeWarmth{Place: uint32(i), Text: r.Warmth})
		}
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(w)
}

func wireOwner(o Owner) *mtwire.RangeOwner {
	return &mtwire.RangeOwner{Daemon: string(o.Daemon), Server: string(o.Life.Server), Born: int64(o.Life.Started)}
}

func readOwner(w *mtwire.RangeOwner) Owner {
	life := mtid.ServerIncarnation{Server: mtid.Server(w.GetServer()), Started: mtid.StartTime(w.GetBorn())}
	return Owner{Daemon: mtid.Daemon(w.GetDaemon()), Life: life}
}

// Decode reads a stored table. It fails with a *DecodeError if the ranges don't
// cover all keys in order: a table with a gap would leave keys unserved for
// good, one with an overlap would give a key two owners.
func Decode(value []byte) (*Table, error) {
	w, ranges, err := decode(value)
	if err != nil {
		return nil, err
	}
	if w.GetSince() != 0 {
		return nil, &DecodeError{Reason: "it is a patch"}
	}
	want := 0
	for _, r := range ranges {
		if int(r.Low) != want {
			return nil, &DecodeError{Reason: fmt.Sprintf("range %d to %d is out of order", r.Low, r.High)}
		}
		want = int(r.High) + 1
	}
	if want != int(mtid.LastKeyNumber)+1 {
		return nil, &DecodeError{Reason: "not all keys are covered"}
	}
	return &Table{Service: mtid.Service(w.GetService()), Next: mtid.Epoch(w.GetNext()), Ranges: ranges}, nil
}

// DecodePatch reads a patch. It returns nil if the value is a whole table, and
// fails with a *DecodeError.
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
			return nil, &DecodeError{Reason: fmt.Sprintf("epoch %d is older than the patch", r.Epoch)}
		}
	}
	return &Patch{
		Service: mtid.Service(w.GetService()), Since: mtid.Epoch(w.GetSince()), Next: mtid.Epoch(w.GetNext()), Ranges: ranges,
	}, nil
}

// decode reads what tables and patches have in common: ranges in order, whose
// epochs have been given out.
func decode(value []byte) (*mtwire.RangeTable, []Range, error) {
	w := &mtwire.RangeTable{}
	if err := proto.Unmarshal(value, w); err != nil {
		return nil, nil, &DecodeError{Err: err}
	}
	n := len(w.GetLows())
	if len(w.GetHighs()) != n || len(w.GetOwner()) != n || len(w.GetEpochs()) != n {
		return nil, nil, &DecodeError{Reason: "columns differ in length"}
	}
	ranges := make([]Range, 0, n)
	least := uint32(0)
	for i, low := range w.GetLows() {
		high, place, epoch := w.GetHighs()[i], w.GetOwner()[i], w.GetEpochs()[i]
		switch {
		case low < least || high < low || high > uint32(mtid.LastKeyNumber):
			return nil, nil, &DecodeError{Reason: fmt.Sprintf("range %d to %d is out of order", low, high)}
		case epoch >= w.GetNext():
			return nil, nil, &DecodeError{Reason: fmt.Sprintf("epoch %d is not below the next one", epoch)}
		case int(place) >= len(w.GetOwners()):
			return nil, nil, &DecodeError{Reason: fmt.Sprintf("owner %d is not named", place)}
		}
		ranges = append(ranges, Range{
			Low: mtid.KeyNumber(low), High: mtid.KeyNumber(high), Epoch: mtid.Epoch(epoch),
			Owner: readOwner(w.GetOwners()[place]),
		})
		least = high + 1
	}
	for _, warmth := range w.GetWarmths() {
		if int(warmth.GetPlace()) >= n {
			return nil, nil, &DecodeError{Reason: "warmth of a range that is not there"}
		}
		ranges[warmth.GetPlace()].Warmth = warmth.GetText()
	}
	return w, slices.Clip(ranges), nil
}
