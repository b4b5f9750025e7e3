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

// Daemons are queried for their versions only when an operator requests a page, so
// there is no cost while nobody does. A page queries each of its daemons once; the
// daemon that serves the page sends and receives a few hundred bytes for each.
const (
	maxDaemons    = 50 // on one page
	maxConcurrent = 8  // queries of a page
	peerTimeout   = 2 * time.Second
)

// Informer implements the gRPC service by which other daemons query this one on
// behalf of operators. It is registered with the gRPC server for other daemons.
type Informer struct {
	mtwire.UnimplementedInformServer
	server *Server
}

// Informer returns the implementation of the gRPC service for other daemons.
func (s *Server) Informer() *Informer { return &Informer{server: s} }

// Report implements mtwire.InformServer.
func (i *Informer) Report(context.Context, *mtwire.ReportRequest) (*mtwire.ReportReply, error) {
	return i.server.report(), nil
}

// Drain implements mtwire.InformServer. A request for a previous incarnation of
// this daemon must not take the current one out of service.
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

// report returns the report of this daemon.
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

// queryResult is a daemon's report, or the error of querying it.
type queryResult struct {
	record *mtroster.Record
	report *mtwire.ReportReply
	err    error
}

// collectReports queries the daemons, maxConcurrent at a time. The results are in
// the order of records.
func (s *Server) collectReports(ctx context.Context, records []*mtroster.Record) []queryResult {
	results := make([]queryResult, len(records))
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for i, r := range records {
		group.Go(func() error {
			report, err := s.fetchReport(ctx, r)
			results[i] = queryResult{record: r, report: report, err: err}
			return nil
		})
	}
	_ = group.Wait() // errors are in the results
	return results
}

func (s *Server) fetchReport(ctx context.Context, r *mtroster.Record) (*mtwire.ReportReply, error) {
	if r.Holder == s.config.Self.Holder() {
		return s.report(), nil
	}
	client, err := s.peerClient(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	report, err := client.Report(ctx, &mtwire.ReportRequest{})
	if err != nil {
		return nil, &UnreachableError{Daemon: r.Holder.Daemon, Err: err}
	}
	return report, nil
}

// peerClient returns a gRPC client of another daemon.
func (s *Server) peerClient(r *mtroster.Record) (mtwire.InformClient, error) {
	if s.config.Peers == nil {
		return nil, &UnreachableError{Daemon: r.Holder.Daemon, Err: &MissingError{What: "a connection between daemons"}}
	}
	connection, err := s.config.Peers.Dial(r)
	if err != nil {
		return nil, &UnreachableError{Daemon: r.Holder.Daemon, Err: err}
	}
	return mtwire.NewInformClient(connection), nil
}

// drainDaemon sends a drain request to a daemon, which may be this one.
func (s *Server) drainDaemon(ctx context.Context, r *mtroster.Record) error {
	if r.Holder == s.config.Self.Holder() {
		return s.config.Self.Drain(ctx)
	}
	client, err := s.peerClient(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, err = client.Drain(ctx, &mtwire.DrainRequest{Holder: mtroster.HolderToWire(r.Holder)})
	if err != nil {
		return &UnreachableError{Daemon: r.Holder.Daemon, Err: err}
	}
	return nil
}

// livePage returns the requested page of live daemons, and the cursor of the next
// page.
func (s *Server) livePage(c echo.Context) ([]*mtroster.Record, string, error) {
	var live []*mtroster.Record
	for _, r := range s.records() {
		if r.MayHoldLease() {
			live = append(live, r)
		}
	}
	page, err := paginateUpTo(c, live, func(r *mtroster.Record) string { return string(r.Holder.Daemon) }, maxDaemons)
	return page.Items, page.Next, err
}

// force serves the version that each live daemon has in force.
func (s *Server) force(c echo.Context, _ *mtoperator.Operator) error {
	records, next, err := s.livePage(c)
	if err != nil {
		return err
	}
	page := Page[InForceDocument]{Items: []InForceDocument{}, Next: next}
	for _, a := range s.collectReports(c.Request().Context(), records) {
		d := InForceDocument{Daemon: a.record.Holder.Daemon, Zone: a.record.Zone}
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

// quarantine serves the requests that the live daemons have quarantined.
func (s *Server) quarantine(c echo.Context, _ *mtoperator.Operator) error {
	records, next, err := s.livePage(c)
	if err != nil {
		return err
	}
	page := Page[SuspectDocument]{Items: []SuspectDocument{}, Next: next}
	for _, a := range s.collectReports(c.Request().Context(), records) {
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
				Fingerprint: formatHex(suspect.GetFingerprint()),
				Refused:     int(suspect.GetRefused()),
				Until:       time.UnixMilli(suspect.GetUntilMs()).UTC(),
			})
		}
	}
	slices.SortStableFunc(page.Items, func(a, b SuspectDocument) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return c.JSON(http.StatusOK, page)
}
