package mtstore

import (
	"net/http"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// Paths of the protocol.
const (
	pathGet    = "/v1/get"
	pathSwap   = "/v1/swap"
	pathWatch  = "/v1/watch"
	pathGrant  = "/v1/grant"
	pathRenew  = "/v1/renew"
	pathFaults = "/admin/faults"
	pathExpire = "/admin/lapse"
	pathSettle = "/admin/settle"
)

// maxBody limits the bodies of the protocol: a base64-encoded value and its names.
const maxBody = 4 * mtstore.MaxValue

type getRequest struct {
	Name string `json:"name"`
}

type swapRequest struct {
	Name     string          `json:"name"`
	Expected mtid.Version    `json:"expected"`
	Value    []byte          `json:"value"`
	Lease    mtstore.LeaseID `json:"lease,omitempty"`
}

type swapResponse struct {
	Version mtid.Version `json:"version"`
}

type watchRequest struct {
	Prefix string        `json:"prefix"`
	After  mtid.Revision `json:"after"`
	Wait   time.Duration `json:"wait"`
}

type grantRequest struct {
	TTL time.Duration `json:"ttl"`
}

type leaseBody struct {
	Lease mtstore.LeaseID `json:"lease"`
}

// kind is the reason for which the store refuses a call.
type kind string

const (
	kindMissing     kind = "missing"
	kindConflict    kind = "conflict"
	kindExpired     kind = "lapsed"
	kindRejected    kind = "rejected"
	kindUnavailable kind = "unavailable"
)

// refusal is the body of a response that proves that the call had no effect.
type refusal struct {
	Kind    kind            `json:"kind"`
	Reason  string          `json:"reason,omitempty"`
	Current mtstore.Entry   `json:"current,omitzero"`
	Lease   mtstore.LeaseID `json:"lease,omitempty"`
}

// status returns the HTTP status of a refusal.
func (k kind) status() int {
	switch k {
	case kindMissing:
		return http.StatusNotFound
	case kindConflict:
		return http.StatusConflict
	case kindExpired:
		return http.StatusGone
	case kindRejected:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}
