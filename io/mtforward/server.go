package mtforward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mthead"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlink"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/core/mtzone"
	iomemory "magnoliaturn/io/mtmemory"
)

// host runs calls on the backend server of this VM and reports its load.
type host interface {
	Run(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error)
	Load() mtcall.Load
}

// Server holds the handlers for the requests of other daemons.
type Server struct {
	Self     mtid.Daemon // the daemon's name; requests for the load of another one fail. Empty if that isn't checked
	Host     host
	Clock    clock
	Exchange StateExchange
	// ServeChanges waits for changes of the store on behalf of another daemon. It fails with
	// a *mtstore.UnavailableError if this daemon does not receive them itself: two
	// daemons that were each other's upstream would both miss all changes.
	ServeChanges func(ctx context.Context, q ChangesRequest) (ChangesReply, error)
	// ReceiveEntry receives entries that other daemons push: writes of assignments that affect this
	// daemon, and losses of servers that the store has not accepted yet.
	ReceiveEntry func(mtstore.Entry)
	// Commit writes ownership transfers on behalf of another daemon. It returns the
	// outcome of each transfer and the changes of the assignment.
	Commit func(context.Context, mtrange.Batch) ([]mtrange.Outcome, mtstore.Entry)
	// ReserveLink grants room on this VM's link for a body and returns zero, or returns the
	// time after which there is room again. It may be nil if all bodies may be sent.
	ReserveLink func(mtlink.Bytes) time.Duration
	// Withdraw refuses the calls with these tries that wait and returns their number. It
	// refuses those that arrive in the given time too. It may be nil if none are refused.
	Withdraw func(tries []mtid.TryID, remember time.Duration) int
	// Memory is the budget from which calls take their memory; nil stands for one of their own.
	Memory *iomemory.Budget
}

// server implements mtwire.ForwarderServer.
type server struct {
	mtwire.UnimplementedForwarderServer
	config Server
}

// Register registers the Forwarder service with a gRPC server.
func Register(r grpc.ServiceRegistrar, s Server) {
	if s.Memory == nil {
		s.Memory = iomemory.New(0)
	}
	mtwire.RegisterForwarderServer(r, &server{config: s})
}

// maxChangesWait limits how long a request for changes may wait, whatever it asks for.
const maxChangesWait = 30 * time.Second

// Learn implements mtwire.ForwarderServer.
func (s *server) Learn(ctx context.Context, w *mtwire.LearnRequest) (*mtwire.LearnReply, error) {
	q := ChangesRequest{
		After:  mtid.Revision(w.GetAfter()),
		Epochs: make(map[string]mtid.Epoch, len(w.GetEpochs())),
		Wait:   min(time.Duration(w.GetWaitMs())*time.Millisecond, maxChangesWait),
		Relays: w.GetRelays(),
		Age:    micros(w.GetNews().GetAgeUs()),

		Configuration: w.GetConfiguration(),
		Known:         mtid.Version(w.GetNews().GetConfig()),
	}
	for _, e := range w.GetEpochs() {
		q.Epochs[e.GetName()] = mtid.Epoch(e.GetNext())
	}
	s.config.Exchange.Receive(summaryFromWire(w.GetNews()), 0)
	arrived := s.config.Clock.Now()
	update, err := s.config.ServeChanges(ctx, q)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	summary := s.config.Exchange.Summarize()
	// The requesting daemon adds the time since it sent the request, which includes
	// the wait here.
	summary.Age -= s.config.Clock.Now().Sub(arrived)
	reply := &mtwire.LearnReply{Revision: uint64(update.Changes.Revision), Hops: uint32(update.Hops), News: summaryToWire(summary)}
	for _, e := range update.Changes.Entries {
		reply.Entries = append(reply.Entries, entryToWire(e))
	}
	compressLarge(ctx, reply)
	return reply, nil
}

func entryToWire(e mtstore.Entry) *mtwire.LearnEntry {
	return &mtwire.LearnEntry{Name: e.Name, Value: e.Value, Version: uint64(e.Version), Revision: uint64(e.Revision)}
}

func entryFromWire(w *mtwire.LearnEntry) mtstore.Entry {
	return mtstore.Entry{
		Name: w.GetName(), Value: w.GetValue(), Version: mtid.Version(w.GetVersion()), Revision: mtid.Revision(w.GetRevision()),
	}
}

// Inform implements mtwire.ForwarderServer.
func (s *server) Inform(_ context.Context, w *mtwire.LearnEntry) (*mtwire.InformReply, error) {
	s.config.ReceiveEntry(entryFromWire(w))
	return &mtwire.InformReply{}, nil
}

// Commit implements mtwire.ForwarderServer.
func (s *server) Commit(ctx context.Context, w *mtwire.RangeBatch) (*mtwire.CommitReply, error) {
	b, err := mtrange.ReadBatch(w)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	outcomes, entry := s.config.Commit(ctx, b)
	reply := &mtwire.CommitReply{Assignment: entryToWire(entry)}
	for _, o := range outcomes {
		reply.Outcomes = append(reply.Outcomes, uint32(o))
	}
	return reply, nil
}

