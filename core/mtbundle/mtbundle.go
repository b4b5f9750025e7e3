// Package mtbundle holds what a business declares: its services, their kinds,
// classes, limits, weights and signers.
//
// A Bundle is immutable once accepted: a change is a new bundle with a higher
// version, a rollback too. The text form is INI; parsing and checking it, and
// the life of a bundle from proposal to force, are in this package as well.
//
// # Usage
//
//	service, ok := bundle.Service("dispatch")
//	class, ok := service.Class("send")
//
// Bundles are values shared between goroutines and must not be changed.
package mtbundle

import (
	"time"

	"magnoliaturn/core/mtid"
)

// Kind says how a service spreads its work.
type Kind string

// The kinds of service.
const (
	Keyed  Kind = "keyed"  // one owning server per key
	Spread Kind = "spread" // any server may answer
)

// Bundle is the configuration of one business.
type Bundle struct {
	Business mtid.Business
	Version  mtid.Version // of this bundle, from 1, growing by one
	Proposer string
	Signers  []Signer
	Needed   int // signatures needed, of signers other than the proposer
	Services []Service
}

// Signer is a person who may sign off a bundle.
type Signer struct {
	Name string
	Key  []byte // Ed25519 public key
}

// Service is one service of a business.
type Service struct {
	Name    mtid.Service
	Kind    Kind
	Weights Weights
	Shards  int // shards that a keyed service begins with
	Chunks  int // chunks that its assignment is stored in
	Classes []Class
}

// Weights say what matters to the business; they need not add up to one.
type Weights struct {
	Imbalance      float64
	Churn          float64
	Unavailability float64
}

// Class is one kind of request.
type Class struct {
	Name       mtid.Class
	Idempotent bool
	Timeout    time.Duration // default and upper bound of a request's deadline
	Priority   int           // the lowest is sacrificed first
	Queue      int           // requests that may wait at one gate
	Share      float64       // weight in fair queuing between classes
	Rate       float64       // requests a second for the class at one gate; 0 is no limit
	Retries    float64       // retries per request that the budget earns, 0 to 1
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
