package mtpoison

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
)

// attendTimeout bounds how long a request waits for the peer that attends it.
// It runs without if the peer is too slow: this guards against a rare loss, and
// must not stop requests by itself.
const attendTimeout = 50 * time.Millisecond

// attendant is the stream to the peer that attends requests of this daemon.
type attendant struct {
	mu      sync.Mutex
	address string
	stream  grpc.BidiStreamingClient[mtwire.Flight, mtwire.Attended]
	cancel  context.CancelFunc
	next    uint64
	begun   map[uint64]chan struct{} // closed once confirmed
}

// attend tells a peer that a request begins, waits until it knows, and returns
// the function that tells it the end.
func (w *Watch) attend(r *mtrequest.Request) func(error) {
	address := w.buddy()
	if address == "" {
		return func(error) {}
	}
	flight := &mtwire.Flight{
		Holder:   mtroster.HolderToWire(w.Self()),
		Print:    r.Fingerprint(),
		Business: string(r.Service.Business),
		Service:  string(r.Service.Service),
		Alone:    r.Suspect,
	}
	begun, ok := w.attendant.begin(w.Conns, address, flight)
	if !ok {
		w.Count("attend.failed")
		return func(error) {}
	}
	timer := time.NewTimer(attendTimeout)
	defer timer.Stop()
	select {
	case <-begun:
	case <-timer.C:
		w.Count("attend.failed")
	}
	return func(err error) { w.attendant.end(flight.GetNumber(), endOf(err)) }
}

// buddy returns the address of the peer that attends, always the same one while
// it lives.
func (w *Watch) buddy() string {
	self := w.Self()
	var best *mtroster.Record
	var bestRank uint64
	for _, record := range w.View.Snapshot().Roster() {
		if !record.MayHoldLease() || record.Holder.Daemon == self.Daemon {
			continue
		}
		rank := mtid.Rank(record.Holder.Daemon, mtid.Ref{}.Point(mtid.Key(self.Daemon)))
		if best == nil || rank > bestRank {
			best, bestRank = record, rank
		}
	}
	if best == nil {
		return ""
	}
	return best.RelayAddress
}

// begin sends a begin, on a new stream if need be, and returns what is closed
// once it is confirmed.
func (a *attendant) begin(conns conns, address string, flight *mtwire.Flight) (<-chan struct{}, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.address != address {
		a.reset()
	}
	if a.stream == nil && !a.open(conns, address) {
		return nil, false
	}
	a.next++
	flight.Number = a.next
	begun := make(chan struct{})
	a.begun[a.next] = begun
	if err := a.stream.Send(flight); err != nil {
		a.reset()
		return nil, false
	}
	return begun, true
}

// open opens a stream and starts the goroutine that reads the confirmations. It
// is called with mu held.
func (a *attendant) open(conns conns, address string) bool {
	conn, err := conns.Conn(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := mtwire.NewSuspicionClient(conn).Attend(ctx)
	if err != nil {
		cancel()
		return false
	}
	a.address, a.stream, a.cancel = address, stream, cancel
	a.begun = make(map[uint64]chan struct{})
	go func() {
		for {
			confirmed, err := stream.Recv()
			if err != nil {
				a.broke(stream)
				return
			}
			a.confirm(confirmed.GetNumber())
		}
	}()
	return true
}

func (a *attendant) confirm(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if begun, ok := a.begun[number]; ok {
		close(begun)
		delete(a.begun, number)
	}
}

// end sends an end.
func (a *attendant) end(number uint64, how mtpoison.RunResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.begun, number)
	if a.stream == nil {
		return
	}
	end := &mtwire.Flight{
		Number: number, Ended: true, Whole: how == mtpoison.Answered, Left: how == mtpoison.Abandoned || how == mtpoison.Broken,
	}
	if err := a.stream.Send(end); err != nil {
		a.reset()
	}
}

// broke forgets a stream that has ended, unless there is a newer one already.
func (a *attendant) broke(stream grpc.BidiStreamingClient[mtwire.Flight, mtwire.Attended]) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stream == stream {
		a.reset()
	}
}

// reset ends the stream. It is called with mu held.
func (a *attendant) reset() {
	if a.cancel != nil {
		a.cancel()
	}
	a.address, a.stream, a.cancel, a.begun = "", nil, nil, nil
}

func (a *attendant) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reset()
}

// maxAttended bounds the requests that one stream may have in flight.
const maxAttended = 4096

// attended are the requests in flight that one stream has announced.
type attended map[uint64]*Relayed

// Attend implements mtwire.SuspicionServer.
func (s server) Attend(stream grpc.BidiStreamingServer[mtwire.Flight, mtwire.Attended]) error {
	open := make(attended)
	defer func() { s.w.abandoned(open) }()
	for {
		flight, err := stream.Recv()
		if err != nil {
			return err
		}
		if flight.GetEnded() {
			if relayed, ok := open[flight.GetNumber()]; ok {
				relayed.attended(flight)
				delete(open, flight.GetNumber())
			}
			continue
		}
		if len(open) < maxAttended {
			open[flight.GetNumber()] = s.w.attending(flight)
		}
		if err := stream.Send(&mtwire.Attended{Number: flight.GetNumber()}); err != nil {
			return err
		}
	}
}

// attending notes a request that is about to run at another daemon.
func (w *Watch) attending(flight *mtwire.Flight) *Relayed {
	ref := mtid.Ref{Business: mtid.Business(flight.GetBusiness()), Service: mtid.Service(flight.GetService())}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.number()
	w.table.Relayed(n, mtroster.HolderFromWire(flight.GetHolder()), mtpoison.Fingerprint(flight.GetPrint()))
	if flight.GetAlone() {
		w.table.StartedAlone(n)
	}
	return &Relayed{watch: w, number: n, service: ref}
}

// attended takes in the end of a request at its owner.
func (r *Relayed) attended(flight *mtwire.Flight) {
	now := r.watch.Clock.Now()
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	if flight.GetLeft() {
		r.watch.table.GivenUp(now, r.number)
		return
	}
	r.watch.table.Returned(now, r.number, flight.GetWhole())
}

// abandoned takes in that a stream broke: what it had announced and not ended
// was in flight.
func (w *Watch) abandoned(open attended) {
	if len(open) == 0 {
		return
	}
	services := make(map[mtid.Ref]bool)
	w.mu.Lock()
	for _, relayed := range open {
		w.table.RelayLost(w.Clock.Now(), relayed.number)
		services[relayed.service] = true
	}
	w.mu.Unlock()
	w.Count("relays.lost")
	for service := range services {
		w.tell(w.serving(service))
	}
}
