package mtadmin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtrollout"
)

// ProblemType is the media type of error responses, as in RFC 9457.
const ProblemType = "application/problem+json"

// Reason is the kind of a problem, the last part of its type URN.
type Reason string

// The reasons.
const (
	ReasonFaults         Reason = "faults"       // the bundle's text is invalid
	ReasonBusiness       Reason = "business"     // the text is another business's bundle
	ReasonConflict       Reason = "conflict"     // not the next version after the one in force
	ReasonUnsigned       Reason = "unsigned"     // signatures are missing
	ReasonSignature      Reason = "signature"    // a signature is not valid
	ReasonMissing        Reason = "missing"      // the named object does not exist
	ReasonFull           Reason = "full"         // too many open proposals
	ReasonRace           Reason = "race"         // each attempt lost to a concurrent write
	ReasonOutcomeUnknown Reason = "doubt"        // it may have taken effect; repeat it
	ReasonStore          Reason = "store"        // the store is unavailable; nothing changed
	ReasonUnreachable    Reason = "unreachable"  // the requested daemon does not respond
	ReasonIdentity       Reason = "identity"     // no valid token
	ReasonRole           Reason = "role"         // the operator lacks the required role
	ReasonParameter      Reason = "parameter"    // a parameter is invalid
	ReasonLimited        Reason = "limited"      // too many requests
	ReasonTooLarge       Reason = "too-large"    // the request body exceeds MaxBody
	ReasonPrecondition   Reason = "precondition" // If-Match names another version than required
	ReasonInternal       Reason = "internal"
)

const typePrefix = "urn:magnoliaturn:problem:"

// Winner is the bundle in force that a proposal or an acceptance conflicts with.
type Winner struct {
	Version  mtid.Version `json:"version"`
	Digest   string       `json:"digest"`
	Proposer string       `json:"proposer"`
	Accepter string       `json:"accepter"`
}

