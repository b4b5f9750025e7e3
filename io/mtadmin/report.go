package mtadmin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtoperator"
)

// Where each version is in force is asked for when somebody wants to know: at
// rest it costs nothing. A page asks each of its daemons once, so the asked
// daemon sends and gets a few hundred bytes for each.
const (
	maxAsked   = 50 // daemons on one page
	atOnce     = 8  // of them at the same time
	askTimeout = 2 * time.Second
)

// Informer is what a daemon tells other daemons for operators; it is
// registered with the gRPC server that other daemons reach.
type Informer struct {
	mtwire.UnimplementedInformServer
	server *Server
}

// Informer returns the daemon's answers to other daemons.
func (s *Server) Informer() *Informer { return &Informer{server: s} }

// Report implements mtwire.InformServer.
func (i *Informer) Report(context.Context, *mtwire.ReportRequest) (*mtwire.ReportReply, error) {
	return i.server.report(), nil
}

// Drain implements mtwire.InformServer. A request for a former life of this
// daemon must not take the present one out of service.
func (i *Informer) Drain(ctx context.Context, request *mtwire.DrainRequest) (*mtwire.DrainReply, error) {
	self := i.server.config.Self
	if mtroster.HolderFromWire(request.GetHolder()) != self.Holder() {
		return nil, status.Error(codes.FailedPrecondition, "another life of this daemon is meant")
	}
	if err := self.Drain(ctx); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &mtwire.DrainReply{}, nil
}

// report returns this daemon's own report.
func (s *Server) report() *mtwire.ReportReply {
	reply := &mtwire.ReportReply{
		Holder:   mtroster.HolderToWire(s.config.Self.Holder()),
		Frontier: uint64(s.config.View.Frontier()),
		Bundles:  make(map[string]uint64),
	}
	for _, b := range s.config.View.Bundles() {
		reply.Bundles[string(b.Business)] = uint64(b.Version)
	}
	for _, suspect := range s.config.Self.Suspects() {
		reply.Quarantined = append(reply.Quarantined, &mtwire.Suspect{
			Business:    string(suspect.Service.Business),
			Service:     string(suspect.Service.Service),
			Fingerprint: suspect.Fingerprint,
			Refused:     uint32(max(suspect.Refused, 0)),
			UntilMs:     suspect.Until.UnixMilli(),
		})
	}
	for _, load := range s.config.Self.Loads() {
		reply.Loads = append(reply.Loads, &mtwire.Load{
			Business: string(load.Service.Business),
			Service:  string(load.Service.Service),
			Slots:    uint32(max(load.Slots, 0)),
			Running:  uint32(max(load.Running, 0)),
			Queued:   uint32(max(load.Queued, 0)),
			Rate:     load.Rate,
		})
	}
	return reply
}

// answer is one daemon's report, or why there is none.
type answer struct {
	record *mtroster.Record
	report *mtwire.ReportReply
	err    error
}

// ask gets the reports of those daemons, a few at a time, in their order.
func (s *Server) ask(ctx context.Context, records []*mtroster.Record) []answer {
	answers := make([]answer, len(records))
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i, r := range records {
		group.Go(func() error {
			report, err := s.askOne(ctx, r)
			answers[i] = answer{record: r, report: report, err: err}
			return nil
		})
	}
	_ = group.Wait() // failures are in the answers
	return answers
}

func (s *Server) askOne(ctx context.Context, r *mtroster.Record) (*mtwire.ReportReply, error) {
	if r.Holder == s.config.Self.Holder() {
		return s.report(), nil
	}
	client, err := s.informant(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	report, err := client.Report(ctx, &mtwire.ReportRequest{})
	if err != nil {
		return nil, &UnreachableError{Daemon: r.Holder.Daemon, Err: err}
	}
	return report, nil
}

// informant returns a client of another daemon.
func (s *Server) informant(r *mtroster.Record) (mtwire.InformClient, error) {
	if s.config.Peers == nil {
		return nil, &UnreachableError{Daemon: r.Holder.Daemon, Err: &MissingError{What: "a connection between daemons"}}
	}
	connection, err := s.config.Peers.Dial(r)
	if err != nil {
		return nil, &UnreachableError{Daemon: r.Holder.Daemon, Err: err}
	}
	return mtwire.NewInformClient(connection), nil
}

// drainHolder asks a daemon to leave.
func (s *Server) drainHolder(ctx context.Context, r *mtroster.Record) error {
	if r.Holder == s.config.Self.Holder() {
		return s.config.Self.Drain(ctx)
	}
	client, err := s.informant(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, err = client.Drain(ctx, &mtwire.DrainRequest{Holder: mtroster.HolderToWire(r.Holder)})
	if err != nil {
		return &UnreachableError{Daemon: r.Holder.Daemon, Err: err}
	}
	return nil
}

// asked returns the page of live daemons that a request is for, and the cursor
// of the next one.
func (s *Server) asked(c echo.Context) ([]*mtroster.Record, string, error) {
	var alive []*mtroster.Record
	for _, r := range s.records() {
		if r.MayHoldLease() {
			alive = append(alive, r)
		}
	}
	page, err := paginateUpTo(c, alive, func(r *mtroster.Record) string { return string(r.Holder.Daemon) }, maxAsked)
	return page.Items, page.Next, err
}

// force answers which version each daemon goes by.
func (s *Server) force(c echo.Context, _ *mtoperator.Operator) error {
	records, next, err := s.asked(c)
	if err != nil {
		return err
	}
	page := Page[ForceDocument]{Items: []ForceDocument{}, Next: next}
	for _, a := range s.ask(c.Request().Context(), records) {
		d := ForceDocument{Daemon: a.record.Holder.Daemon, Zone: a.record.Zone}
		if a.err != nil {
			d.Error = a.err.Error()
			page.Failed = append(page.Failed, d.Daemon)
		}
		d.Version = mtid.Version(a.report.GetBundles()[string(businessOf(c))])
		d.Frontier = mtid.Revision(a.report.GetFrontier())
		page.Items = append(page.Items, d)
	}
	return c.JSON(http.StatusOK, page)
}

// quarantine answers which requests the daemons keep from running.
func (s *Server) quarantine(c echo.Context, _ *mtoperator.Operator) error {
	records, next, err := s.asked(c)
	if err != nil {
		return err
	}
	page := Page[SuspectDocument]{Items: []SuspectDocument{}, Next: next}
	for _, a := range s.ask(c.Request().Context(), records) {
		if a.err != nil {
			page.Failed = append(page.Failed, a.record.Holder.Daemon)
		}
		for _, suspect := range a.report.GetQuarantined() {
			if suspect.GetBusiness() != string(businessOf(c)) {
				continue
			}
			page.Items = append(page.Items, SuspectDocument{
				Daemon:      a.record.Holder.Daemon,
				Business:    businessOf(c),
				Service:     mtid.Service(suspect.GetService()),
				Fingerprint: hex(suspect.GetFingerprint()),
				Refused:     int(suspect.GetRefused()),
				Until:       time.UnixMilli(suspect.GetUntilMs()).UTC(),
			})
		}
	}
	slices.SortStableFunc(page.Items, func(a, b SuspectDocument) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return c.JSON(http.StatusOK, page)
}
