// Package mtstore reaches the platform's key-value store over HTTP, and holds
// an in-memory store that takes its place in tests, examples and stand-ins.
//
// Client and Memory both implement the Store of core/mtstore and pass the same
// contract tests. NewHandler serves a Memory by the protocol that Client
// speaks, so that a stand-in is a Memory behind a listener.
//
// Memory can be given faults: calls that are refused, slow or never answered,
// writes whose answer is lost, that land late or never, watches that are cut or
// late, and rate limits. Each fault keeps to what the errors of core/mtstore
// promise, so a test that meets an UnknownError has a write behind it that may
// or may not have landed.
//
// # Usage
//
// A process reaches the store by
//
//	store, cleanUp, err := mtstore.NewClient("http://10.0.0.2:7000", 2*time.Second)
//	expvar.Publish("store", store.Vars())
//
// and a test takes its place by
//
//	memory := mtstore.NewMemory(time.Now)
//	memory.SetFaults(mtstore.Faults{LoseAnswers: true, Times: 1})
//
// # Protocol
//
// Bodies are JSON, values are base64, waits are nanoseconds. Names travel in
// bodies, never in paths.
//
//	POST /v1/get    {name}                         200 {entry}
//	POST /v1/swap   {name, expected, value, lease} 200 {version}
//	POST /v1/watch  {prefix, after, wait}          200 {entries, revision, more}
//	POST /v1/grant  {ttl}                          200 {lease}
//	POST /v1/renew  {lease}                        200 {}
//
// A refusal has the body {kind, reason, current, lease}, with kind "missing"
// (404), "conflict" (409), "lapsed" (410), "rejected" (400) or "unavailable"
// (503). An entry, there and in current and entries, is
// {Name, Value, Version, Revision}. Only these refusals prove that nothing was done. Any other answer to a write,
// and none at all, leaves its outcome unknown.
//
// The faults of a served Memory are read by GET /admin/faults and replaced by
// POST /admin/faults with a form (see ParseFaults); POST /admin/lapse ends
// every lease, and POST /admin/settle lands the writes that are under way.
package mtstore

import (
	"expvar"
	"fmt"
	"time"

	"magnoliaturn/core/mtstore"
)

// The calls of a store, as counted and as named in errors.
const (
	opGet   = "get"
	opSwap  = "swap"
	opWatch = "watch"
	opGrant = "grant"
	opRenew = "renew"
)

// MaxName is the longest name that the store takes, in bytes.
const MaxName = 512

// MaxWait is the longest that one watch may wait.
const MaxWait = 5 * time.Minute

// SettingError says that a setting, or a field of a form, is outside its
// accepted range. Nothing was changed.
type SettingError struct {
	Field  string
	Value  string
	Accept string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("store: %s is %q, accepted: %s", e.Field, e.Value, e.Accept)
}

// counts are the calls of one store, by kind, with the watches that wait now.
type counts struct {
	vars    *expvar.Map
	waiting *expvar.Int
}

func newCounts() counts {
	c := counts{vars: new(expvar.Map).Init(), waiting: new(expvar.Int)}
	c.vars.Set("watching", c.waiting)
	return c
}

// call counts one call of the kind op.
func (c counts) call(op string) { c.vars.Add(op, 1) }

// fail counts a call by the way in which it failed.
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

// checkName refuses names that the store can't keep.
func checkName(op, name string) error {
	if name == "" || len(name) > MaxName {
		return &mtstore.RejectedError{Op: op, Reason: fmt.Sprintf("name has %d bytes, accepted: 1 to %d", len(name), MaxName)}
	}
	return nil
}

// checkValue refuses values over the store's limit.
func checkValue(op string, value []byte) error {
	if len(value) > mtstore.MaxValue {
		return &mtstore.RejectedError{Op: op, Reason: fmt.Sprintf("value has %d bytes, accepted: 0 to %d", len(value), mtstore.MaxValue)}
	}
	return nil
}

// checkWait refuses waits that no watch may have.
func checkWait(wait time.Duration) error {
	if wait < 0 || wait > MaxWait {
		return &mtstore.RejectedError{Op: opWatch, Reason: fmt.Sprintf("wait is %s, accepted: 0s to %s", wait, MaxWait)}
	}
	return nil
}

// checkTTL refuses times to live that no lease may have.
func checkTTL(ttl time.Duration) error {
	if ttl <= 0 {
		return &mtstore.RejectedError{Op: opGrant, Reason: fmt.Sprintf("ttl is %s, accepted: more than 0s", ttl)}
	}
	return nil
}
