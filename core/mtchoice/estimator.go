package mtchoice

// Estimator estimates one server's availability from the outcomes of the
// requests that were sent to it.
type Estimator interface {
	// Observe records the outcome of one request.
	Observe(success bool)
	// Availability estimates the probability that the next request succeeds, 0 to 1.
	Availability() float64
	// Down reports whether the server should receive no requests but probes.
	Down() bool
}

// LastSuccess considers only the most recent request.
type LastSuccess struct{ failed bool }

// NewLastSuccess returns the estimator of a server without failures.
func NewLastSuccess() *LastSuccess { return &LastSuccess{} }

// Observe implements Estimator.
func (e *LastSuccess) Observe(success bool) { e.failed = !success }

// Availability implements Estimator.
func (e *LastSuccess) Availability() float64 {
	if e.failed {
		return 0
	}
	return 1
}

// Down implements Estimator.
func (e *LastSuccess) Down() bool { return e.failed }

// downStreak is the number of consecutive failures after which a server counts
// as down.
const downStreak = 3

// Streak counts consecutive failures. Fewer than three are treated as chance.
type Streak struct{ failures int }

// NewStreak returns the estimator of a server without failures.
func NewStreak() *Streak { return &Streak{} }

// Observe implements Estimator.
func (e *Streak) Observe(success bool) {
	if success {
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

// Parameters of Average. Each failure halves the estimate, so four in a row mark
// a server as down. The rising cost of a failing server takes requests away from
// it long before it is excluded.
const (
	averageWeight    = 0.5
	averageDownBelow = 0.1
)

// Average is an exponentially weighted moving average of the outcomes.
type Average struct{ value float64 }

// NewAverage returns the estimator of a server without failures.
func NewAverage() *Average { return &Average{value: 1} }

// Observe implements Estimator.
func (e *Average) Observe(success bool) {
	outcome := 0.0
	if success {
		outcome = 1
	}
	e.value += averageWeight * (outcome - e.value)
}

// Availability implements Estimator.
func (e *Average) Availability() float64 { return e.value }

// Down implements Estimator.
func (e *Average) Down() bool { return e.value < averageDownBelow }

// Parameters of SIBE, as described in "Dynamic Availability Estimation for Service
// Selection based on Status Identification".
const (
	initialUpRun   = 5 // consecutive successes until a server counts as stable
	initialDownRun = 3 // consecutive failures until it counts as down
	minRun         = 2
	maxRun         = 20
	adjustEvery    = 200 // requests between two adjustments of the run lengths
	maxPast        = 16  // transient periods whose availability is retained
)

// status is the state of a server in SIBE.
type status uint8

const (
	stableUp status = iota
	transientDown
	shortTermDown
)

// StatusIdentification distinguishes three states of a server: stable up,
// transient down after a failure, and short-term down after consecutive failures.
// The availability in a transient period is the weighted average over previous
// ones. The lengths of the runs that change the state adapt to the runs observed.
// The method is SIBE, with its rules c0 to c3 and its equations 2 and 3.
type StatusIdentification struct {
	status      status
	run         int // consecutive requests with the same outcome
	lastSuccess bool
	upRun       int
	downRun     int
	period      period
	past        []float64 // availability in previous transient periods, oldest first
	observed    int
	upRuns      [maxRun + 3]int // how often a run of successes reached a length
	downRuns    [maxRun + 3]int
}

// period counts the requests of one transient period.
type period struct{ all, failed int }

// NewStatusIdentification returns the estimator of a server without failures.
func NewStatusIdentification() *StatusIdentification {
	return &StatusIdentification{lastSuccess: true, upRun: initialUpRun, downRun: initialDownRun}
}

// Observe implements Estimator.
func (e *StatusIdentification) Observe(success bool) {
	if success != e.lastSuccess {
		e.run = 0
	}
	e.lastSuccess = success
	e.run++
	e.countRun()
	before := e.status
	e.status = e.next(success)
	if e.status == transientDown {
		e.period.observe(success)
	}
	if before == transientDown && e.status != transientDown {
		e.endPeriod()
	}
	e.observed++
	if e.observed%adjustEvery == 0 {
		e.upRun = adjustRun(e.upRun, e.upRuns[:])
		e.downRun = adjustRun(e.downRun, e.downRuns[:])
	}
}

// next returns the state after a request with the given outcome.
func (e *StatusIdentification) next(success bool) status {
	switch {
	case e.status == stableUp && !success:
		return transientDown
	case e.status == transientDown && success && e.run >= e.upRun:
		return stableUp
	case e.status == transientDown && !success && e.run >= e.downRun:
		return shortTermDown
	case e.status == shortTermDown && success:
		return transientDown
	}
	return e.status
}

// countRun counts that the current run has reached its present length.
func (e *StatusIdentification) countRun() {
	length := min(e.run, maxRun+2)
	if e.lastSuccess {
		e.upRuns[length]++
		return
	}
	e.downRuns[length]++
}

// endPeriod stores the availability in the transient period that just ended.
func (e *StatusIdentification) endPeriod() {
	e.past = append(e.past, e.period.availability())
	if len(e.past) > maxPast {
		e.past = e.past[1:]
	}
	e.period = period{}
}

// observe counts the outcome of one request.
func (p *period) observe(success bool) {
	p.all++
	if !success {
		p.failed++
	}
}

// availability returns the fraction of the requests that succeeded.
func (p *period) availability() float64 {
	return float64(p.all-p.failed) / float64(max(p.all, 1))
}

// Availability implements Estimator.
func (e *StatusIdentification) Availability() float64 {
	switch e.status {
	case stableUp:
		return 1
	case shortTermDown:
		return 0
	}
	if len(e.past) == 0 {
		return e.period.availability()
	}
	sum, weights := 0.0, 0.0
	for i, a := range e.past {
		sum += float64(i+1) * a
		weights += float64(i + 1)
	}
	return sum / weights
}

// Down implements Estimator.
func (e *StatusIdentification) Down() bool { return e.status == shortTermDown }

// adjustRun returns the run length, at most one away from the current one, after
// which another request with the same outcome was most likely. reached[i] is how
// often a run reached length i.
func adjustRun(length int, reached []int) int {
	best, highest := length, -1.0
	for i := max(length-1, minRun); i <= min(length+1, maxRun); i++ {
		if reached[i] == 0 {
			continue
		}
		if probability := float64(reached[i+1]) / float64(reached[i]); probability > highest {
			best, highest = i, probability
		}
	}
	return best
}
