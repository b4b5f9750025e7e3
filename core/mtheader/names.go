package mtheader

// Names are the header names that callers and backend servers use for requests that
// are forwarded unchanged. A deployment may set names of its own; the meaning of the
// values is the same.
type Names struct {
	ID        string // identifier of the request; the server echoes it
	Deadline  string // remaining time in milliseconds
	Key       string // number of the key
	Caller    string // service on the VM where the request originated
	Server    string // incarnation of the server that the request is for
	Answerer  string // incarnation of the server that answers
	Signature string // marks an answer as coming from the server itself
	NotRun    string // present if the server did not run the request
	Cold      string // in answers to health checks: for how many more milliseconds the server is cold
}

// Passed are the default names.
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
