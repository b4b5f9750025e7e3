package mtshard

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
)

// DecodeError reports that a stored chunk is invalid.
type DecodeError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Err == nil {
		return "shard: invalid chunk: " + e.Reason
	}
	return fmt.Sprintf("shard: invalid chunk: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the error that the protobuf decoder reported, or nil.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the stored form of t: columns with a dictionary of owners, in
// which a shard takes about a dozen bytes.
func (t *Table) Encode() ([]byte, error) {
	w := &mtwire.Chunk{
		Business:  string(t.Service.Business),
		Service:   string(t.Service.Service),
		Chunk:     uint32(t.Chunk),
		Chunks:    uint32(t.Chunks),
		Version:   uint64(t.Version),
		NextEpoch: uint64(t.NextEpoch),
		Steps:     WireSteps(t.Steps),
	}
	indexes := make(map[mtid.Holder]uint32)
	for _, s := range t.Shards {
		index, ok := indexes[s.Owner]
		if !ok {
			index = uint32(len(w.Owners))
			indexes[s.Owner] = index
			w.Owners = append(w.Owners, mtroster.HolderToWire(s.Owner))
		}
		w.Lows = append(w.Lows, uint64(s.Low))
		w.Owner = append(w.Owner, index)
		w.Epochs = append(w.Epochs, uint64(s.Epoch))
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(w)
}

// MaxChunks is the largest number of chunks of an assignment.
const MaxChunks = 1024

// Decode decodes a stored chunk. Its errors are of type *DecodeError.
func Decode(value []byte) (*Table, error) {
	w := &mtwire.Chunk{}
	if err := proto.Unmarshal(value, w); err != nil {
		return nil, &DecodeError{Reason: "not a Chunk message", Err: err}
	}
	if len(w.GetLows()) != len(w.GetOwner()) || len(w.GetLows()) != len(w.GetEpochs()) {
		return nil, &DecodeError{Reason: "lows, owner and epochs differ in length"}
	}
	if w.GetChunk() >= w.GetChunks() {
		return nil, &DecodeError{Reason: "chunk number is not below the number of chunks"}
	}
	if w.GetChunks() > MaxChunks {
		return nil, &DecodeError{Reason: "more chunks than an assignment has"}
	}
	t := &Table{
		Service:   mtid.Ref{Business: mtid.Business(w.GetBusiness()), Service: mtid.Service(w.GetService())},
		Chunk:     int(w.GetChunk()),
		Chunks:    int(w.GetChunks()),
		Version:   mtid.Version(w.GetVersion()),
		NextEpoch: mtid.Epoch(w.GetNextEpoch()),
		Steps:     ReadSteps(w.GetSteps()),
	}
	owners := readHolders(w.GetOwners())
	for i, low := range w.GetLows() {
		index := w.GetOwner()[i]
		if int(index) >= len(owners) {
			return nil, &DecodeError{Reason: "owner index is beyond the list of owners"}
		}
		if i > 0 && low <= w.GetLows()[i-1] {
			return nil, &DecodeError{Reason: "lows of the shards do not increase"}
		}
		t.Shards = append(t.Shards, Shard{
			Low:   mtid.Point(low),
			Owner: owners[index],
			Epoch: mtid.Epoch(w.GetEpochs()[i]),
		})
	}
	return t, nil
}

// WireSteps returns the stored form of steps.
func WireSteps(steps []Step) []*mtwire.Step {
	var out []*mtwire.Step
	for _, s := range steps {
		w := &mtwire.Step{Version: uint64(s.Version), Stamp: s.WriteID.Wire()}
		for _, op := range s.Ops {
			w.Ops = append(w.Ops, wireOp(op))
		}
		out = append(out, w)
	}
	return out
}

// ReadSteps decodes steps. An op of an unknown kind is decoded as one that can be
// applied to no table, so that Replay fails and the whole chunk is read instead.
func ReadSteps(w []*mtwire.Step) []Step {
	var out []Step
	for _, s := range w {
		step := Step{Version: mtid.Version(s.GetVersion()), WriteID: mtroster.WriteIDFromWire(s.GetStamp())}
		for _, op := range s.GetOps() {
			step.Ops = append(step.Ops, readOp(op))
		}
		out = append(out, step)
	}
	return out
}

// unknown is an op of a kind that only a newer release supports.
type unknown struct{}

func (o unknown) apply(*Table) error {
	return &OpError{Op: o, Reason: "kind of op is not supported by this release"}
}

func wireOp(op Op) *mtwire.Op {
	switch o := op.(type) {
	case Create:
		return &mtwire.Op{Kind: &mtwire.Op_Create{Create: &mtwire.Create{Shards: uint32(o.Shards), Among: wireHolders(o.Holders)}}}
	case Split:
		return &mtwire.Op{Kind: &mtwire.Op_Split{Split: &mtwire.Split{Point: uint64(o.Point)}}}
	case Merge:
		return &mtwire.Op{Kind: &mtwire.Op_Merge{Merge: &mtwire.Merge{Low: uint64(o.Low)}}}
	case Move:
		return &mtwire.Op{Kind: &mtwire.Op_Move{Move: &mtwire.Move{Low: uint64(o.Low), To: mtroster.HolderToWire(o.To)}}}
	case Failover:
		return &mtwire.Op{Kind: &mtwire.Op_Failover{Failover: &mtwire.Failover{Lost: wireHolders(o.Lost), Among: wireHolders(o.Survivors)}}}
	case Evict:
		return &mtwire.Op{Kind: &mtwire.Op_Evict{Evict: &mtwire.Evict{Places: wireIndexes(o.OwnerIndexes)}}}
	}
	return &mtwire.Op{}
}

func wireIndexes(indexes []int) []uint32 {
	var out []uint32
	for _, p := range indexes {
		out = append(out, uint32(p))
	}
	return out
}

func readIndexes(indexes []uint32) []int {
	var out []int
	for _, p := range indexes {
		out = append(out, int(p))
	}
	return out
}

func readOp(w *mtwire.Op) Op {
	switch k := w.GetKind().(type) {
	case *mtwire.Op_Create:
		return Create{Shards: int(k.Create.GetShards()), Holders: readHolders(k.Create.GetAmong())}
	case *mtwire.Op_Split:
		return Split{Point: mtid.Point(k.Split.GetPoint())}
	case *mtwire.Op_Merge:
		return Merge{Low: mtid.Point(k.Merge.GetLow())}
	case *mtwire.Op_Move:
		return Move{Low: mtid.Point(k.Move.GetLow()), To: mtroster.HolderFromWire(k.Move.GetTo())}
	case *mtwire.Op_Failover:
		return Failover{Lost: readHolders(k.Failover.GetLost()), Survivors: readHolders(k.Failover.GetAmong())}
	case *mtwire.Op_Evict:
		return Evict{OwnerIndexes: readIndexes(k.Evict.GetPlaces())}
	}
	return unknown{}
}

func wireHolders(hs []mtid.Holder) []*mtwire.Holder {
	var out []*mtwire.Holder
	for _, h := range hs {
		out = append(out, mtroster.HolderToWire(h))
	}
	return out
}

func readHolders(ws []*mtwire.Holder) []mtid.Holder {
	var out []mtid.Holder
	for _, w := range ws {
		out = append(out, mtroster.HolderFromWire(w))
	}
	return out
}
