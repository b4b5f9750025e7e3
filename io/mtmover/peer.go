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

// PeerError says that another daemon could not be asked or refused.
type PeerError struct {
	Peer   mtid.Holder
	Reason string
	Err    error // nil if the peer refused
}

// Error implements error.
func (e *PeerError) Error() string {
	if e.Err == nil {
		return "move: " + e.Peer.String() + " refused: " + e.Reason
	}
	return "move: " + e.Peer.String() + " was not reached: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// client returns the client of a live peer.
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

// Move asks a shard's owner to hand it to another holder. It is called by the
// planner. It returns when the owner has taken the wish or refused it.
func (m *Mover) Move(ctx context.Context, owner mtid.Holder, service mtid.Ref, low mtid.Point, to mtid.Holder) error {
	if owner == m.Self() {
		return m.want(ctx, service, low, to)
	}
	client, err := m.client(owner)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
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

// sendRecent gives the new owner the identifiers of a range.
func (m *Mover) sendRecent(e mtmove.Handover) error {
	value, err := m.Recents.Export(e.Shard.Service, e.Shard.Low, e.High)
	if err != nil {
		return err
	}
	client, err := m.client(e.To)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(m.ctx, sendTimeout)
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

// grant tells the new owners of a written table, so that the requests that are
// released find them ready. Only the step is sent; whoever lacks the one before
// it learns from the store.
func (m *Mover) grant(table *mtshard.Table, ops []mtshard.Op) {
	request := &mtwire.GrantedRequest{
		Name:    mtstore.ShardName(table.Service, table.Chunk),
		Version: uint64(table.Version),
		Step:    mtshard.WireSteps(table.Steps[len(table.Steps)-1:])[0],
	}
	told := map[mtid.Holder]bool{}
	for _, op := range ops {
		if move, ok := op.(mtshard.Move); ok && !told[move.To] {
			told[move.To] = true
			m.grantTo(move.To, request)
		}
	}
}

func (m *Mover) grantTo(to mtid.Holder, request *mtwire.GrantedRequest) {
	client, err := m.client(to)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, sendTimeout)
	defer cancel()
	if _, err := client.Granted(ctx, request); err != nil {
		m.Log.Debug("new owner was not told", "to", to.String(), "error", err)
	}
}

type server struct {
	mtwire.UnimplementedMoverServer
	m *Mover
}

// Register adds the mover's side to a gRPC server.
func (m *Mover) Register(r grpc.ServiceRegistrar) { mtwire.RegisterMoverServer(r, server{m: m}) }

// Ask implements mtwire.MoverServer.
func (s server) Ask(ctx context.Context, w *mtwire.MoveAsk) (*mtwire.MoveAnswer, error) {
	if owner := mtroster.HolderFromWire(w.GetOwner()); owner != s.m.Self() {
		return &mtwire.MoveAnswer{Reason: "asked as " + owner.String()}, nil
	}
	ref := mtid.Ref{Business: mtid.Business(w.GetBusiness()), Service: mtid.Service(w.GetService())}
	if err := s.m.want(ctx, ref, mtid.Point(w.GetLow()), mtroster.HolderFromWire(w.GetTo())); err != nil {
		return &mtwire.MoveAnswer{Reason: err.Error()}, nil
	}
	return &mtwire.MoveAnswer{Taken: true}, nil
}

// Handover implements mtwire.MoverServer.
func (s server) Handover(_ context.Context, w *mtwire.HandoverRequest) (*mtwire.HandoverReply, error) {
	// Identifiers taken in by an earlier life are gone: the sender must learn
	// that before it names this holder as the owner.
	if to := mtroster.HolderFromWire(w.GetTo()); to != s.m.Self() {
		return &mtwire.HandoverReply{Reason: "sent to " + to.String()}, nil
	}
	ref := mtid.Ref{Business: mtid.Business(w.GetBusiness()), Service: mtid.Service(w.GetService())}
	if err := s.m.Recents.Import(ref, mtid.Point(w.GetLow()), mtid.Point(w.GetHigh()), mtroster.HolderFromWire(w.GetFrom()), w.GetRecent()); err != nil {
		return &mtwire.HandoverReply{Reason: err.Error()}, nil
	}
	return &mtwire.HandoverReply{Taken: true}, nil
}

// Granted implements mtwire.MoverServer.
func (s server) Granted(_ context.Context, w *mtwire.GrantedRequest) (*mtwire.GrantedReply, error) {
	s.m.learn(mtview.Item{
		Name:    w.GetName(),
		Version: mtid.Version(w.GetVersion()),
		Steps:   mtshard.ReadSteps([]*mtwire.Step{w.GetStep()}),
	})
	return &mtwire.GrantedReply{}, nil
}
