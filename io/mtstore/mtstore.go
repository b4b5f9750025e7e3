// Package mtstore accesses the platform's key-value store over HTTP, and provides an
// in-memory store that replaces it in tests, examples and stand-ins.
//
// Client and Memory both implement the Store interface of core/mtstore and pass the
// same contract tests. NewHandler serves a Memory with the protocol that Client uses,
// so a stand-in is a Memory behind a listener.
//
// A Memory can simulate faults: calls that are rejected, slow or never answered,
// writes whose response is lost or that are applied late or never, watches that are
// cut off or late, and rate limits. Each fault conforms to the guarantees of the
// errors of core/mtstore, so a write for which a test receives an UnknownError may or
// may not have been applied.
//
// # Usage
//
// A process accesses the store with
//
//	store, cleanUp, err := mtstore.NewClient("http://10.0.0.2:7000", 2*time.Second)
//	expvar.Publish("store", store.Vars())
//
// and a test replaces it with
//
//	memory := mtstore.NewMemory(time.Now)
//	memory.SetFaults(mtstore.Faults{LoseAnswers: true, Times: 1})
//
// # Protocol
//
// Bodies are JSON, values are base64, waits are in nanoseconds. Names are sent in
// bodies, never in paths.
//
//	POST /v1/get    {name}                         200 {entry}
//	POST /v1/swap   {name, expected, value, lease} 200 {version}
//	POST /v1/watch  {prefix, after, wait}          200 {entries, revision, more}
//	POST /v1/grant  {ttl}                          200 {lease}
//	POST /v1/renew  {lease}                        200 {}
//
// A refusal has the body {kind, reason, current, lease}, with kind "missing" (404),
// "conflict" (409), "lapsed" (410), "rejected" (400) or "unavailable" (503). An entry,
// in a response to get and in current and entries, is {Name, Value, Version,
// Revision}. Only these refusals prove that nothing was written. Any other failure of a
// write, including a missing response, leaves its outcome unknown.
//
// The faults of a served Memory are returned by GET /admin/faults and replaced by
// POST /admin/faults with a form (see ParseFaults). POST /admin/lapse expires all
// leases, and POST /admin/settle applies the pending late writes.
package mtstore

import (
	"expvar"
	"fmt"
	"time"

	"magnoliaturn/core/mtstore"
)

// Names of the calls of a store, in counters and in errors.
const (
	opGet   = "get"
	opSwap  = "swap"
	opWatch = "watch"
	opGrant = "grant"
	opRenew = "renew"
)

// MaxName is the maximum length of a name, in bytes.
const MaxName = 512

// MaxWait is the maximum wait of a watch.
const MaxWait = 5 * time.Minute

// SettingError reports that a setting, or a field of a form, is outside its accepted
// range. Nothing was changed.
type SettingError struct {
	Field  string
	Value  string
	Accept string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("store: %s is %q, accepted: %s", e.Field, e.Value, e.Accept)
}

// counts counts the calls of a store by kind, and the watches that are currently
// waiting.
type counts struct {
	vars     *expvar.Map
	watching *expvar.Int
}

func newCounts() counts {
	c := counts{vars: new(expvar.Map).Init(), watching: new(expvar.Int)}
	c.vars.Set("watching", c.watching)
	return c
}

// call counts a call of the kind op.
func (c counts) call(op string) { c.vars.Add(op, 1) }

// fail counts a failed call by the kind of its error.
func (c counts) fail(err error) {
	switch err.(type) {
	case *mtstore.UnknownError:
		c.vars.Add("unknown", 1)
	case *mtstore.UnavailableError:
		c.vars.Add("unavailable", 1)
	case *mtstore.ConflictError:
		c.vars.Add("conflict", 1)
	}
}

// checkName rejects names that the store does not support.
func checkName(op, name string) error {
	if name == "" || len(name) > MaxName {
		return &mtstore.RejectedError{Op: op, Reason: fmt.Sprintf("name has %d bytes, accepted: 1 to %d", len(name), MaxName)}
	}
	return nil
}

// checkValue rejects values that exceed the store's size limit.
func checkValue(op string, value []byte) error {
	if len(value) > mtstore.MaxValue {
		return &mtstore.RejectedError{Op: op, Reason: fmt.Sprintf("value has %d bytes, accepted: 0 to %d", len(value), mtstore.MaxValue)}
	}
	return nil
}

// checkWait rejects waits that a watch does not support.
func checkWait(wait time.Duration) error {
	if wait < 0 || wait > MaxWait {
		return &mtstore.RejectedError{Op: opWatch, Reason: fmt.Sprintf("wait is %s, accepted: 0s to %s", wait, MaxWait)}
	}
	return nil
}

// checkTTL rejects lease durations that are not positive.
func checkTTL(ttl time.Duration) error {
	if ttl <= 0 {
		return &mtstore.RejectedError{Op: opGrant, Reason: fmt.Sprintf("ttl is %s, accepted: more than 0s", ttl)}
	}
	return nil
}
