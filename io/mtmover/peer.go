package mtmover

import (
	"context"

	"google.golang.org/grpc"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtmove"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/core/mtwire"
)

// PeerError reports that a request to another daemon failed or was refused.
type PeerError struct {
	Peer   mtid.Holder
	Reason string
	Err    error // nil if the request was refused or the peer is not in the roster
}

// Error implements error.
func (e *PeerError) Error() string {
	if e.Err == nil {
		return "move: request to " + e.Peer.String() + " refused: " + e.Reason
	}
	return "move: request to " + e.Peer.String() + " failed: " + e.Err.Error()
}

// Unwrap returns the error of the connection or of the call, or nil.
func (e *PeerError) Unwrap() error { return e.Err }

// client returns a client for a peer if the roster has this incarnation of it. It
// fails with a *PeerError.
func (m *Mover) client(peer mtid.Holder) (mtwire.MoverClient, error) {
	record, _, ok := m.View.Snapshot().Record(peer.Daemon)
	if !ok || record.Holder != peer {
		return nil, &PeerError{Peer: peer, Reason: "not in the roster"}
	}
	conn, err := m.Conns.Conn(record.RelayAddress)
	if err != nil {
		return nil, &PeerError{Peer: peer, Err: err}
	}
	return mtwire.NewMoverClient(conn), nil
}

// Move requests that the owner of a shard move it to another holder. The planner
// calls it. It returns when the owner has accepted or refused the request, not when
// the move has ended.
func (m *Mover) Move(ctx context.Context, owner mtid.Holder, service mtid.Ref, low mtid.Point, to mtid.Holder) error {
	if owner == m.Self() {
		return m.requestMove(ctx, service, low, to)
	}
	client, err := m.client(owner)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := client.Ask(ctx, &mtwire.MoveAsk{
		Business: string(service.Business),
		Service:  string(service.Service),
		Low:      uint64(low),
		Owner:    mtroster.HolderToWire(owner),
		To:       mtroster.HolderToWire(to),
	})
	if err != nil {
		return &PeerError{Peer: owner, Err: err}
	}
	if !answer.GetTaken() {
		return &PeerError{Peer: owner, Reason: answer.GetReason()}
	}
	return nil
}

// sendRecent sends the recent identifiers of a range to its new owner.
func (m *Mover) sendRecent(e mtmove.Handover) error {
	value, err := m.RecentIDs.Export(e.Shard.Service, e.Shard.Low, e.High)
	if err != nil {
		return err
	}
	client, err := m.client(e.To)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	reply, err := client.Handover(ctx, &mtwire.HandoverRequest{
		Business: string(e.Shard.Service.Business),
		Service:  string(e.Shard.Service.Service),
		Low:      uint64(e.Shard.Low),
		High:     uint64(e.High),
		From:     mtroster.HolderToWire(m.Self()),
		To:       mtroster.HolderToWire(e.To),
		Recent:   value,
	})
	if err != nil {
		return &PeerError{Peer: e.To, Err: err}
	}
	if !reply.GetTaken() {
		return &PeerError{Peer: e.To, Reason: reply.GetReason()}
	}
	return nil
}

// notifyOwners notifies the new owners of the shards in a written table, so that they
// are ready when the released requests arrive. It sends only the last step; a daemon
// that lacks the previous one gets the table from the store.
func (m *Mover) notifyOwners(table *mtshard.Table, ops []mtshard.Op) {
	request := &mtwire.GrantedRequest{
		Name:    mtstore.ShardName(table.Service, table.Chunk),
		Version: uint64(table.Version),
		Step:    mtshard.WireSteps(table.Steps[len(table.Steps)-1:])[0],
	}
	notified := map[mtid.Holder]bool{}
	for _, op := range ops {
		if move, ok := op.(mtshard.Move); ok && !notified[move.To] {
			notified[move.To] = true
			m.notifyOwner(move.To, request)
		}
	}
}

func (m *Mover) notifyOwner(to mtid.Holder, request *mtwire.GrantedRequest) {
	client, err := m.client(to)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	if _, err := client.Granted(ctx, request); err != nil {
		m.Log.Debug("cannot notify a new owner", "to", to.String(), "error", err)
	}
}

// server implements mtwire.MoverServer.
type server struct {
	mtwire.UnimplementedMoverServer
	m *Mover
}

// Register registers the handlers of requests from other daemons with a gRPC server.
func (m *Mover) Register(r grpc.ServiceRegistrar) { mtwire.RegisterMoverServer(r, server{m: m}) }

// Ask implements mtwire.MoverServer. It begins a move that another daemon requests.
func (s server) Ask(ctx context.Context, w *mtwire.MoveAsk) (*mtwire.MoveAnswer, error) {
	if owner := mtroster.HolderFromWire(w.GetOwner()); owner != s.m.Self() {
		return &mtwire.MoveAnswer{Reason: "asked as " + owner.String()}, nil
	}
	ref := mtid.Ref{Business: mtid.Business(w.GetBusiness()), Service: mtid.Service(w.GetService())}
	if err := s.m.requestMove(ctx, ref, mtid.Point(w.GetLow()), mtroster.HolderFromWire(w.GetTo())); err != nil {
		return &mtwire.MoveAnswer{Reason: err.Error()}, nil
	}
	return &mtwire.MoveAnswer{Taken: true}, nil
}

// Handover implements mtwire.MoverServer. It imports the recent identifiers of a range
// that is moved here.
func (s server) Handover(_ context.Context, w *mtwire.HandoverRequest) (*mtwire.HandoverReply, error) {
	// Identifiers that a previous incarnation imported are lost. The request fails
	// here, before the sender writes that holder into the table as the owner.
	if to := mtroster.HolderFromWire(w.GetTo()); to != s.m.Self() {
		return &mtwire.HandoverReply{Reason: "sent to " + to.String()}, nil
	}
	ref := mtid.Ref{Business: mtid.Business(w.GetBusiness()), Service: mtid.Service(w.GetService())}
	if err := s.m.RecentIDs.Import(ref, mtid.Point(w.GetLow()), mtid.Point(w.GetHigh()), mtroster.HolderFromWire(w.GetFrom()), w.GetRecent()); err != nil {
		return &mtwire.HandoverReply{Reason: err.Error()}, nil
	}
	return &mtwire.HandoverReply{Taken: true}, nil
}

// Granted implements mtwire.MoverServer. It applies a table step by which this daemon
// has become an owner.
func (s server) Granted(_ context.Context, w *mtwire.GrantedRequest) (*mtwire.GrantedReply, error) {
	s.m.applyWritten(mtview.Item{
		Name:    w.GetName(),
		Version: mtid.Version(w.GetVersion()),
		Steps:   mtshard.ReadSteps([]*mtwire.Step{w.GetStep()}),
	})
	return &mtwire.GrantedReply{}, nil
}
