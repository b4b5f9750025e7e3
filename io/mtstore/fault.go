package mtstore

import (
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Faults are the faults that a Memory simulates. The zero value simulates none.
type Faults struct {
	// Down rejects every call as unavailable and ends the watches that are waiting.
	Down bool
	// Hang never responds: a call ends with its context, and a write has no effect.
	Hang bool
	// Slow delays each call before it takes effect. A write whose caller has given up
	// in the meantime is still applied after the delay.
	Slow time.Duration
	// LoseAnswers applies writes but loses their responses.
	LoseAnswers bool
	// LateWrites reports an unknown outcome for writes and attempts to apply them
	// after this delay.
	LateWrites time.Duration
	// DropWrites reports an unknown outcome for writes and never applies them.
	DropWrites bool
	// CutWatches ends watches immediately as unavailable.
	CutWatches bool
	// LateWatches delays the results of watches.
	LateWatches time.Duration
	// WriteRate and ReadRate limit the calls per second; excess calls are rejected as
	// unavailable. A watch counts as a read. Zero means no limit.
	WriteRate float64
	ReadRate  float64
	// Prefix restricts the faults of writes to names with this prefix.
	Prefix string
	// Times restricts the faults of writes to this number of writes. After that,
	// LoseAnswers, LateWrites and DropWrites are switched off. Zero means no limit.
	Times int
}

// hasWriteFault reports whether any fault of writes is switched on.
func (f *Faults) hasWriteFault() bool {
	return f.LoseAnswers || f.DropWrites || f.LateWrites > 0
}

// affectsWrite reports whether a fault applies to a write of the name.
func (f *Faults) affectsWrite(name string) bool {
	return f.hasWriteFault() && strings.HasPrefix(name, f.Prefix)
}

// countWrite counts an affected write against Times.
func (f *Faults) countWrite() {
	if f.Times == 0 {
		return
	}
	f.Times--
	if f.Times == 0 {
		f.LoseAnswers, f.DropWrites, f.LateWrites = false, false, 0
	}
}

// Fields of the form that ParseFaults reads.
const (
	fieldDown        = "down"
	fieldHang        = "hang"
	fieldSlow        = "slow"
	fieldLoseAnswers = "lose-answers"
	fieldLateWrites  = "late-writes"
	fieldDropWrites  = "drop-writes"
	fieldCutWatches  = "cut-watches"
	fieldLateWatches = "late-watches"
	fieldWriteRate   = "write-rate"
	fieldReadRate    = "read-rate"
	fieldPrefix      = "prefix"
	fieldTimes       = "times"
)

// maxRate is the maximum rate in a form, far above the rate of any store.
const maxRate = 1e9

// maxTimes is the maximum number of affected writes in a form.
const maxTimes = 1 << 30

// ParseFaults reads faults from a form: down, hang, lose-answers, drop-writes and
// cut-watches are true or false; slow, late-writes and late-watches are Go durations;
// write-rate and read-rate are calls per second; prefix is a string; times is a count.
// Missing fields are off. It fails with a *SettingError.
func ParseFaults(form url.Values) (Faults, error) {
	var f Faults
	flags := map[string]*bool{
		fieldDown: &f.Down, fieldHang: &f.Hang, fieldLoseAnswers: &f.LoseAnswers,
		fieldDropWrites: &f.DropWrites, fieldCutWatches: &f.CutWatches,
	}
	waits := map[string]*time.Duration{
		fieldSlow: &f.Slow, fieldLateWrites: &f.LateWrites, fieldLateWatches: &f.LateWatches,
	}
	rates := map[string]*float64{fieldWriteRate: &f.WriteRate, fieldReadRate: &f.ReadRate}
	for field := range form {
		text := form.Get(field)
		var fault error
		switch {
		case flags[field] != nil:
			fault = parseFlag(field, text, flags[field])
		case waits[field] != nil:
			fault = parseWait(field, text, waits[field])
		case rates[field] != nil:
			fault = parseRate(field, text, rates[field])
		case field == fieldTimes:
			fault = parseTimes(text, &f.Times)
		case field == fieldPrefix:
			f.Prefix = text
		default:
			fault = &SettingError{Field: field, Value: text, Accept: "a name of a fault"}
		}
		if fault != nil {
			return Faults{}, fault
		}
	}
	return f, nil
}

// Form returns f as a form that ParseFaults can read.
func (f *Faults) Form() url.Values {
	return url.Values{
		fieldDown:        {strconv.FormatBool(f.Down)},
		fieldHang:        {strconv.FormatBool(f.Hang)},
		fieldSlow:        {f.Slow.String()},
		fieldLoseAnswers: {strconv.FormatBool(f.LoseAnswers)},
		fieldLateWrites:  {f.LateWrites.String()},
		fieldDropWrites:  {strconv.FormatBool(f.DropWrites)},
		fieldCutWatches:  {strconv.FormatBool(f.CutWatches)},
		fieldLateWatches: {f.LateWatches.String()},
		fieldWriteRate:   {strconv.FormatFloat(f.WriteRate, 'g', -1, 64)},
		fieldReadRate:    {strconv.FormatFloat(f.ReadRate, 'g', -1, 64)},
		fieldPrefix:      {f.Prefix},
		fieldTimes:       {strconv.Itoa(f.Times)},
	}
}

func parseFlag(field, text string, into *bool) error {
	value, err := strconv.ParseBool(text)
	if err != nil {
		return &SettingError{Field: field, Value: text, Accept: "true or false"}
	}
	*into = value
	return nil
}

func parseWait(field, text string, into *time.Duration) error {
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 || value > MaxWait {
		return &SettingError{Field: field, Value: text, Accept: "a duration from 0s to " + MaxWait.String()}
	}
	*into = value
	return nil
}

func parseRate(field, text string, into *float64) error {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= maxRate) {
		return &SettingError{Field: field, Value: text, Accept: "a rate from 0 to 1e9 calls a second"}
	}
	*into = value
	return nil
}

func parseTimes(text string, into *int) error {
	value, err := strconv.Atoi(text)
	if err != nil || value < 0 || value > maxTimes {
		return &SettingError{Field: fieldTimes, Value: text, Accept: "a count from 0 to " + strconv.Itoa(maxTimes)}
	}
	*into = value
	return nil
}