// Observe implements mtwire.ForwarderServer.
func (s *server) Observe(ctx context.Context, w *mtwire.ObserveRequest) (*mtwire.ForwardLoad, error) {
	if err := s.checkName(ctx); err != nil {
		return nil, err
	}
	s.config.Exchange.Receive(summaryFromWire(w.GetNews()), 0)
	load := loadToWire(s.config.Host.Load())
	load.News = summaryToWire(s.config.Exchange.Summarize())
	return load, nil
}

func summaryToWire(s StateSummary) *mtwire.News {
	return &mtwire.News{Config: uint64(s.ConfigVersion), Seen: uint64(s.NewestVersion), Zones: uint64(s.Zones), AgeUs: s.Age.Microseconds()}
}

func summaryFromWire(w *mtwire.News) StateSummary {
	return StateSummary{ConfigVersion: mtid.Version(w.GetConfig()), NewestVersion: mtid.Version(w.GetSeen()), Zones: mtzone.Digest(w.GetZones()), Age: micros(w.GetAgeUs())}
}

// Instants are encoded as the time that is left until then, because the clocks of two VMs
// can't be compared.

func callToWire(now mtclock.Instant, c *mtcall.Call) *mtwire.ForwardRequest {
	return &mtwire.ForwardRequest{
		Id:          string(c.ID),
		Method:      c.Method,
		Target:      c.Target,
		Host:        c.Host,
		Header:      fieldsToWire(c.Header),
		Parts:       true,
		Service:     string(c.Service),
		Route:       string(c.Route),
		Keyed:       c.Keyed,
		Key:         uint32(c.Key),
		Idempotent:  c.Idempotent,
		Nested:      c.Nested,
		Repeat:      c.Repeat,
		Proven:      c.Claims.Answered,
		Cleared:     lossKeysToWire(c.Claims.Cleared),
		Only:        c.Claims.SoleServer,
		Priority:    int32(c.Priority),
		ObjectiveUs: objectiveToWire(now, c.Objective),
		DeadlineUs:  c.Deadline.Sub(now).Microseconds(),
		Caller:      string(c.Caller),
		PatienceUs:  c.Patience.Microseconds(),
		Try:         uint64(c.Try),
	}
}

func callFromWire(now mtclock.Instant, w *mtwire.ForwardRequest) *mtcall.Call {
	return &mtcall.Call{
		ID:         mtcall.ID(w.GetId()),
		Method:     w.GetMethod(),
		Target:     w.GetTarget(),
		Host:       w.GetHost(),
		Header:     fieldsFromWire(w.GetHeader()),
		Body:       mtcall.BodyOf(w.GetBody()),
		Service:    mtid.Service(w.GetService()),
		Route:      mtid.Class(w.GetRoute()),
		Keyed:      w.GetKeyed(),
		Key:        mtid.KeyNumber(w.GetKey()),
		Idempotent: w.GetIdempotent(),
		Nested:     w.GetNested(),
		Repeat:     w.GetRepeat(),
		Claims:     mtpoison.Claims{Answered: w.GetProven(), SoleServer: w.GetOnly(), Cleared: lossKeysFromWire(w.GetCleared())},
		Priority:   int(w.GetPriority()),
		Objective:  objectiveFromWire(now, w.GetObjectiveUs()),
		Deadline:   now.Add(micros(w.GetDeadlineUs())),
		Caller:     mtid.Service(w.GetCaller()),
		Notice:     noticeFromWire(w.GetNotice()),
		Patience:   micros(w.GetPatienceUs()),
		Try:        mtid.TryID(w.GetTry()),
	}
}

func lossKeysToWire(keys []mtpoison.LossKey) []uint64 {
	var out []uint64
	for _, k := range keys {
		out = append(out, uint64(k))
	}
	return out
}

func lossKeysFromWire(keys []uint64) []mtpoison.LossKey {
	var out []mtpoison.LossKey
	for _, k := range keys {
		out = append(out, mtpoison.LossKey(k))
	}
	return out
}

// objectiveToWire encodes an objective. Zero means that there is none: one that is due just now
// is encoded as due a microsecond ago.
func objectiveToWire(now, objective mtclock.Instant) int64 {
	left := objective.Sub(now).Microseconds()
	switch {
	case objective == 0:
		return 0
	case left == 0:
		return -1
	}
	return left
}

func objectiveFromWire(now mtclock.Instant, left int64) mtclock.Instant {
	if left == 0 {
		return 0
	}
	return now.Add(micros(left))
}

func noticeToWire(n mtbackend.Notice) *mtwire.Notice {
	if n.IsZero() {
		return nil
	}
	return &mtwire.Notice{
		Server: string(n.Incarnation.Server), Started: int64(n.Incarnation.Started), Limited: n.Limited, Limit: float64(n.Limit), Leaving: n.Leaving,
	}
}

