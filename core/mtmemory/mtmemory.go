// Package mtmemory decides how many bytes of requests and answers a daemon holds at the same time.
//
// Callers, backend servers and other daemons may all send large bodies at once, and read slowly
// what is sent to them. A bound on each of them bounds nothing for the daemon, so one ledger counts
// them all: a body counts once for as long as any part of the daemon refers to it.
//
// Large requests stop first, since they can be refused. Large answers go on a little longer, since
// their requests have run. What remains is for small ones, which must not wait behind large ones.
//
// # Usage
//
//	ledger := mtmemory.NewLedger(284 << 20)
//	if ledger.Take(mtmemory.Request, 0, 5<<20) { ... ledger.Return(5 << 20) }
//
// A Ledger isn't safe for concurrent use; io/mtmemory is.
package mtmemory

// Bytes is an amount of memory.
type Bytes int64

// Use is what memory is held for.
type Use string

// The uses.
const (
	Request Use = "request"
	Answer  Use = "answer"
)

const (
	// Small is the size up to which a request or an answer counts as small.
	Small Bytes = 64 << 10
	// defaultMemory stands for the memory of a process whose limit is not known.
	defaultMemory Bytes = 512 << 20
)

const (
	// base is what the process needs besides requests and answers, whatever its memory.
	base Bytes = 32 << 20
	// minDivisor divides the memory of a small process to give what is left beside the base at least.
	minDivisor = 4
)

// Parts of the rest of the process's memory, in percent, up to which a use may take more. What is left
// then is for garbage that is not collected yet.
const (
	requestPercent = 45
	answerPercent  = 48
	smallPercent   = 52
)

// Ledger counts the bytes that are held.
type Ledger struct {
	memory Bytes // beside the base
	held   Bytes
}

// NewLedger returns a ledger for a process that may use the given memory; zero if that is not known.
func NewLedger(memory Bytes) *Ledger {
	if memory <= 0 {
		memory = defaultMemory
	}
	return &Ledger{memory: max(memory-base, memory/minDivisor)}
}

// Limit returns up to how many bytes altogether one request or answer of the given size may take
// more.
func (l *Ledger) Limit(use Use, size Bytes) Bytes {
	percent := Bytes(answerPercent)
	switch {
	case size <= Small:
		percent = smallPercent
	case use == Request:
		percent = requestPercent
	}
	return l.memory / 100 * percent
}

// Take counts more bytes for a request or an answer that has some already, and reports whether
// there was room. If not, nothing is counted.
func (l *Ledger) Take(use Use, has, more Bytes) bool {
	if l.held+more > l.Limit(use, has+more) {
		return false
	}
	l.held += more
	return true
}

// Add counts bytes that have arrived already, whether there is room or not.
func (l *Ledger) Add(n Bytes) { l.held += n }

// Return counts bytes as free again.
func (l *Ledger) Return(n Bytes) { l.held -= n }

// Held returns the bytes that are held.
func (l *Ledger) Held() Bytes { return l.held }
