package mtpoison

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
)

const (
	// observeTimeout bounds how long a request that is no suspect waits for the observer to
	// confirm it. If the observer is too slow, the request runs unobserved: the observer
	// guards against a rare loss only and must not block requests itself.
	observeTimeout = 50 * time.Millisecond
	// suspectTimeout bounds the wait of a suspect, which does not run unobserved, for all
	// observers together. It holds the server alone in the meantime.
	suspectTimeout = 250 * time.Millisecond
	// confirmTimeout bounds its wait for one observer, after which the next one is tried.
	confirmTimeout = suspectTimeout / 3
	// silentPeriod is how long a daemon that did not confirm in time is not asked again. A
	// daemon that is cut off from this one only stays in the roster, and would be asked first
	// each time.
	silentPeriod = time.Second
	// unconfirmedRetry is when to retry a suspect that was not confirmed: when daemons that
	// were silent are asked again.
	unconfirmedRetry = silentPeriod
)

// observerStream is the stream to the observer, the peer that records requests in
// flight at this daemon in case the whole VM is lost.
type observerStream struct {
	mu      sync.Mutex
	address string
	stream  grpc.BidiStreamingClient[mtwire.Flight, mtwire.Attended]
	cancel  context.CancelFunc
	next    uint64
	// confirmed receives true when the observer confirms the request, and false when the
	// stream ends before that.
	confirmed map[uint64]chan bool
	silent    map[string]mtclock.Instant // when daemons last did not confirm in time, by address
}

// Observe reports to another daemon that a request is about to run, and returns a function
// that reports its end. The caller must call that function with the result before it answers
// the request.
//
// If the whole VM is lost, the observer is what remains. A suspect must be observed: the
// ingress hears of its start with the response header, which a VM that is lost at once may
// never send. A third server was then lost to the request, because nobody knew that it had
// run alone at the second. Observe fails with a *mtreply.RefusedError if no daemon confirms a
// suspect in time. Other requests are observed only if they arrived at their owner directly
// and their key was recently taken over, and run in any case.
func (d *Detector) Observe(ctx context.Context, r *mtrequest.Request) (func(error), error) {
	ended := func(error) {}
	if r.Suspect {
		return d.observeSuspect(ctx, r)
	}
	if r.Ingress == d.Self() && r.RecentTakeover {
		if address := d.observerAddress(nil); address != "" {
			ended, _ = d.observeAt(ctx, address, r, observeTimeout)
		}
	}
	return ended, nil
}

// observeSuspect observes a suspect. If an observer can't be reached, the next one is tried;
// if there is none at all, nobody is left who could need to know.
func (d *Detector) observeSuspect(ctx context.Context, r *mtrequest.Request) (func(error), error) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	if d.observerAddress(nil) == "" {
		return func(error) {}, nil
	}
	tried := d.observer.silentSince(d.Clock.Now().Add(-silentPeriod))
	for {
		address := d.observerAddress(tried)
		if address == "" {
			return nil, unconfirmedError()
		}
		ended, confirmed := d.observeAt(ctx, address, r, confirmTimeout)
		if confirmed {
			return ended, nil
		}
		ended(unconfirmedError())
		if ctx.Err() != nil {
			return nil, unconfirmedError()
		}
		tried = append(tried, address)
	}
}

func unconfirmedError() error {
	return &mtreply.RefusedError{Cause: mtreply.CauseUnconfirmed, RetryAfter: unconfirmedRetry}
}

// observeAt reports the start of a request to an observer and waits for its confirmation. It
// returns a function that reports the end of the request, and whether the observer has
// confirmed it.
func (d *Detector) observeAt(ctx context.Context, address string, r *mtrequest.Request, timeout time.Duration) (func(error), bool) {
	flight := &mtwire.Flight{
		Holder:   mtroster.HolderToWire(d.Self()),
		Print:    r.Fingerprint(),
		Business: string(r.Service.Business),
		Service:  string(r.Service.Service),
		Alone:    r.Suspect,
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	confirmed, ok := d.observer.begin(ctx, d.Conns, address, flight)
	if !ok {
		d.Count("attend.failed")
		d.observer.markSilent(d.Clock.Now(), address)
		return func(error) {}, false
	}
	ended := func(err error) { d.observer.end(flight.GetNumber(), classifyResult(err)) }
	select {
	case ok = <-confirmed:
	case <-ctx.Done():
		ok = false
	}
	if !ok {
		d.Count("attend.failed")
		d.observer.markSilent(d.Clock.Now(), address)
	}
	return ended, ok
}

// markSilent records that a daemon did not confirm in time.
func (o *observerStream) markSilent(now mtclock.Instant, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.silent == nil {
		o.silent = make(map[string]mtclock.Instant)
	}
	o.silent[address] = now
}

// silentSince returns the daemons that did not confirm in time since then, and forgets others.
func (o *observerStream) silentSince(then mtclock.Instant) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var addresses []string
	for address, at := range o.silent {
		if at.Before(then) {
			delete(o.silent, address)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// observerAddress returns the relay address of the observer, or "" if there is no peer
// except those to leave out. It is chosen by rendezvous hashing, so that it changes only if
// it is lost or a new daemon ranks higher.
func (d *Detector) observerAddress(except []string) string {
	self := d.Self()
	var best *mtroster.Record
	var bestRank uint64
	for _, record := range d.View.Snapshot().Roster() {
		if !record.MayHoldLease() || record.Holder.Daemon == self.Daemon || slices.Contains(except, record.RelayAddress) {
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
// address, which must be open before ctx ends. The returned channel receives whether the
// observer has confirmed it.
func (o *observerStream) begin(ctx context.Context, conns conns, address string, flight *mtwire.Flight) (<-chan bool, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.address != address {
		o.reset()
	}
	if o.stream == nil && !o.open(ctx, conns, address) {
		return nil, false
	}
	o.next++
	flight.Number = o.next
	confirmed := make(chan bool, 1)
	o.confirmed[o.next] = confirmed
	if err := o.stream.Send(flight); err != nil {
		o.reset()
		return nil, false
	}
	return confirmed, true
}

// open opens a stream before ctx ends and starts a goroutine that reads the confirmations.
// The caller must hold mu.
func (o *observerStream) open(ctx context.Context, conns conns, address string) bool {
	conn, err := conns.Conn(address)
	if err != nil {
		return false
	}
	// The stream outlives the request that opens it. A peer that is frozen accepts the
	// connection and lets the opening hang.
	streamCtx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, cancel)
	stream, err := mtwire.NewSuspicionClient(conn).Attend(streamCtx)
	if err != nil || !stop() {
		cancel()
		return false
	}
	o.address, o.stream, o.cancel = address, stream, cancel
	o.confirmed = make(map[uint64]chan bool)
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
		confirmed <- true
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
	for _, confirmed := range o.confirmed {
		confirmed <- false
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
	d.table.Relayed(d.Clock.Now(), id, mtroster.HolderFromWire(flight.GetHolder()), mtpoison.Fingerprint(flight.GetPrint()))
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
	r.detector.table.Returned(r.id, flight.GetWhole())
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