func noticeFromWire(w *mtwire.Notice) mtbackend.Notice {
	return mtbackend.Notice{
		Incarnation: mtid.ServerIncarnation{Server: mtid.Server(w.GetServer()), Started: mtid.StartTime(w.GetStarted())},
		Limited:     w.GetLimited(), Limit: mtbackend.Rate(w.GetLimit()), Leaving: w.GetLeaving(),
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func fieldsToWire(fields []mtcall.Field) []*mtwire.Field {
	out := make([]*mtwire.Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, &mtwire.Field{Name: f.Name, Value: f.Value})
	}
	return out
}

func fieldsFromWire(w []*mtwire.Field) []mtcall.Field {
	out := make([]mtcall.Field, 0, len(w))
	for _, f := range w {
		out = append(out, mtcall.Field{Name: f.GetName(), Value: f.GetValue()})
	}
	return out
}

func loadToWire(l mtcall.Load) *mtwire.ForwardLoad {
	return &mtwire.ForwardLoad{
		Running: uint32(l.Running), Waiting: uint32(l.Waiting), Slots: uint32(l.Slots),
		ServiceUs: l.ServiceTime.Microseconds(), Demand: float32(l.Demand), Capacity: float32(l.Capacity),
		Notice: noticeToWire(l.Report.Notice), Unheard: l.Report.Unheard,
	}
}

func loadFromWire(w *mtwire.ForwardLoad) mtcall.Load {
	return mtcall.Load{
		Running: int(w.GetRunning()), Waiting: int(w.GetWaiting()), Slots: int(w.GetSlots()),
		ServiceTime: micros(w.GetServiceUs()), Demand: float64(w.GetDemand()), Capacity: float64(w.GetCapacity()),
		Report: mtbackend.Report{Notice: noticeFromWire(w.GetNotice()), Unheard: w.GetUnheard()},
	}
}

func replyToWire(answer *mtcall.Answer, err error) *mtwire.ForwardReply {
	var refused *mtreply.RefusedError
	var unknown *mtreply.UnknownError
	switch {
	case err == nil:
		return &mtwire.ForwardReply{
			Outcome:  string(mtreply.Answered),
			Status:   uint32(answer.Status),
			Header:   fieldsToWire(answer.Header),
			QueuedUs: answer.Queued.Microseconds(),
			ServedUs: answer.Served.Microseconds(),
		}
	case errors.As(err, &refused):
		return &mtwire.ForwardReply{
			Outcome: string(mtreply.NotRun), Cause: string(refused.Cause), Detail: refused.Detail,
			RetryAfterUs: refused.RetryAfter.Microseconds(),
			Owner:        string(refused.Owner), OwnerEpoch: uint64(refused.Epoch),
		}
	case errors.As(err, &unknown):
		return &mtwire.ForwardReply{Outcome: string(mtreply.Unknown), Cause: string(unknown.Cause), Detail: unknown.Error()}
	}
	// Any other error proves nothing, so the call may have run.
	return &mtwire.ForwardReply{Outcome: string(mtreply.Unknown), Cause: string(mtreply.CauseLost), Detail: err.Error()}
}

// remoteError is the error text that another daemon returned for a call whose outcome is
// unknown.
type remoteError struct{ detail string }

// Error implements error.
func (e *remoteError) Error() string { return e.detail }

// answerError reports an answer with a status or a field that no server can have sent.
type answerError struct {
	status int
	field  string // its name, if the field is the reason
}

// Error implements error.
func (e *answerError) Error() string {
	return fmt.Sprintf("not an answer: status %d, field %q", e.status, e.field)
}

// checkAnswer checks the head of an answer. A daemon of an earlier release passes on any.
func checkAnswer(w *mtwire.ForwardReply) error {
	status := int(w.GetStatus())
	if !mthead.ValidAnswer(status) {
		return &answerError{status: status}
	}
	for _, f := range w.GetHeader() {
		if !mthead.ValidField(f.GetName(), f.GetValue()) {
			return &answerError{status: status, field: f.GetName()}
		}
	}
	return nil
}

func replyFromWire(w *mtwire.ForwardReply) (*mtcall.Answer, error) {
	switch mtreply.Outcome(w.GetOutcome()) {
	case mtreply.Answered:
		if err := checkAnswer(w); err != nil {
			return nil, &mtreply.UnknownError{Cause: mtreply.CauseTruncated, Err: err}
		}
		return &mtcall.Answer{
			Status: int(w.GetStatus()),
			Header: fieldsFromWire(w.GetHeader()),
			Body:   mtcall.BodyOf(w.GetBody()),
			Queued: micros(w.GetQueuedUs()),
			Served: micros(w.GetServedUs()),
		}, nil
	case mtreply.NotRun:
		return nil, &mtreply.RefusedError{
			Cause: mtreply.Cause(w.GetCause()), Detail: w.GetDetail(), RetryAfter: micros(w.GetRetryAfterUs()),
			Owner: mtid.Daemon(w.GetOwner()), Epoch: mtid.Epoch(w.GetOwnerEpoch()),
		}
	}
	return nil, &mtreply.UnknownError{Cause: mtreply.Cause(w.GetCause()), Err: &remoteError{detail: w.GetDetail()}}
}