// Problem is the body of an error response.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// The fields below are set for some types only.
	Faults mtbundle.Faults `json:"faults,omitempty"`
	Winner *Winner         `json:"winner,omitempty"`
	Signed []string        `json:"signed,omitempty"`
	Needed int             `json:"needed,omitempty"`
	Field  string          `json:"field,omitempty"`
	Accept string          `json:"accept,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Title, p.Detail) }

// Reason returns the kind of the problem, from its type.
func (p *Problem) Reason() Reason {
	if len(p.Type) <= len(typePrefix) {
		return ReasonInternal
	}
	return Reason(p.Type[len(typePrefix):])
}

func problem(status int, reason Reason, title, detail string) *Problem {
	return &Problem{Type: typePrefix + string(reason), Title: title, Status: status, Detail: detail}
}

// ParameterError reports an invalid parameter of a request.
type ParameterError struct {
	Field  string
	Value  string
	Accept string
}

// Error implements error.
func (e *ParameterError) Error() string {
	return fmt.Sprintf("%s is %q, accepted: %s", e.Field, e.Value, e.Accept)
}

// MissingError reports that an object named by a request does not exist.
type MissingError struct{ What string }

// Error implements error.
func (e *MissingError) Error() string { return e.What + " does not exist" }

// UnreachableError reports that another daemon could not be reached or returned an
// error.
type UnreachableError struct {
	Daemon mtid.Daemon
	Err    error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("daemon %s does not answer: %v", e.Daemon, e.Err)
}

// Unwrap returns the error of the call.
func (e *UnreachableError) Unwrap() error { return e.Err }

// problemOf converts an error to the problem that is sent to the client.
func problemOf(err error) *Problem {
	for _, convert := range []func(error) *Problem{bundleProblem, storeProblem, requestProblem} {
		if p := convert(err); p != nil {
			return p
		}
	}
	return problem(http.StatusInternalServerError, ReasonInternal, "The daemon failed", err.Error())
}

func bundleProblem(err error) *Problem {
	var (
		faults    mtbundle.Faults
		conflict  *mtbundle.ConflictError
		unsigned  *mtbundle.UnsignedError
		signature *mtbundle.SignatureError
		missing   *mtbundle.DraftNotFoundError
		full      *mtbundle.TooManyDraftsError
		business  *mtbundle.BusinessMismatchError
	)
	switch {
	case errors.As(err, &faults):
		p := problem(http.StatusUnprocessableEntity, ReasonFaults, "The bundle has mistakes", fmt.Sprintf("%d mistakes", len(faults)))
		p.Faults = faults
		return p
	case errors.As(err, &conflict):
		p := problem(http.StatusConflict, ReasonConflict, "Another bundle took the version", conflict.Error())
		p.Winner = &Winner{Version: conflict.InForce, Digest: conflict.Digest.String(), Proposer: conflict.Proposer, Accepter: conflict.Accepter}
		return p
	case errors.As(err, &unsigned):
		p := problem(http.StatusConflict, ReasonUnsigned, "Signatures are lacking", unsigned.Error())
		p.Signed, p.Needed = unsigned.Signed, unsigned.Needed
		return p
	case errors.As(err, &signature):
		return problem(http.StatusUnprocessableEntity, ReasonSignature, "The signature does not count", signature.Error())
	case errors.As(err, &missing):
		return problem(http.StatusNotFound, ReasonMissing, "There is no such proposal", missing.Error())
	case errors.As(err, &full):
		return problem(http.StatusConflict, ReasonFull, "Too many open proposals", full.Error())
	case errors.As(err, &business):
		return problem(http.StatusUnprocessableEntity, ReasonBusiness, "The text is of another business", business.Error())
	}
	return nil
}

func storeProblem(err error) *Problem {
	var (
		unknown     *mtrollout.OutcomeUnknownError
		race        *mtrollout.RaceError
		notRetained *mtrollout.NotRetainedError
		unavailable *mtstore.UnavailableError
	)
	switch {
	case errors.As(err, &unknown):
		return problem(http.StatusGatewayTimeout, ReasonOutcomeUnknown, "The outcome is not known", unknown.Error())
	case errors.As(err, &race):
		return problem(http.StatusServiceUnavailable, ReasonRace, "Other operators were faster", race.Error())
	case errors.As(err, &notRetained):
		return problem(http.StatusNotFound, ReasonMissing, "The version is not kept", notRetained.Error())
	case errors.As(err, &unavailable):
		return problem(http.StatusServiceUnavailable, ReasonStore, "The platform's store is not available", unavailable.Error())
	}
	return nil
}

func requestProblem(err error) *Problem {
	var (
		asProblem   *Problem
		parameter   *ParameterError
		missing     *MissingError
		unreachable *UnreachableError
		httpError   *echo.HTTPError
	)
	switch {
	case errors.As(err, &asProblem):
		return asProblem
	case errors.As(err, &parameter):
		p := problem(http.StatusBadRequest, ReasonParameter, "A parameter is outside its range", parameter.Error())
		p.Field, p.Accept = parameter.Field, parameter.Accept
		return p
	case errors.As(err, &missing):
		return problem(http.StatusNotFound, ReasonMissing, "Not found", missing.Error())
	case errors.As(err, &unreachable):
		return problem(http.StatusBadGateway, ReasonUnreachable, "The daemon does not answer", unreachable.Error())
	case errors.As(err, &httpError):
		return problem(httpError.Code, httpReason(httpError.Code), http.StatusText(httpError.Code), fmt.Sprint(httpError.Message))
	}
	return nil
}

func httpReason(status int) Reason {
	switch status {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return ReasonMissing
	case http.StatusRequestEntityTooLarge:
		return ReasonTooLarge
	case http.StatusTooManyRequests:
		return ReasonLimited
	}
	return ReasonInternal
}

// retryAfterSeconds is the Retry-After of temporary problems.
const retryAfterSeconds = 1

// handleError is echo's error handler. It sends every error as a problem.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := problemOf(err)
	body, err := json.Marshal(p)
	if err != nil {
		p.Status, body = http.StatusInternalServerError, []byte("{}")
	}
	header := c.Response().Header()
	switch p.Status {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		header.Set(echo.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
	case http.StatusUnauthorized:
		header.Set(echo.HeaderWWWAuthenticate, `Basic realm="magnoliaturn"`)
	}
	_ = c.Blob(p.Status, ProblemType, body) // fails if the client has disconnected
}
