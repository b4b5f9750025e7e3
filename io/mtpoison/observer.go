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

// observeTimeout bounds how long a request waits for the observer to confirm it. If
// the observer is too slow, the request runs unobserved: the observer guards against
// a rare loss only and must not block requests itself.
const observeTimeout = 50 * time.Millisecond

// observerStream is the stream to the observer, the peer that records requests in
// flight at this daemon in case the whole VM is lost.
type observerStream struct {
	mu        sync.Mutex
	address   string
	stream    grpc.BidiStreamingClient[mtwire.Flight, mtwire.Attended]
	cancel    context.CancelFunc
	next      uint64
	confirmed map[uint64]chan struct{} // closed when the observer confirms the request
}

// observe reports the start of a request to the observer, waits for its confirmation,
// and returns a function that reports the end of the request.
func (d *Detector) observe(r *mtrequest.Request) func(error) {
	address := d.observerAddress()
	if address == "" {
		return func(error) {}
	}
	flight := &mtwire.Flight{
		Holder:   mtroster.HolderToWire(d.Self()),
		Print:    r.Fingerprint(),
		Business: string(r.Service.Business),
		Service:  string(r.Service.Service),
		Alone:    r.Suspect,
	}
	confirmed, ok := d.observer.begin(d.Conns, address, flight)
	if !ok {
		d.Count("attend.failed")
		return func(error) {}
	}
	timer := time.NewTimer(observeTimeout)
	defer timer.Stop()
	select {
	case <-confirmed:
	case <-timer.C:
		d.Count("attend.failed")
	}
	return func(err error) { d.observer.end(flight.GetNumber(), classifyResult(err)) }
}

// observerAddress returns the relay address of the observer, or "" if there is no
// peer. It is chosen by rendezvous hashing, so that it changes only if it is lost or
// a new daemon ranks higher.
func (d *Detector) observerAddress() string {
	self := d.Self()
	var best *mtroster.Record
	var bestRank uint64
	for _, record := range d.View.Snapshot().Roster() {
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

// begin reports the start of a request, on a new stream if there is none to that
// address. The returned channel is closed when the observer confirms it.
func (o *observerStream) begin(conns conns, address string, flight *mtwire.Flight) (<-chan struct{}, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.address != address {
		o.reset()
	}
	if o.stream == nil && !o.open(conns, address) {
		return nil, false
	}
	o.next++
	flight.Number = o.next
	confirmed := make(chan struct{})
	o.confirmed[o.next] = confirmed
	if err := o.stream.Send(flight); err != nil {
		o.reset()
		return nil, false
	}
	return confirmed, true
}

// open opens a stream and starts a goroutine that reads the confirmations. The caller
// must hold mu.
func (o *observerStream) open(conns conns, address string) bool {
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
	o.address, o.stream, o.cancel = address, stream, cancel
	o.confirmed = make(map[uint64]chan struct{})
	go func() {
		for {
			confirmation, err := stream.Recv()
			if err != nil {
				o.streamEnded(stream)
				return
			}
			o.confirm(confirmation.GetNumber())
		}
	}()
	return true
}

// confirm processes a confirmation of the observer.
func (o *observerStream) confirm(number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if confirmed, ok := o.confirmed[number]; ok {
		close(confirmed)
		delete(o.confirmed, number)
	}
}

// end reports how a request ended.
func (o *observerStream) end(number uint64, result mtpoison.RunResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.confirmed, number)
	if o.stream == nil {
		return
	}
	end := &mtwire.Flight{
		Number: number, Ended: true, Whole: result == mtpoison.Answered, Left: result == mtpoison.Abandoned || result == mtpoison.Broken,
	}
	if err := o.stream.Send(end); err != nil {
		o.reset()
	}
}

// streamEnded resets the observer if its current stream is the one that ended. A
// stream that was already replaced is ignored.
func (o *observerStream) streamEnded(stream grpc.BidiStreamingClient[mtwire.Flight, mtwire.Attended]) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stream == stream {
		o.reset()
	}
}

// reset closes the stream. The caller must hold mu.
func (o *observerStream) reset() {
	if o.cancel != nil {
		o.cancel()
	}
	o.address, o.stream, o.cancel, o.confirmed = "", nil, nil, nil
}

// close closes the stream when the Detector is stopped.
func (o *observerStream) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reset()
}

// maxObserved is the maximum number of requests in flight that are recorded per
// stream. Requests beyond it are confirmed but not recorded.
const maxObserved = 4096

// observedRuns holds the requests in flight that were reported on a stream, by number.
type observedRuns map[uint64]*RelayTracker

// Attend implements mtwire.SuspicionServer. It makes this daemon the observer of the
// sender.
func (s server) Attend(stream grpc.BidiStreamingServer[mtwire.Flight, mtwire.Attended]) error {
	open := make(observedRuns)
	defer func() { s.d.streamLost(open) }()
	for {
		flight, err := stream.Recv()
		if err != nil {
			return err
		}
		if flight.GetEnded() {
			if relayed, ok := open[flight.GetNumber()]; ok {
				relayed.recordEnd(flight)
				delete(open, flight.GetNumber())
			}
			continue
		}
		if len(open) < maxObserved {
			open[flight.GetNumber()] = s.d.recordStart(flight)
		}
		if err := stream.Send(&mtwire.Attended{Number: flight.GetNumber()}); err != nil {
			return err
		}
	}
}

// recordStart records a request that is about to run at another daemon.
func (d *Detector) recordStart(flight *mtwire.Flight) *RelayTracker {
	ref := mtid.Ref{Business: mtid.Business(flight.GetBusiness()), Service: mtid.Service(flight.GetService())}
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.nextID()
	d.table.Relayed(id, mtroster.HolderFromWire(flight.GetHolder()), mtpoison.Fingerprint(flight.GetPrint()))
	if flight.GetAlone() {
		d.table.StartedAlone(id)
	}
	return &RelayTracker{detector: d, id: id, service: ref}
}

// recordEnd records how a request ended at its owner.
func (r *RelayTracker) recordEnd(flight *mtwire.Flight) {
	now := r.detector.Clock.Now()
	r.detector.mu.Lock()
	defer r.detector.mu.Unlock()
	if flight.GetLeft() {
		r.detector.table.GivenUp(now, r.id)
		return
	}
	r.detector.table.Returned(now, r.id, flight.GetWhole())
}

// streamLost records the end of a stream. The requests that were reported on it and
// have not ended are treated like relays whose connection broke, and evidence of them
// is sent to the daemons of their services.
func (d *Detector) streamLost(open observedRuns) {
	if len(open) == 0 {
		return
	}
	services := make(map[mtid.Ref]bool)
	d.mu.Lock()
	for _, relayed := range open {
		d.table.RelayLost(d.Clock.Now(), relayed.id)
		services[relayed.service] = true
	}
	d.mu.Unlock()
	d.Count("relays.lost")
	for service := range services {
		d.sendEvidence(d.serviceAddresses(service))
	}
}
