package mtforward

import (
	"context"
	"errors"
	"fmt"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtmemory"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtwire"
	iomemory "magnoliaturn/io/mtmemory"
)

// A body larger than maxInline is sent in parts. Nobody receives them before the budget of its
// daemon has room for all: the sender of a request is told to go on, and the parts of an answer wait
// for the flow control of its stream.

const (
	// maxInline is the size in bytes up to which a body is sent together with its call or answer.
	maxInline = 24 << 10
	// maxBody is the largest body that is received, in bytes.
	maxBody = 1 << 30
)

// sizeError reports that a body doesn't have the size that its sender has named.
type sizeError struct {
	named, received int // in bytes
}

// Error implements error.
func (e *sizeError) Error() string {
	return fmt.Sprintf("body of %d bytes, not of the named %d", e.received, e.named)
}

// collect receives a body of the named size, part by part.
func collect(size int, next func() ([]byte, error)) (mtcall.Body, error) {
	var body mtcall.Body
	received := 0
	for received < size {
		part, err := next()
		if err != nil {
			return nil, errors.Join(err, &sizeError{named: size, received: received})
		}
		received += len(part)
		if len(part) == 0 || received > size {
			return nil, &sizeError{named: size, received: received}
		}
		body = append(body, part)
	}
	return body, nil
}

// memoryRefusal returns the refusal of a call for whose body there is no memory.
func memoryRefusal(err error) *mtreply.RefusedError {
	return &mtreply.RefusedError{Cause: mtreply.CauseMemoryFull, RetryAfter: memoryRetry, Detail: err.Error()}
}

// upload sends a call with a large body. Until its last part is sent, the call is certain not to have run.
func (c *Client) upload(ctx context.Context, conn grpc.ClientConnInterface, daemon mtid.Daemon, address string, call *mtcall.Call) (*mtcall.Answer, error) {
	now := c.clock.Now()
	inner, cancelCall := context.WithCancel(ctx)
	defer cancelCall()
	stream, err := mtwire.NewForwarderClient(conn).Upload(inner)
	if err != nil {
		return nil, c.notUploaded(ctx, err)
	}
	first := c.forwardRequest(now, daemon, call)
	first.BodySize = uint64(call.Body.Len())
	if err := stream.Send(first); err != nil {
		return nil, c.notUploaded(ctx, err)
	}
	err = c.awaitHeader(stream, daemon, address, call.Idempotent, cancelCall)
	var granted *mtwire.ForwardReply
	if err == nil {
		granted, err = stream.Recv()
	}
	switch {
	case status.Code(err) == codes.Unimplemented:
		return c.forward(ctx, conn, daemon, address, call) // a daemon of an earlier release
	case err != nil:
		return nil, c.notUploaded(ctx, err)
	case granted.GetOutcome() != "":
		return c.receive(ctx, stream, daemon, now, granted)
	}
	for i, segment := range call.Body {
		err := stream.Send(&mtwire.ForwardRequest{Body: segment})
		if err != nil && i < len(call.Body)-1 {
			return nil, c.notUploaded(ctx, err)
		}
	}
	_ = stream.CloseSend()
	w, err := stream.Recv()
	if err != nil {
		return nil, classifySent(ctx, err)
	}
	return c.receive(ctx, stream, daemon, now, w)
}

// notUploaded returns the refusal of a call whose body was not sent to its end.
func (c *Client) notUploaded(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return &mtreply.RefusedError{Cause: mtreply.CauseExpired, RetryAfter: -1, Detail: "the time ended before the body was sent"}
	}
	return &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, RetryAfter: unreachableRetry, Detail: err.Error()}
}

// replyStream is a stream of the reply to a call and the parts of its body.
type replyStream interface {
	Recv() (*mtwire.ForwardReply, error)
}

// receive processes the reply to a call and receives the parts of its body, if it has any.
func (c *Client) receive(ctx context.Context, stream replyStream, daemon mtid.Daemon, sent mtclock.Instant, w *mtwire.ForwardReply) (*mtcall.Answer, error) {
	c.recordLoad(daemon, sent, w.GetLoad())
	c.exchange.Receive(summaryFromWire(w.GetNews()), sent)
	answer, err := replyFromWire(w)
	if err != nil {
		return nil, err
	}
	hold := c.memory.Hold(mtmemory.Answer)
	hold.Add(len(w.GetBody()) + headerSize(answer.Header))
	answer.Release = hold.Release
	size := w.GetBodySize()
	if size == 0 {
		return answer, nil
	}
	hold.Add(StreamWindow) // it may have arrived while nobody receives
	answer.Body, err = receiveParts(ctx, stream, hold, size)
	if err != nil {
		hold.Release()
		return nil, classifySent(ctx, err)
	}
	return answer, nil
}

