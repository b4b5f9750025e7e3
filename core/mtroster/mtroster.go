// Package mtroster defines the records of the daemons: the addresses, the
// incarnation, the witnesses and the backend servers of each.
//
// Records are written by compare-and-swap: by their own daemon, to register or to
// change its witnesses, offers or state, and by a claimant that takes over the
// daemon's keys, to revoke its incarnation. The store decides the order of the
// writes. A daemon whose write fails reads the record again.
//
// # Usage
//
//	record, err := mtroster.Decode(entry.Value)
//	value, err := record.Encode()
//
// Records are plain values. A decoded record shares no memory with its input.
package mtroster

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// State is the state that a daemon publishes in its record.
type State uint32

// The states of a daemon.
const (
	Serving State = iota // owns shards and may be assigned more
	Leaving              // hands over its shards and accepts no new ones
	Gone                 // shut down after handing over all its shards
)

// String returns the name of the state in lower case, or its number if this
// release does not know the state.
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

// WriteID identifies one write by its writer and a sequence number. A writer whose
// response was lost uses it to recognize its own write in the store.
type WriteID struct {
	Writer   mtid.Holder
	Sequence uint64 // unique among the writes of the daemon
}

// Offer describes a backend server on the daemon's VM.
type Offer struct {
	Service     mtid.Ref
	Slots       int
	Connections int
	Epochs      bool // the server checks epochs
	Deadlines   bool // the server checks start-by times and deadlines
}

// Record is a daemon's entry in the roster.
type Record struct {
	WriteID       WriteID
	Holder        mtid.Holder
	Zone          mtid.Zone
	Region        mtid.Region
	RelayAddress  string // gRPC address for other daemons, host:port
	RenewAddress  string // address for lease datagrams, host:port
	CallerAddress string // address for callers, host:port
	AdminAddress  string // address for operators, host:port
	State         State
	// Witnesses are the daemon incarnations of which a majority can grant or
	// revoke the lease of Holder.
	Witnesses []mtid.Holder
	Offers    []Offer
	// RevokedBelow is the lowest incarnation of this daemon that may still serve.
	// All incarnations below it are fenced permanently. If Holder.Incarnation
	// is below RevokedBelow, Holder itself has been revoked.
	RevokedBelow mtid.Incarnation
}

// MayHoldLease reports whether the incarnation named in the record may hold a
// lease: it has neither left nor been revoked.
func (r *Record) MayHoldLease() bool {
	return r.State != Gone && r.Holder.Incarnation >= r.RevokedBelow
}

// Offer returns the daemon's backend server for a service, if it has one.
func (r *Record) Offer(ref mtid.Ref) (Offer, bool) {
	i := slices.IndexFunc(r.Offers, func(o Offer) bool { return o.Service == ref })
	if i < 0 {
		return Offer{}, false
	}
	return r.Offers[i], true
}

// DecodeError reports that a stored record could not be decoded.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return "roster: cannot decode record: " + e.Err.Error() }

// Unwrap returns the error that the protobuf decoder reported.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the protobuf encoding of r. It is deterministic.
func (r *Record) Encode() ([]byte, error) {
	w := &mtwire.Record{
		Stamp:   r.WriteID.Wire(),
		Holder:  HolderToWire(r.Holder),
		Zone:    string(r.Zone),
		Region:  string(r.Region),
		Relay:   r.RelayAddress,
		Renew:   r.RenewAddress,
		Caller:  r.CallerAddress,
		Admin:   r.AdminAddress,
		State:   uint32(r.State),
		Revoked: uint64(r.RevokedBelow),
	}
	for _, h := range r.Witnesses {
		w.Witnesses = append(w.Witnesses, HolderToWire(h))
	}
	for _, o := range r.Offers {
		w.Offers = append(w.Offers, offerToWire(o))
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(w)
}

// Decode decodes a stored record. It fails with a *DecodeError.
func Decode(value []byte) (*Record, error) {
	w := &mtwire.Record{}
	if err := proto.Unmarshal(value, w); err != nil {
		return nil, &DecodeError{Err: err}
	}
	r := &Record{
		WriteID:       WriteIDFromWire(w.GetStamp()),
		Holder:        HolderFromWire(w.GetHolder()),
		Zone:          mtid.Zone(w.GetZone()),
		Region:        mtid.Region(w.GetRegion()),
		RelayAddress:  w.GetRelay(),
		RenewAddress:  w.GetRenew(),
		CallerAddress: w.GetCaller(),
		AdminAddress:  w.GetAdmin(),
		State:         State(w.GetState()),
		RevokedBelow:  mtid.Incarnation(w.GetRevoked()),
	}
	for _, h := range w.GetWitnesses() {
		r.Witnesses = append(r.Witnesses, HolderFromWire(h))
	}
	for _, o := range w.GetOffers() {
		r.Offers = append(r.Offers, offerFromWire(o))
	}
	return r, nil
}

// Wire converts id to its protobuf message.
func (id WriteID) Wire() *mtwire.Stamp {
	return &mtwire.Stamp{Writer: HolderToWire(id.Writer), Sequence: id.Sequence}
}

// WriteIDFromWire converts a protobuf message to a WriteID; nil gives the zero WriteID.
func WriteIDFromWire(w *mtwire.Stamp) WriteID {
	return WriteID{Writer: HolderFromWire(w.GetWriter()), Sequence: w.GetSequence()}
}

// HolderToWire converts h to its protobuf message.
func HolderToWire(h mtid.Holder) *mtwire.Holder {
	return &mtwire.Holder{Daemon: string(h.Daemon), Incarnation: uint64(h.Incarnation)}
}

// HolderFromWire converts a protobuf message to a Holder; nil gives the zero Holder.
func HolderFromWire(w *mtwire.Holder) mtid.Holder {
	return mtid.Holder{Daemon: mtid.Daemon(w.GetDaemon()), Incarnation: mtid.Incarnation(w.GetIncarnation())}
}

func offerToWire(o Offer) *mtwire.Offer {
	return &mtwire.Offer{
		Business:    string(o.Service.Business),
		Service:     string(o.Service.Service),
		Slots:       uint32(o.Slots),
		Connections: uint32(o.Connections),
		Epochs:      o.Epochs,
		Deadlines:   o.Deadlines,
	}
}

func offerFromWire(w *mtwire.Offer) Offer {
	return Offer{
		Service:     mtid.Ref{Business: mtid.Business(w.GetBusiness()), Service: mtid.Service(w.GetService())},
		Slots:       int(w.GetSlots()),
		Connections: int(w.GetConnections()),
		Epochs:      w.GetEpochs(),
		Deadlines:   w.GetDeadlines(),
	}
}
