package mtstore

import (
	"net/http"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// paths of the protocol.
const (
	pathGet    = "/v1/get"
	pathSwap   = "/v1/swap"
	pathWatch  = "/v1/watch"
	pathGrant  = "/v1/grant"
	pathRenew  = "/v1/renew"
	pathFaults = "/admin/faults"
	pathLapse  = "/admin/lapse"
	pathSettle = "/admin/settle"
)

// maxBody bounds the bodies of the protocol: a value in base64 and its names.
const maxBody = 4 * mtstore.MaxValue

type getAsk struct {
	Name string `json:"name"`
}

type swapAsk struct {
	Name     string          `json:"name"`
	Expected mtid.Version    `json:"expected"`
	Value    []byte          `json:"value"`
	Lease    mtstore.LeaseID `json:"lease,omitempty"`
}

type swapAnswer struct {
	Version mtid.Version `json:"version"`
}

type watchAsk struct {
	Prefix string        `json:"prefix"`
	After  mtid.Revision `json:"after"`
	Wait   time.Duration `json:"wait"`
}

type grantAsk struct {
	TTL time.Duration `json:"ttl"`
}

type leaseBody struct {
	Lease mtstore.LeaseID `json:"lease"`
}

// kind is the way in which the store refuses a call.
type kind string

const (
	kindMissing     kind = "missing"
	kindConflict    kind = "conflict"
	kindLapsed      kind = "lapsed"
	kindRejected    kind = "rejected"
	kindUnavailable kind = "unavailable"
)

// refusal is the body of an answer that proves that nothing was done.
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
	case kindLapsed:
		return http.StatusGone
	case kindRejected:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}
