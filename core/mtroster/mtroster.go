// Package mtroster keeps the records of the daemons: who lives where, under
// which incarnation, with which witnesses and which backend servers.
//
// A record is written by compare-and-swap: by its own daemon to register, to
// change witnesses, offers or state, and by a taker to revoke it. The store's
// order decides; a daemon whose write fails reads again.
//
// # Usage
//
//	record, err := mtroster.Decode(entry.Value)
//	value, err := record.Encode(stamp)
//
// Records are values; a decoded one shares no memory with its input.
package mtroster

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// State is what a daemon says of itself.
type State uint32

// The states of a daemon.
const (
	Serving State = iota // owns shards and may be given more
	Leaving              // owns shards, takes no new ones, hands all over
	Gone                 // left in order; owns nothing
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	}
	return fmt.Sprintf("state %d", uint32(s))
}

// Stamp names one write: who made it, and which of its writes it was.
type Stamp struct {
	Writer   mtid.Holder
	Sequence uint64
}

// Offer is a backend server on the daemon's VM.
type Offer struct {
	Service     mtid.Ref
	Slots       int
	Connections int
	Epochs      bool // the server checks epochs
	Deadlines   bool // the server checks start-by times and deadlines
}

// Record is a daemon's entry in the roster.
type Record struct {
	Stamp  Stamp
	Holder mtid.Holder
	Zone   mtid.Zone
	Region mtid.Region
	Relay  string // address for gRPC, host:port
	Renew  string // address for datagrams, host:port
	Caller string // address for callers, host:port
	Admin  string // address for operators, host:port
	State  State
	// Witnesses are the lives whose majority can grant or revoke the lease.
	Witnesses []mtid.Holder
	Offers    []Offer
	// Revoked is the lowest incarnation of this daemon that may still serve;
	// all below it are fenced for good. A record with Holder.Incarnation
	// below Revoked belongs to a lost life.
	Revoked mtid.Incarnation
}

// Live reports whether the record's own incarnation may hold a lease.
func (r *Record) Live() bool {
	return r.State != Gone && r.Holder.Incarnation >= r.Revoked
}

// Offer returns the backend server of that service, if the daemon has one.
func (r *Record) Offer(ref mtid.Ref) (Offer, bool) {
	i := slices.IndexFunc(r.Offers, func(o Offer) bool { return o.Service == ref })
	if i < 0 {
		return Offer{}, false
	}
	return r.Offers[i], true
}

// DecodeError says that a stored record can't be read.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return "roster: record can't be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the stored form of r.
func (r *Record) Encode() ([]byte, error) {
	w := &mtwire.Record{
		Stamp:   r.Stamp.Wire(),
		Holder:  WireHolder(r.Holder),
		Zone:    string(r.Zone),
		Region:  string(r.Region),
		Relay:   r.Relay,
		Renew:   r.Renew,
		Caller:  r.Caller,
		Admin:   r.Admin,
		State:   uint32(r.State),
		Revoked: uint64(r.Revoked),
	}
	for _, h := range r.Witnesses {
		w.Witnesses = append(w.Witnesses, WireHolder(h))
	}
	for _, o := range r.Offers {
		w.Offers = append(w.Offers, wireOffer(o))
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(w)
}

// Decode reads a stored record. It fails with a *DecodeError.
func Decode(value []byte) (*Record, error) {
	w := &mtwire.Record{}
	if err := proto.Unmarshal(value, w); err != nil {
		return nil, &DecodeError{Err: err}
	}
	r := &Record{
		Stamp:   ReadStamp(w.GetStamp()),
		Holder:  ReadHolder(w.GetHolder()),
		Zone:    mtid.Zone(w.GetZone()),
		Region:  mtid.Region(w.GetRegion()),
		Relay:   w.GetRelay(),
		Renew:   w.GetRenew(),
		Caller:  w.GetCaller(),
		Admin:   w.GetAdmin(),
		State:   State(w.GetState()),
		Revoked: mtid.Incarnation(w.GetRevoked()),
	}
	for _, h := range w.GetWitnesses() {
		r.Witnesses = append(r.Witnesses, ReadHolder(h))
	}
	for _, o := range w.GetOffers() {
		r.Offers = append(r.Offers, readOffer(o))
	}
	return r, nil
}

// Wire returns the stored form of s.
func (s Stamp) Wire() *mtwire.Stamp {
	return &mtwire.Stamp{Writer: WireHolder(s.Writer), Sequence: s.Sequence}
}

// ReadStamp returns the stamp that w stands for; nil gives the zero stamp.
func ReadStamp(w *mtwire.Stamp) Stamp {
	return Stamp{Writer: ReadHolder(w.GetWriter()), Sequence: w.GetSequence()}
}

// WireHolder returns the stored form of h.
func WireHolder(h mtid.Holder) *mtwire.Holder {
	return &mtwire.Holder{Daemon: string(h.Daemon), Incarnation: uint64(h.Incarnation)}
}

// ReadHolder returns the holder that w stands for; nil gives the zero holder.
func ReadHolder(w *mtwire.Holder) mtid.Holder {
	return mtid.Holder{Daemon: mtid.Daemon(w.GetDaemon()), Incarnation: mtid.Incarnation(w.GetIncarnation())}
}

func wireOffer(o Offer) *mtwire.Offer {
	return &mtwire.Offer{
		Business:    string(o.Service.Business),
		Service:     string(o.Service.Service),
		Slots:       uint32(o.Slots),
		Connections: uint32(o.Connections),
		Epochs:      o.Epochs,
		Deadlines:   o.Deadlines,
	}
}

func readOffer(w *mtwire.Offer) Offer {
	return Offer{
		Service:     mtid.Ref{Business: mtid.Business(w.GetBusiness()), Service: mtid.Service(w.GetService())},
		Slots:       int(w.GetSlots()),
		Connections: int(w.GetConnections()),
		Epochs:      w.GetEpochs(),
		Deadlines:   w.GetDeadlines(),
	}
}
