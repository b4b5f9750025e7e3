package mtadmin

import (
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtmetric"
)

// Page is one page of a list. Next is the cursor of the next page, to be passed as
// the parameter "after"; it is empty on the last page.
type Page[T any] struct {
	Items []T    `json:"items"`
	Next  string `json:"next,omitempty"`
	// Failed names the daemons of this page that could not be queried, for lists
	// that are collected from several daemons.
	Failed []mtid.Daemon `json:"failed,omitempty"`
}

// BundleDocument is a version or a proposal of a bundle.
type BundleDocument struct {
	Business mtid.Business `json:"business"`
	Version  mtid.Version  `json:"version"`
	Digest   string        `json:"digest"`
	Proposer string        `json:"proposer"`
	Proposed time.Time     `json:"proposed"`
	Signed   []string      `json:"signed"`           // names of the signers
	Needed   int           `json:"needed,omitempty"` // signatures, for an open proposal
	Accepter string        `json:"accepter,omitempty"`
	Accepted *time.Time    `json:"accepted,omitempty"`
	Text     string        `json:"text,omitempty"` // omitted in lists
}

func describe(s *mtbundle.Stored, text bool) BundleDocument {
	d := BundleDocument{
		Business: s.Business,
		Version:  s.Version,
		Digest:   s.Digest().String(),
		Proposer: s.Proposer,
		Proposed: s.Proposed,
		Signed:   []string{},
		Accepter: s.Accepter,
	}
	for _, sig := range s.Signatures {
		d.Signed = append(d.Signed, sig.Signer)
	}
	if !s.Accepted.IsZero() {
		accepted := s.Accepted
		d.Accepted = &accepted
	}
	if text {
		d.Text = string(s.Text)
	}
	return d
}

// SignatureDocument is the body of a request that submits a signature.
type SignatureDocument struct {
	Signer string `json:"signer"`
	Value  []byte `json:"value"` // Ed25519 over the digest, base64
}

// InForceDocument is the version of a bundle that a daemon has in force.
type InForceDocument struct {
	Daemon   mtid.Daemon   `json:"daemon"`
	Zone     mtid.Zone     `json:"zone"`
	Version  mtid.Version  `json:"version"`  // 0: none
	Frontier mtid.Revision `json:"frontier"` // of the live state
	Error    string        `json:"error,omitempty"`
}

// OfferDocument describes the backend server of a daemon in the roster.
type OfferDocument struct {
	Business    mtid.Business `json:"business"`
	Service     mtid.Service  `json:"service"`
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
	Epochs      bool          `json:"epochs"`
	Deadlines   bool          `json:"deadlines"`
}

// DaemonDocument is a daemon's record in the roster.
type DaemonDocument struct {
	Daemon      mtid.Daemon      `json:"daemon"`
	Incarnation mtid.Incarnation `json:"incarnation"`
	Zone        mtid.Zone        `json:"zone"`
	Region      mtid.Region      `json:"region"`
	State       string           `json:"state"`
	Live        bool             `json:"live"`
	Caller      string           `json:"caller"`
	Relay       string           `json:"relay"`
	Renew       string           `json:"renew"`
	Admin       string           `json:"admin"`
	Witnesses   []string         `json:"witnesses"`
	Offers      []OfferDocument  `json:"offers"` // of businesses that the operator may view
}

// ShardDocument is a shard and its owner in an assignment.
type ShardDocument struct {
	Chunk int         `json:"chunk"`
	Low   string      `json:"low"` // hex, first point of the range
	Owner mtid.Daemon `json:"owner"`
	// Incarnation is the owner's incarnation that the shard was assigned to.
	Incarnation mtid.Incarnation `json:"incarnation"`
	Epoch       mtid.Epoch       `json:"epoch"`
	Version     mtid.Version     `json:"version"` // of the chunk
}

// OwnerDocument describes the owner of a key.
type OwnerDocument struct {
	Business mtid.Business `json:"business"`
	Service  mtid.Service  `json:"service"`
	Key      mtid.Key      `json:"key"`
	Point    string        `json:"point"` // hex
	Shard    ShardDocument `json:"shard"`
	Live     bool          `json:"live"` // the owner's incarnation may still serve
	Caller   string        `json:"caller,omitempty"`
}

// SuspectDocument is a quarantined request.
type SuspectDocument struct {
	Daemon      mtid.Daemon   `json:"daemon"`
	Business    mtid.Business `json:"business"`
	Service     mtid.Service  `json:"service"`
	Fingerprint string        `json:"fingerprint"` // hex
	Refused     int           `json:"refused"`     // times, by that daemon
	Until       time.Time     `json:"until"`
}

// StatusDocument is the status that a daemon reports about itself.
type StatusDocument struct {
	Daemon      mtid.Daemon                      `json:"daemon"`
	Incarnation mtid.Incarnation                 `json:"incarnation"`
	Frontier    mtid.Revision                    `json:"frontier"`
	Bundles     map[mtid.Business]mtid.Version   `json:"bundles"`
	Services    map[string]mtmetric.ServiceStats `json:"services,omitempty"`
}

// DrainDocument is the state of a daemon after a drain was requested.
type DrainDocument struct {
	Daemon mtid.Daemon `json:"daemon"`
	State  string      `json:"state"`
}