// receiveParts waits for memory for a body and receives it.
func receiveParts(ctx context.Context, stream replyStream, hold *iomemory.Hold, size uint64) (mtcall.Body, error) {
	if size > maxBody {
		return nil, &sizeError{named: int(min(size, maxBody+1)), received: 0}
	}
	if err := hold.Await(ctx, int(size)); err != nil {
		return nil, err
	}
	return collect(int(size), func() ([]byte, error) {
		part, err := stream.Recv()
		return part.GetBody(), err
	})
}

// classifySent returns the error of a call that may have run.
func classifySent(ctx context.Context, err error) error {
	var size *sizeError
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		return &mtreply.UnknownError{Cause: mtreply.CauseTimeout, Err: err}
	case ctx.Err() != nil:
		return &mtreply.UnknownError{Cause: mtreply.CauseGone, Err: err}
	case errors.As(err, &size) || errors.Is(err, io.EOF):
		return &mtreply.UnknownError{Cause: mtreply.CauseTruncated, Err: err}
	}
	return &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: err}
}

// headerSize returns the size of header fields in bytes.
func headerSize(fields []mtcall.Field) int {
	n := 0
	for _, f := range fields {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Forward implements mtwire.ForwarderServer.
func (s *server) Forward(w *mtwire.ForwardRequest, stream grpc.ServerStreamingServer[mtwire.ForwardReply]) error {
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	s.config.Exchange.Receive(summaryFromWire(w.GetNews()), 0)
	call := callFromWire(s.config.Clock.Now(), w)
	hold := s.config.Memory.Hold(mtmemory.Request)
	defer hold.Release()
	if err := hold.Take(call.Body.Len() + headerSize(call.Header)); err != nil {
		return stream.Send(s.reply(nil, memoryRefusal(err)))
	}
	return s.run(stream, call, w.GetParts())
}

// Upload implements mtwire.ForwarderServer.
func (s *server) Upload(stream grpc.BidiStreamingServer[mtwire.ForwardRequest, mtwire.ForwardReply]) error {
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	w, err := stream.Recv()
	if err != nil {
		return err
	}
	s.config.Exchange.Receive(summaryFromWire(w.GetNews()), 0)
	call := callFromWire(s.config.Clock.Now(), w)
	hold := s.config.Memory.Hold(mtmemory.Request)
	defer hold.Release()
	size := int(min(w.GetBodySize(), maxBody))
	if err := hold.Take(size + headerSize(call.Header)); err != nil {
		return stream.Send(s.reply(nil, memoryRefusal(err)))
	}
	if err := stream.Send(&mtwire.ForwardReply{}); err != nil {
		return err
	}
	call.Body, err = collect(size, func() ([]byte, error) {
		part, err := stream.Recv()
		return part.GetBody(), err
	})
	if err != nil {
		return status.Error(codes.Aborted, err.Error())
	}
	return s.run(stream, call, w.GetParts())
}

// sendStream is a stream to the sender of a call.
type sendStream interface {
	Context() context.Context
	Send(*mtwire.ForwardReply) error
}

// run runs a call and sends the reply, with the body in parts if it is large and the sender of the call
// can receive them.
func (s *server) run(stream sendStream, call *mtcall.Call, parts bool) error {
	answer, err := s.config.Host.Run(stream.Context(), call)
	defer answer.Free()
	reply := s.reply(answer, err)
	if err != nil {
		return stream.Send(reply)
	}
	size := answer.Body.Len()
	if size <= maxInline || !parts {
		reply.Body = answer.Body.Bytes()
		return stream.Send(reply)
	}
	reply.BodySize = uint64(size)
	if err := stream.Send(reply); err != nil {
		return err
	}
	for _, segment := range answer.Body {
		if err := stream.Send(&mtwire.ForwardReply{Body: segment}); err != nil {
			return err
		}
	}
	return nil
}

// reply returns the reply to a call, with this daemon's load and its summary of the shared state.
func (s *server) reply(answer *mtcall.Answer, err error) *mtwire.ForwardReply {
	reply := replyToWire(answer, err)
	reply.Load = loadToWire(s.config.Host.Load())
	reply.News = summaryToWire(s.config.Exchange.Summarize())
	return reply
}
