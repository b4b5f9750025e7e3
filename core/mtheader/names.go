package mtheader

// Names are the header names that callers and backend servers use for requests that
// are forwarded unchanged. A deployment may set names of its own; the meaning of the
// values is the same.
type Names struct {
	ID              string // identifier of the request; the server echoes it
	Deadline        string // remaining time in milliseconds
	Key             string // number of the key
	Caller          string // service on the VM where the request originated
	TargetServer    string // incarnation of the server that the request is for
	AnsweringServer string // incarnation of the server that answers
	Signature       string // marks an answer as coming from the server itself
	NotRun          string // present if the server did not run the request
	ColdRemaining   string // remaining cold time in milliseconds, in answers to health checks
}

// DefaultNames are the product's own header names. ColdRemaining is empty, so that health
// checks don't read a cold time from answers.
var DefaultNames = Names{
	ID:              "Request-Id",
	Deadline:        "Request-Deadline-Ms",
	Key:             "Shard-Key",
	Caller:          "Caller-Service",
	TargetServer:    "Server-Id",
	AnsweringServer: "Server-Answering",
	Signature:       "Reply-Signature",
	NotRun:          "Request-Not-Run",
}
