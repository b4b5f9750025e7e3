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

// ProblemType is the media type of a refusal, after RFC 9457.
const ProblemType = "application/problem+json"

// Reason tells kinds of problems apart; it is the last part of their type.
type Reason string

// The reasons.
const (
	ReasonFaults      Reason = "faults"       // the bundle's text has mistakes
	ReasonBusiness    Reason = "business"     // the text is of another business
	ReasonConflict    Reason = "conflict"     // another bundle took the version
	ReasonUnsigned    Reason = "unsigned"     // signatures are lacking
	ReasonSignature   Reason = "signature"    // a signature does not count
	ReasonMissing     Reason = "missing"      // there is no such thing
	ReasonFull        Reason = "full"         // too many open proposals
	ReasonRace        Reason = "race"         // other writers were faster each time
	ReasonDoubt       Reason = "doubt"        // may have taken effect; repeat the request
	ReasonStore       Reason = "store"        // the platform's store is not available; nothing was done
	ReasonUnreachable Reason = "unreachable"  // the daemon that was asked for does not answer
	ReasonIdentity    Reason = "identity"     // no valid token
	ReasonRole        Reason = "role"         // the operator may not do that
	ReasonParameter   Reason = "parameter"    // a parameter is outside its range
	ReasonLimited     Reason = "limited"      // too many requests
	ReasonTooLarge    Reason = "too-large"    // the body is too large
	ReasonMoved       Reason = "precondition" // If-Match names another version
	ReasonInternal    Reason = "internal"
)

const typePrefix = "urn:magnoliaturn:problem:"

// Winner is the bundle that took a version that another operator wanted.
type Winner struct {
	Version  mtid.Version `json:"version"`
	Digest   string       `json:"digest"`
	Proposer string       `json:"proposer"`
	Accepter string       `json:"accepter"`
}

// Problem is a refusal as clients get it.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// The members below come with some types only.
	Faults mtbundle.Faults `json:"faults,omitempty"`
	Winner *Winner         `json:"winner,omitempty"`
	Signed []string        `json:"signed,omitempty"`
	Needed int             `json:"needed,omitempty"`
	Field  string          `json:"field,omitempty"`
	Accept string          `json:"accept,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Title, p.Detail) }

// Reason returns which kind of problem p is.
func (p *Problem) Reason() Reason {
	if len(p.Type) <= len(typePrefix) {
		return ReasonInternal
	}
	return Reason(p.Type[len(typePrefix):])
}

func problem(status int, reason Reason, title, detail string) *Problem {
	return &Problem{Type: typePrefix + string(reason), Title: title, Status: status, Detail: detail}
}

// ParameterError says that a parameter of a request is outside its range.
type ParameterError struct {
	Field  string
	Value  string
	Accept string
}

// Error implements error.
func (e *ParameterError) Error() string {
	return fmt.Sprintf("%s is %q, accepted: %s", e.Field, e.Value, e.Accept)
}

// MissingError says that something that a request names is not there.
type MissingError struct{ What string }

// Error implements error.
func (e *MissingError) Error() string { return e.What + " does not exist" }

// UnreachableError says that another daemon gave no answer.
type UnreachableError struct {
	Daemon mtid.Daemon
	Err    error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("daemon %s does not answer: %v", e.Daemon, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// explain returns the problem that an error means to a client.
func explain(err error) *Problem {
	for _, try := range []func(error) *Problem{explainBundle, explainStore, explainRequest} {
		if p := try(err); p != nil {
			return p
		}
	}
	return problem(http.StatusInternalServerError, ReasonInternal, "The daemon failed", err.Error())
}

func explainBundle(err error) *Problem {
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

func explainStore(err error) *Problem {
	var (
		doubt       *mtrollout.OutcomeUnknownError
		race        *mtrollout.RaceError
		page        *mtrollout.NotRetainedError
		unavailable *mtstore.UnavailableError
	)
	switch {
	case errors.As(err, &doubt):
		return problem(http.StatusGatewayTimeout, ReasonDoubt, "The outcome is not known", doubt.Error())
	case errors.As(err, &race):
		return problem(http.StatusServiceUnavailable, ReasonRace, "Other operators were faster", race.Error())
	case errors.As(err, &page):
		return problem(http.StatusNotFound, ReasonMissing, "The version is not kept", page.Error())
	case errors.As(err, &unavailable):
		return problem(http.StatusServiceUnavailable, ReasonStore, "The platform's store is not available", unavailable.Error())
	}
	return nil
}

func explainRequest(err error) *Problem {
	var (
		own         *Problem
		parameter   *ParameterError
		missing     *MissingError
		unreachable *UnreachableError
		http4       *echo.HTTPError
	)
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &parameter):
		p := problem(http.StatusBadRequest, ReasonParameter, "A parameter is outside its range", parameter.Error())
		p.Field, p.Accept = parameter.Field, parameter.Accept
		return p
	case errors.As(err, &missing):
		return problem(http.StatusNotFound, ReasonMissing, "Not found", missing.Error())
	case errors.As(err, &unreachable):
		return problem(http.StatusBadGateway, ReasonUnreachable, "The daemon does not answer", unreachable.Error())
	case errors.As(err, &http4):
		return problem(http4.Code, httpReason(http4.Code), http.StatusText(http4.Code), fmt.Sprint(http4.Message))
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

// retryAfter is when a client should ask again after a passing problem.
const retryAfterSeconds = 1

// refuse is echo's error handler: every failure leaves as a problem.
func refuse(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := explain(err)
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
	_ = c.Blob(p.Status, ProblemType, body) // the asker may have gone
}
