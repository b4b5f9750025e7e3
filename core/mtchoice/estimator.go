package mtchoice

// Estimator judges one server's availability from the ends of the requests that
// were sent to it.
type Estimator interface {
	// Note takes in one end.
	Note(good bool)
	// Availability estimates how likely the next request succeeds, 0 to 1.
	Availability() float64
	// Down reports whether the server should get no requests but probes.
	Down() bool
}

// LastSuccess judges by the last request alone.
type LastSuccess struct{ failed bool }

// NewLastSuccess returns the judgement of a server that hasn't failed.
func NewLastSuccess() *LastSuccess { return &LastSuccess{} }

// Note implements Estimator.
func (e *LastSuccess) Note(good bool) { e.failed = !good }

// Availability implements Estimator.
func (e *LastSuccess) Availability() float64 {
	if e.failed {
		return 0
	}
	return 1
}

// Down implements Estimator.
func (e *LastSuccess) Down() bool { return e.failed }

// downStreak is how many failures in a row make a server count as down.
const downStreak = 3

// Streak judges by failures in a row: fewer than three are taken for chance.
type Streak struct{ failures int }

// NewStreak returns the judgement of a server that hasn't failed.
func NewStreak() *Streak { return &Streak{} }

// Note implements Estimator.
func (e *Streak) Note(good bool) {
	if good {
		e.failures = 0
		return
	}
	e.failures++
}

// Availability implements Estimator.
func (e *Streak) Availability() float64 {
	if e.Down() {
		return 0
	}
	return 1
}

// Down implements Estimator.
func (e *Streak) Down() bool { return e.failures >= downStreak }

// Parameters of Average: it halves with each failure, and four in a row make a
// server count as down. A failing server loses its share by its cost long before
// it is left out.
const (
	averageWeight = 0.5
	averageDown   = 0.1
)

// Average judges by an exponentially weighted moving average of the ends.
type Average struct{ value float64 }

// NewAverage returns the judgement of a server that hasn't failed.
func NewAverage() *Average { return &Average{value: 1} }

// Note implements Estimator.
func (e *Average) Note(good bool) {
	end := 0.0
	if good {
		end = 1
	}
	e.value += averageWeight * (end - e.value)
}

// Availability implements Estimator.
func (e *Average) Availability() float64 { return e.value }

// Down implements Estimator.
func (e *Average) Down() bool { return e.value < averageDown }

// Parameters of Status.
const (
	firstUpRun   = 5 // successes in a row until a server counts as stable
	firstDownRun = 3 // failures in a row until it counts as down
	minRun       = 2
	maxRun       = 20
	learnAfter   = 200 // requests between two adjustments
	keptVisits   = 16  // availabilities of past transient times
)

// status is where a server stands in Status.
type status uint8

const (
	stableUp status = iota
	transientDown
	shortTermDown
)

// Status identifies one of three statuses: stable up, transient down after a
// failure, short-term down after failures in a row. The availability of a
// transient time is a weighted average over past ones. The lengths of the runs
// that change the status are adjusted to the runs seen. The method is that of
// "Dynamic Availability Estimation for Service Selection based on Status
// Identification" (SIBE), with its rules c0 to c3 and its equations 2 and 3.
type Status struct {
	status  status
	run     int // ends of the same kind in a row
	good    bool
	upRun   int
	downRun int
	visit   visit
	past    []float64
	noted   int
	ups     [maxRun + 3]int // how often a run of successes reached a length
	downs   [maxRun + 3]int
}

// visit counts the requests of one transient time.
type visit struct{ all, failed int }

// NewStatus returns the judgement of a server that hasn't failed.
func NewStatus() *Status {
	return &Status{good: true, upRun: firstUpRun, downRun: firstDownRun}
}

// Note implements Estimator.
func (e *Status) Note(good bool) {
	if good != e.good {
		e.run = 0
	}
	e.good = good
	e.run++
	e.count()
	before := e.status
	e.status = e.after(good)
	if e.status == transientDown {
		e.visit.note(good)
	}
	if before == transientDown && e.status != transientDown {
		e.leave()
	}
	e.noted++
	if e.noted%learnAfter == 0 {
		e.upRun = adjust(e.upRun, e.ups[:])
		e.downRun = adjust(e.downRun, e.downs[:])
	}
}

// after returns the status after an end.
func (e *Status) after(good bool) status {
	switch {
	case e.status == stableUp && !good:
		return transientDown
	case e.status == transientDown && good && e.run >= e.upRun:
		return stableUp
	case e.status == transientDown && !good && e.run >= e.downRun:
		return shortTermDown
	case e.status == shortTermDown && good:
		return transientDown
	}
	return e.status
}

// count notes the length that the present run has reached.
func (e *Status) count() {
	length := min(e.run, maxRun+2)
	if e.good {
		e.ups[length]++
		return
	}
	e.downs[length]++
}

// leave keeps the availability of a transient time that has ended.
func (e *Status) leave() {
	e.past = append(e.past, e.visit.availability())
	if len(e.past) > keptVisits {
		e.past = e.past[1:]
	}
	e.visit = visit{}
}

// note takes in one end.
func (v *visit) note(good bool) {
	v.all++
	if !good {
		v.failed++
	}
}

// availability returns the part that succeeded.
func (v *visit) availability() float64 {
	return float64(v.all-v.failed) / float64(max(v.all, 1))
}

// Availability implements Estimator.
func (e *Status) Availability() float64 {
	switch e.status {
	case stableUp:
		return 1
	case shortTermDown:
		return 0
	}
	if len(e.past) == 0 {
		return e.visit.availability()
	}
	sum, weights := 0.0, 0.0
	for i, a := range e.past {
		sum += float64(i+1) * a
		weights += float64(i + 1)
	}
	return sum / weights
}

// Down implements Estimator.
func (e *Status) Down() bool { return e.status == shortTermDown }

// adjust returns the run length next to the present one after which another
// end of the same kind was the most likely.
func adjust(length int, reached []int) int {
	best, most := length, -1.0
	for i := max(length-1, minRun); i <= min(length+1, maxRun); i++ {
		if reached[i] == 0 {
			continue
		}
		if likely := float64(reached[i+1]) / float64(reached[i]); likely > most {
			best, most = i, likely
		}
	}
	return best
}
