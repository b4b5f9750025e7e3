package mtadmin

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"

	"github.com/labstack/echo/v4"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/io/mtoperator"
)

func (s *Server) metrics(c echo.Context, _ *mtoperator.Operator) error {
	if s.config.Metrics == nil {
		return &MissingError{What: "a list of metrics"}
	}
	s.config.Metrics.ServeHTTP(c.Response(), c.Request())
	return nil
}

func (s *Server) status(c echo.Context, o *mtoperator.Operator) error {
	holder := s.config.Self.Holder()
	d := StatusDocument{
		Daemon:      holder.Daemon,
		Incarnation: holder.Incarnation,
		Frontier:    s.config.View.Frontier(),
		Bundles:     make(map[mtid.Business]mtid.Version),
	}
	for _, b := range s.config.View.Bundles() {
		if o.May(mtoperator.View, b.Business) {
			d.Bundles[b.Business] = b.Version
		}
	}
	if s.config.ServiceStats != nil {
		d.Services = s.stats(o)
	}
	return c.JSON(http.StatusOK, d)
}

// records returns the roster sorted by daemon name, which is the cursor of pages.
func (s *Server) records() []*mtroster.Record {
	records := slices.Clone(s.config.View.Roster())
	slices.SortFunc(records, func(a, b *mtroster.Record) int {
		return cmp.Compare(a.Holder.Daemon, b.Holder.Daemon)
	})
	return records
}

// findRecord returns the roster's record of a daemon.
func (s *Server) findRecord(daemon mtid.Daemon) (*mtroster.Record, bool) {
	for _, r := range s.config.View.Roster() {
		if r.Holder.Daemon == daemon {
			return r, true
		}
	}
	return nil, false
}

func (s *Server) roster(c echo.Context, o *mtoperator.Operator) error {
	var all []DaemonDocument
	for _, r := range s.records() {
		all = append(all, describeDaemon(r, o))
	}
	page, err := paginate(c, all, func(d DaemonDocument) string { return string(d.Daemon) })
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, page)
}

// describeDaemon omits the backend servers of businesses that the operator may not
// view.
func describeDaemon(r *mtroster.Record, o *mtoperator.Operator) DaemonDocument {
	d := DaemonDocument{
		Daemon:      r.Holder.Daemon,
		Incarnation: r.Holder.Incarnation,
		Zone:        r.Zone,
		Region:      r.Region,
		State:       r.State.String(),
		Live:        r.MayHoldLease(),
		Caller:      r.CallerAddress,
		Relay:       r.RelayAddress,
		Renew:       r.RenewAddress,
		Admin:       r.AdminAddress,
		Witnesses:   []string{},
		Offers:      []OfferDocument{},
	}
	for _, w := range r.Witnesses {
		d.Witnesses = append(d.Witnesses, w.String())
	}
	for _, offer := range r.Offers {
		if !o.May(mtoperator.View, offer.Service.Business) {
			continue
		}
		d.Offers = append(d.Offers, OfferDocument{
			Business: offer.Service.Business, Service: offer.Service.Service,
			Slots: offer.Slots, Connections: offer.Connections, Epochs: offer.Epochs, Deadlines: offer.Deadlines,
		})
	}
	return d
}

// tables returns the tables of all chunks of a keyed service. Chunks whose table
// this daemon hasn't received yet are nil.
func (s *Server) tables(ref mtid.Ref) ([]*mtshard.Table, error) {
	for _, b := range s.config.View.Bundles() {
		if b.Business != ref.Business {
			continue
		}
		service, ok := b.Service(ref.Service)
		if !ok {
			break
		}
		tables := make([]*mtshard.Table, service.Chunks)
		for i := range tables {
			tables[i], _ = s.config.View.Table(ref, i)
		}
		return tables, nil
	}
	return nil, &MissingError{What: "service " + ref.String()}
}

func refOf(c echo.Context) mtid.Ref {
	return mtid.Ref{Business: businessOf(c), Service: mtid.Service(c.Param("service"))}
}

