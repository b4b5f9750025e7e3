package mtrange

import (
	"slices"

	"magnoliaturn/core/mtid"
)

// When the platform's store comes back from an older copy, the newest changes of owners are lost,
// and nobody may remember them. Their grants are in force all the same. So in the new era no range
// of the copy may be granted as it is: it is fallow until its owner claims it, or until no grant
// of an earlier era can be in force.

// Era returns the era of the store in which the table was last changed.
func (t *Table) Era() mtid.Era { return t.Next.Era() }

// InEra returns the table as the first of an era of the store, in which its ranges are fallow. A
// table of that era is returned as it is.
func (t *Table) InEra(era mtid.Era) *Table {
	if t.Era() >= era {
		return t
	}
	return &Table{Service: t.Service, Next: mtid.FirstEpoch(era), Ranges: t.Ranges}
}

// Fallow reports whether a range has not changed hands, or been claimed, in the table's era.
func (t *Table) Fallow(r Range) bool { return r.Epoch.Era() < t.Era() }

// HasFallow reports whether any range is fallow.
func (t *Table) HasFallow() bool { return slices.ContainsFunc(t.Ranges, t.Fallow) }

// allFallow reports whether all keys from low to high are in fallow ranges.
func (t *Table) allFallow(low, high mtid.KeyNumber) bool {
	return !slices.ContainsFunc(t.Ranges, func(r Range) bool {
		return r.Low <= high && low <= r.High && !t.Fallow(r)
	})
}

// Settled reports whether no key from low to high is in a fallow range.
func (t *Table) Settled(low, high mtid.KeyNumber) bool {
	return !slices.ContainsFunc(t.Ranges, func(r Range) bool {
		return r.Low <= high && low <= r.High && t.Fallow(r)
	})
}

// Claims reports whether a transfer claims keys: their owner had them in an earlier era of the
// store and keeps them, under a new epoch. Only an owner that nobody can have taken the keys from
// may do so.
func (tr Transfer) Claims(era mtid.Era) bool { return tr.From == tr.To && tr.Epoch.Era() < era }

// claim gives an owner the keys from low to high, which are fallow, whoever has them in the table.
func (t *Table) claim(low, high mtid.KeyNumber, owner Owner) *Table {
	claimed := Range{Low: low, High: high, Owner: owner, Epoch: t.Next}
	return &Table{Service: t.Service, Next: t.Next + 1, Ranges: overlay(t.Ranges, []Range{claimed})}
}

// Span is a run of adjacent keys. Both ends are inclusive.
type Span struct{ Low, High mtid.KeyNumber }

// AllKeys is the span of all keys of a service.
var AllKeys = Span{High: mtid.LastKeyNumber}

// FallowSpans returns the fallow keys, in order, as the longest spans.
func (t *Table) FallowSpans() []Span {
	var spans []Span
	for _, r := range t.Ranges {
		last := len(spans) - 1
		switch {
		case !t.Fallow(r):
		case last >= 0 && int(spans[last].High)+1 == int(r.Low):
			spans[last].High = r.High
		default:
			spans = append(spans, Span{Low: r.Low, High: r.High})
		}
	}
	return spans
}

// Covered reports whether one of the spans contains all keys from low to high.
func Covered(spans []Span, low, high mtid.KeyNumber) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.Low <= low && high <= s.High })
}
