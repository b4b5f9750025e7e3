package mtheader

// Names are the header names that callers and backend servers use where
// requests are passed on unchanged. A deployment that speaks other names gives
// its own; what they hold is the same.
type Names struct {
	ID        string // identifier of the request; the server echoes it
	Deadline  string // milliseconds that are left
	Key       string // number of the key
	Caller    string // service on the VM where the request began
	Server    string // life of the server that is meant
	Answerer  string // life of the server that answers
	Signature string // the server's mark on its answers
	NotRun    string // present if the server did not run the request
	Cold      string // in answers to health checks: milliseconds for which the server stays cold
}

// Passed are the names of the product's own.
var Passed = Names{
	ID:        "Request-Id",
	Deadline:  "Request-Deadline-Ms",
	Key:       "Shard-Key",
	Caller:    "Caller-Service",
	Server:    "Server-Id",
	Answerer:  "Server-Answering",
	Signature: "Reply-Signature",
	NotRun:    "Request-Not-Run",
}