// assignment serves a page of shards. A service may have tens of thousands, so only
// the shards on the page are converted.
func (s *Server) assignment(c echo.Context, _ *mtoperator.Operator) error {
	tables, err := s.tables(refOf(c))
	if err != nil {
		return err
	}
	limit, err := limitOf(c, maxLimit)
	if err != nil {
		return err
	}
	from, err := pointAfter(c.QueryParam("after"))
	if err != nil {
		return err
	}
	page := Page[ShardDocument]{Items: []ShardDocument{}}
	for _, t := range tables {
		if t == nil {
			continue
		}
		first, _ := slices.BinarySearchFunc(t.Shards, from, func(shard mtshard.Shard, p mtid.Point) int { return cmp.Compare(shard.Low, p) })
		for _, shard := range t.Shards[first:] {
			if len(page.Items) == limit {
				page.Next = page.Items[limit-1].Low
				return c.JSON(http.StatusOK, page)
			}
			page.Items = append(page.Items, describeShard(t, shard))
		}
	}
	return c.JSON(http.StatusOK, page)
}

// pointAfter returns the first point after a cursor, or 0 for an empty cursor.
func pointAfter(cursor string) (mtid.Point, error) {
	if cursor == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(cursor, 16, 64)
	if err != nil || n == math.MaxUint64 {
		return 0, &ParameterError{Field: "after", Value: cursor, Accept: "the \"next\" of a page"}
	}
	return mtid.Point(n + 1), nil
}

func describeShard(t *mtshard.Table, shard mtshard.Shard) ShardDocument {
	return ShardDocument{
		Chunk:       t.Chunk,
		Low:         formatHex(uint64(shard.Low)),
		Owner:       shard.Owner.Daemon,
		Incarnation: shard.Owner.Incarnation,
		Epoch:       shard.Epoch,
		Version:     t.Version,
	}
}

// formatHex pads to a fixed width, so that texts sort in the order of the numbers.
func formatHex(n uint64) string { return fmt.Sprintf("%016x", n) }

func (s *Server) owner(c echo.Context, _ *mtoperator.Operator) error {
	ref, key := refOf(c), mtid.Key(c.QueryParam("key"))
	if key == "" {
		return &ParameterError{Field: "key", Accept: "a key"}
	}
	tables, err := s.tables(ref)
	if err != nil {
		return err
	}
	point := ref.Point(key)
	table := tables[mtshard.ChunkOf(point, len(tables))]
	if table == nil {
		return &MissingError{What: "the assignment of " + ref.String()}
	}
	shard, ok := table.Lookup(point)
	if !ok {
		return &MissingError{What: "an owner of " + string(key)}
	}
	d := OwnerDocument{
		Business: ref.Business, Service: ref.Service, Key: key,
		Point: formatHex(uint64(point)), Shard: describeShard(table, shard),
	}
	if r, ok := s.findRecord(shard.Owner.Daemon); ok {
		d.Live = mayServe(r, shard.Owner)
		d.Caller = r.CallerAddress
	}
	return c.JSON(http.StatusOK, d)
}

// mayServe reports whether owner is the incarnation in the daemon's record, and
// may still hold a lease.
func mayServe(r *mtroster.Record, owner mtid.Holder) bool {
	return r.Holder == owner && r.MayHoldLease()
}

// drain takes a daemon out of service. That moves the keys of every business with
// a backend server on the daemon's VM, so the operator needs the role for each of
// them.
func (s *Server) drain(c echo.Context, o *mtoperator.Operator) error {
	r, ok := s.findRecord(mtid.Daemon(c.Param("daemon")))
	if !ok {
		return &MissingError{What: "daemon " + c.Param("daemon")}
	}
	for _, offer := range r.Offers {
		if !o.May(mtoperator.Drain, offer.Service.Business) {
			return problem(http.StatusForbidden, ReasonRole, "The operator may not do that",
				fmt.Sprintf("%s lacks the role %s for %s, whose server stands there", o.Name, mtoperator.Drain, offer.Service.Business))
		}
	}
	if r.State != mtroster.Serving {
		return c.JSON(http.StatusOK, DrainDocument{Daemon: r.Holder.Daemon, State: r.State.String()})
	}
	if err := s.drainDaemon(c.Request().Context(), r); err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, DrainDocument{Daemon: r.Holder.Daemon, State: mtroster.Leaving.String()})
}
