package mtadmin

import (
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtmetric"
)

// Page is one page of a list. Next is the cursor of the following page, empty
// at the end; it goes into the parameter "after".
type Page[T any] struct {
	Items []T    `json:"items"`
	Next  string `json:"next,omitempty"`
	// Failed names the daemons of this page that gave no answer, where a list
	// is gathered from daemons.
	Failed []mtid.Daemon `json:"failed,omitempty"`
}

// BundleDocument is a bundle as the API shows it.
type BundleDocument struct {
	Business mtid.Business `json:"business"`
	Version  mtid.Version  `json:"version"`
	Digest   string        `json:"digest"`
	Proposer string        `json:"proposer"`
	Proposed time.Time     `json:"proposed"`
	Signed   []string      `json:"signed"`           // whose signatures are there
	Needed   int           `json:"needed,omitempty"` // of an open proposal
	Accepter string        `json:"accepter,omitempty"`
	Accepted *time.Time    `json:"accepted,omitempty"`
	Text     string        `json:"text,omitempty"` // left out of lists
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

// SignatureDocument hands in a signature.
type SignatureDocument struct {
	Signer string `json:"signer"`
	Value  []byte `json:"value"` // Ed25519 over the digest, base64
}

// ForceDocument says which version of a bundle one daemon goes by.
type ForceDocument struct {
	Daemon   mtid.Daemon   `json:"daemon"`
	Zone     mtid.Zone     `json:"zone"`
	Version  mtid.Version  `json:"version"`  // 0: none
	Frontier mtid.Revision `json:"frontier"` // of the live state
	Error    string        `json:"error,omitempty"`
}

// OfferDocument is a backend server in the roster.
type OfferDocument struct {
	Business    mtid.Business `json:"business"`
	Service     mtid.Service  `json:"service"`
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
	Epochs      bool          `json:"epochs"`
	Deadlines   bool          `json:"deadlines"`
}

// DaemonDocument is a daemon in the roster.
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

// ShardDocument is a shard of an assignment.
type ShardDocument struct {
	Chunk int         `json:"chunk"`
	Low   string      `json:"low"` // hex, first point of the range
	Owner mtid.Daemon `json:"owner"`
	// Incarnation is the life of the owner that the shard was given to.
	Incarnation mtid.Incarnation `json:"incarnation"`
	Epoch       mtid.Epoch       `json:"epoch"`
	Version     mtid.Version     `json:"version"` // of the chunk
}

// OwnerDocument says who owns a key.
type OwnerDocument struct {
	Business mtid.Business `json:"business"`
	Service  mtid.Service  `json:"service"`
	Key      mtid.Key      `json:"key"`
	Point    string        `json:"point"` // hex
	Shard    ShardDocument `json:"shard"`
	Live     bool          `json:"live"` // the owner's life may still serve
	Caller   string        `json:"caller,omitempty"`
}

// SuspectDocument is a request that is kept from running.
type SuspectDocument struct {
	Daemon      mtid.Daemon   `json:"daemon"`
	Business    mtid.Business `json:"business"`
	Service     mtid.Service  `json:"service"`
	Fingerprint string        `json:"fingerprint"` // hex
	Refused     int           `json:"refused"`     // times, by that daemon
	Until       time.Time     `json:"until"`
}

// StatusDocument is what a daemon says of itself.
type StatusDocument struct {
	Daemon      mtid.Daemon                      `json:"daemon"`
	Incarnation mtid.Incarnation                 `json:"incarnation"`
	Frontier    mtid.Revision                    `json:"frontier"`
	Bundles     map[mtid.Business]mtid.Version   `json:"bundles"`
	Services    map[string]mtmetric.ServiceStats `json:"services,omitempty"`
}

// DrainDocument says that a daemon has begun to leave.
type DrainDocument struct {
	Daemon mtid.Daemon `json:"daemon"`
	State  string      `json:"state"`
}
