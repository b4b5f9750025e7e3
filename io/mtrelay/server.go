package mtrelay

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtview"
	"magnoliaturn/core/mtwire"
)

// owner runs requests whose keys this daemon owns.
type owner interface {
	Serve(ctx context.Context, r *mtrequest.Request) *mtrequest.Reply
}

type clock interface{ Now() mtclock.Instant }

// Server handles the requests and pulls of other daemons.
type Server struct {
	mtwire.UnimplementedPeerServer
	owner      owner
	view       *mtview.View
	clock      clock
	onFrontier func(frontier mtid.Revision, from mtid.Holder)
}

// NewServer returns the peer server of a daemon. onFrontier is called with the
// frontier of each ingress, so that a daemon with an older view can pull from
// that ingress.
func NewServer(o owner, view *mtview.View, c clock, onFrontier func(mtid.Revision, mtid.Holder)) *Server {
	return &Server{owner: o, view: view, clock: c, onFrontier: onFrontier}
}

// Register adds the server to a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) { mtwire.RegisterPeerServer(r, s) }

// Relay implements mtwire.PeerServer.
func (s *Server) Relay(ctx context.Context, w *mtwire.RelayRequest) (*mtwire.RelayReply, error) {
	id, err := mtrequest.ReadID(w.GetId())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "a deadline is required")
	}
	r := requestFromWire(id, w)
	r.Deadline = s.clock.Now().Add(time.Until(deadline))
	r.OnBegun = func() { _ = grpc.SendHeader(ctx, metadata.Pairs(begunHeader, "1")) }
	s.onFrontier(mtid.Revision(w.GetFrontier()), r.Ingress)
	reply := s.owner.Serve(ctx, r)
	return replyToWire(id, reply, s.view.Snapshot().Frontier()), nil
}

// begunHeader is sent ahead of the reply when the owner starts to run a request that
// is suspected of crashing servers. If the whole VM is lost during the run, this
// header shows the ingress that the request was running and not just waiting.
const begunHeader = "begun"

// Pull implements mtwire.PeerServer.
func (s *Server) Pull(_ context.Context, w *mtwire.PullRequest) (*mtwire.PullReply, error) {
	return deltaToWire(s.view.Delta(mtid.Revision(w.GetAfter()), MaxDeltaSize, w.GetWhole())), nil
}

func requestToWire(r *mtrequest.Request, frontier mtid.Revision) *mtwire.RelayRequest {
	return &mtwire.RelayRequest{
		Id:          r.ID[:],
		Minted:      r.Minted,
		Business:    string(r.Service.Business),
		Service:     string(r.Service.Service),
		Key:         string(r.Key),
		Class:       string(r.Class),
		Method:      r.Method,
		Path:        r.Path,
		Query:       r.Query,
		ContentType: r.ContentType,
		Body:        r.Body,
		Frontier:    uint64(frontier),
		Ingress:     mtroster.HolderToWire(r.Ingress),
		Suspect:     r.Suspect,
	}
}

func requestFromWire(id mtrequest.ID, w *mtwire.RelayRequest) *mtrequest.Request {
	return &mtrequest.Request{
		ID:          id,
		Minted:      w.GetMinted(),
		Service:     mtid.Ref{Business: mtid.Business(w.GetBusiness()), Service: mtid.Service(w.GetService())},
		Key:         mtid.Key(w.GetKey()),
		Class:       mtid.Class(w.GetClass()),
		Method:      w.GetMethod(),
		Path:        w.GetPath(),
		Query:       w.GetQuery(),
		ContentType: w.GetContentType(),
		Body:        w.GetBody(),
		Ingress:     mtroster.HolderFromWire(w.GetIngress()),
		Suspect:     w.GetSuspect(),
	}
}

func replyToWire(id mtrequest.ID, r *mtrequest.Reply, frontier mtid.Revision) *mtwire.RelayReply {
	return &mtwire.RelayReply{
		Id:           id[:],
		Outcome:      string(r.Outcome),
		Cause:        string(r.Cause),
		Detail:       r.Detail,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Owner:        mtroster.HolderToWire(r.Owner),
		Epoch:        uint64(r.Epoch),
		Status:       uint32(r.Status),
		ContentType:  r.ContentType,
		Body:         r.Body,
		Frontier:     uint64(frontier),
		QueueNs:      int64(r.Queued),
		ServerNs:     int64(r.Served),
	}
}

func replyFromWire(w *mtwire.RelayReply) *mtrequest.Reply {
	return &mtrequest.Reply{
		Outcome:     mtreply.Outcome(w.GetOutcome()),
		Cause:       mtreply.Cause(w.GetCause()),
		Detail:      w.GetDetail(),
		RetryAfter:  time.Duration(w.GetRetryAfterMs()) * time.Millisecond,
		Owner:       mtroster.HolderFromWire(w.GetOwner()),
		Epoch:       mtid.Epoch(w.GetEpoch()),
		Status:      int(w.GetStatus()),
		ContentType: w.GetContentType(),
		Body:        w.GetBody(),
		Frontier:    mtid.Revision(w.GetFrontier()),
		Queued:      time.Duration(w.GetQueueNs()),
		Served:      time.Duration(w.GetServerNs()),
	}
}

func deltaToWire(d mtview.Delta) *mtwire.PullReply {
	w := &mtwire.PullReply{Revision: uint64(d.Revision), More: d.More}
	for _, item := range d.Items {
		w.Items = append(w.Items, &mtwire.Item{
			Name:     item.Name,
			Version:  uint64(item.Version),
			Revision: uint64(item.Revision),
			Value:    item.Value,
			Steps:    mtshard.WireSteps(item.Steps),
		})
	}
	return w
}

func deltaFromWire(after mtid.Revision, w *mtwire.PullReply) mtview.Delta {
	d := mtview.Delta{After: after, Revision: mtid.Revision(w.GetRevision()), More: w.GetMore()}
	for _, item := range w.GetItems() {
		d.Items = append(d.Items, mtview.Item{
			Name:     item.GetName(),
			Version:  mtid.Version(item.GetVersion()),
			Revision: mtid.Revision(item.GetRevision()),
			Value:    item.GetValue(),
			Steps:    mtshard.ReadSteps(item.GetSteps()),
		})
	}
	return d
}
