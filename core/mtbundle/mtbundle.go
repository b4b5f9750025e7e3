// Package mtbundle defines the configuration bundle of a business: its services,
// their kinds, classes, limits, weights and signers.
//
// A Bundle is immutable once accepted. Every change, a rollback included, is a
// new bundle with a higher version. The text form is INI. This package also
// parses and validates the text, and implements the lifecycle of a bundle from
// its proposal until it is in force.
//
// # Usage
//
//	service, ok := bundle.Service("dispatch")
//	class, ok := service.Class("send")
//
// Bundles are shared between goroutines and must not be modified.
package mtbundle

import (
	"time"

	"magnoliaturn/core/mtid"
)

// Kind is how a service distributes its requests among servers.
type Kind string

// The kinds of service.
const (
	Keyed  Kind = "keyed"  // each key is owned by one server
	Spread Kind = "spread" // any server may handle any request
)

// Bundle is the configuration of one business.
type Bundle struct {
	Business mtid.Business
	Version  mtid.Version // starts at 1 and increases by one with each bundle
	Proposer string
	Signers  []Signer
	Needed   int // signatures required, by signers other than the proposer
	Services []Service
}

// Signer is a person who may approve a bundle by signing it.
type Signer struct {
	Name string
	Key  []byte // Ed25519 public key
}

// Service is one service of a business.
type Service struct {
	Name    mtid.Service
	Kind    Kind
	Weights Weights
	Shards  int // initial number of shards of a keyed service
	Chunks  int // number of chunks that its assignment is stored in
	Classes []Class
}

// Weights are the relative costs that the business assigns to load imbalance,
// to moves of keys and to unavailability. They need not add up to one.
type Weights struct {
	Imbalance      float64
	Churn          float64
	Unavailability float64
}

// Class is one kind of request.
type Class struct {
	Name       mtid.Class
	Idempotent bool
	Timeout    time.Duration // default and maximum of a request's deadline
	Priority   int           // requests of the lowest priority are shed first
	Queue      int           // maximum number of requests queued at one gate
	Share      float64       // weight in fair queuing between classes
	Rate       float64       // requests per second of the class at one gate; 0 means no limit
	Retries    float64       // retries added to the retry budget per request, 0 to 1
}

// Service returns the service with that name. It is called for each request.
func (b *Bundle) Service(name mtid.Service) (*Service, bool) {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i], true
		}
	}
	return nil, false
}

// Class returns the class with that name. It is called for each request.
func (s *Service) Class(name mtid.Class) (*Class, bool) {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i], true
		}
	}
	return nil, false
}
