package mtstore

import (
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Faults say how a Memory misbehaves. The zero value is a store in order.
type Faults struct {
	// Down refuses every call as unavailable and cuts the watches that wait.
	Down bool
	// Hang never answers: a call ends with its context, a write has no effect.
	Hang bool
	// Slow delays each call before it takes effect. A write whose caller has
	// given up meanwhile still lands at its time.
	Slow time.Duration
	// LoseAnswers lets writes take effect and loses their answers.
	LoseAnswers bool
	// LateWrites answers writes with an unknown outcome and attempts them this
	// much later.
	LateWrites time.Duration
	// DropWrites answers writes with an unknown outcome and never attempts them.
	DropWrites bool
	// CutWatches ends watches at once as unavailable.
	CutWatches bool
	// LateWatches delays what a watch reports.
	LateWatches time.Duration
	// WriteRate and ReadRate limit calls a second; those above are refused as
	// unavailable. A watch counts as a read. Zero is no limit.
	WriteRate float64
	ReadRate  float64
	// Prefix confines the faults of writes to names that begin with it.
	Prefix string
	// Times confines the faults of writes to that many writes, after which
	// LoseAnswers, LateWrites and DropWrites are switched off. Zero is no limit.
	Times int
}

// writeFault reports whether any fault of writes is switched on.
func (f *Faults) writeFault() bool {
	return f.LoseAnswers || f.DropWrites || f.LateWrites > 0
}

// strikes reports whether a write of name meets a fault of writes.
func (f *Faults) strikes(name string) bool {
	return f.writeFault() && strings.HasPrefix(name, f.Prefix)
}

// spend uses up one of the limited Times.
func (f *Faults) spend() {
	if f.Times == 0 {
		return
	}
	f.Times--
	if f.Times == 0 {
		f.LoseAnswers, f.DropWrites, f.LateWrites = false, false, 0
	}
}

// The fields of the form that ParseFaults reads.
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

// maxRate bounds the rates of a form; it is far above any store's.
const maxRate = 1e9

// maxTimes bounds the count of struck writes of a form.
const maxTimes = 1 << 30

// ParseFaults reads faults from a form: down, hang, lose-answers, drop-writes
// and cut-watches are true or false; slow, late-writes and late-watches are Go
// durations; write-rate and read-rate are calls a second; prefix is text; times
// is a count. Absent fields are off. It fails with a *SettingError.
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

// Form returns f as the form that ParseFaults reads.
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
