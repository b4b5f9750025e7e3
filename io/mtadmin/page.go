package mtadmin

import (
	"bytes"
	"cmp"
	"context"
	_ "embed" // for the template
	"fmt"
	"html/template"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtmetric"
	"magnoliaturn/io/mtoperator"
)

//go:embed page.html
var pageText string

// pageTemplate escapes all values: names come from bundles and from the
// announcements of servers.
var pageTemplate = template.Must(template.New("page").Parse(pageText))

// pageData is the content of the status page, with texts already formatted.
type pageData struct {
	Holder   string
	Frontier mtid.Revision
	At       string
	Services []pageService
	Daemons  []pageDaemon
	More     int // number of daemons that are not shown
}

type pageService struct {
	Ref     string
	Kind    mtbundle.Kind
	Version mtid.Version
	Figures string
	Owners  []pageOwner
}

type pageOwner struct {
	Daemon string
	Shards int
	Share  string // of all keys
	Width  int    // of the bar, in percent of the largest owner
	Live   bool
}

type pageDaemon struct {
	Name    string
	Zone    mtid.Zone
	State   string
	Live    bool
	Bundles string
	Loads   []pageLoad
	Error   string
}

type pageLoad struct {
	Ref     string
	Slots   uint32
	Running uint32
	Queued  uint32
	Rate    string
	Width   int // of the bar, in percent of the slots
}

// page serves the status page. It queries the load of at most maxDaemons
// daemons, the first of the roster, as a page of "force" does.
func (s *Server) page(c echo.Context, o *mtoperator.Operator) error {
	data := pageData{
		Holder:   s.config.Self.Holder().String(),
		Frontier: s.config.View.Frontier(),
		At:       s.config.Now().UTC().Format(time.DateTime),
		Services: s.pageServices(o),
	}
	records := s.records()
	shown := records[:min(len(records), maxDaemons)]
	data.More = len(records) - len(shown)
	data.Daemons = s.pageDaemons(c.Request().Context(), shown, o)
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, data); err != nil {
		return err
	}
	c.Response().Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	return c.HTMLBlob(http.StatusOK, out.Bytes())
}

// stats returns the statistics of the services that the operator may view.
func (s *Server) stats(o *mtoperator.Operator) map[string]mtmetric.ServiceStats {
	out := make(map[string]mtmetric.ServiceStats)
	if s.config.ServiceStats == nil {
		return out
	}
	for ref, stats := range s.config.ServiceStats() {
		if o.May(mtoperator.View, ref.Business) {
			out[ref.String()] = stats
		}
	}
	return out
}

func (s *Server) pageServices(o *mtoperator.Operator) []pageService {
	stats := s.stats(o)
	var out []pageService
	for _, b := range s.config.View.Bundles() {
		if !o.May(mtoperator.View, b.Business) {
			continue
		}
		for i := range b.Services {
			service := &b.Services[i]
			ref := mtid.Ref{Business: b.Business, Service: service.Name}
			out = append(out, pageService{
				Ref: ref.String(), Kind: service.Kind, Version: b.Version,
				Figures: describeStats(stats, ref.String()), Owners: s.pageOwners(ref),
			})
		}
	}
	slices.SortFunc(out, func(a, b pageService) int { return cmp.Compare(a.Ref, b.Ref) })
	return out
}

func describeStats(stats map[string]mtmetric.ServiceStats, ref string) string {
	f, ok := stats[ref]
	if !ok {
		return ""
	}
	load := ""
	if f.LoadImbalance > 0 {
		load = fmt.Sprintf(", the largest load %.2f×", f.LoadImbalance)
	}
	return fmt.Sprintf("the largest owner has %.2f× the mean of keys%s; since the start here %.1f %% of the keys moved, and a key was unavailable for %s on average",
		f.KeyImbalance, load, 100*f.Churn, f.Unavailable.Round(time.Millisecond))
}

// pageOwners returns the owners of a service, sorted by their share of the keys in
// descending order.
func (s *Server) pageOwners(ref mtid.Ref) []pageOwner {
	tables, err := s.tables(ref)
	if err != nil {
		return nil
	}
	shards, shares := make(map[mtid.Holder]int), make(map[mtid.Holder]float64)
	for _, t := range tables {
		if t == nil {
			continue
		}
		for _, shard := range t.Shards {
			shards[shard.Owner]++
			shares[shard.Owner] += share(t, shard)
		}
	}
	return s.sortOwners(shards, shares)
}

// share returns the fraction of the hash ring that a shard covers.
func share(t *mtshard.Table, shard mtshard.Shard) float64 {
	last, _ := t.High(shard.Low)
	return (float64(last-shard.Low) + 1) / math.Exp2(64)
}

func (s *Server) sortOwners(shards map[mtid.Holder]int, shares map[mtid.Holder]float64) []pageOwner {
	var largest float64
	for _, v := range shares {
		largest = max(largest, v)
	}
	holders := make([]mtid.Holder, 0, len(shares))
	for holder := range shares {
		holders = append(holders, holder)
	}
	slices.SortFunc(holders, func(a, b mtid.Holder) int {
		return cmp.Or(cmp.Compare(shares[b], shares[a]), cmp.Compare(a.String(), b.String()))
	})
	var out []pageOwner
	for _, holder := range holders {
		r, ok := s.findRecord(holder.Daemon)
		out = append(out, pageOwner{
			Daemon: holder.String(), Shards: shards[holder], Share: fmt.Sprintf("%.1f %%", 100*shares[holder]),
			Width: percent(shares[holder], largest), Live: ok && mayServe(r, holder),
		})
	}
	return out
}

// percent returns part as a percentage of whole, clamped to 0..100.
func percent(part, whole float64) int {
	if whole <= 0 {
		return 0
	}
	return int(min(max(100*part/whole, 0), 100))
}

func (s *Server) pageDaemons(ctx context.Context, records []*mtroster.Record, o *mtoperator.Operator) []pageDaemon {
	var out []pageDaemon
	for _, a := range s.collectReports(ctx, records) {
		d := pageDaemon{
			Name:  a.record.Holder.String(),
			Zone:  a.record.Zone,
			State: a.record.State.String(),
			Live:  a.record.MayHoldLease(),
		}
		if a.err != nil {
			d.Error = "no answer"
		}
		d.Bundles = formatBundles(a.report, o)
		for _, load := range a.report.GetLoads() {
			if o.May(mtoperator.View, mtid.Business(load.GetBusiness())) {
				d.Loads = append(d.Loads, describeLoad(load))
			}
		}
		out = append(out, d)
	}
	return out
}

func formatBundles(report *mtwire.ReportReply, o *mtoperator.Operator) string {
	var names []string
	for name := range report.GetBundles() {
		if o.May(mtoperator.View, mtid.Business(name)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var words []string
	for _, name := range names {
		words = append(words, fmt.Sprintf("%s %d", name, report.GetBundles()[name]))
	}
	return strings.Join(words, ", ")
}

func describeLoad(load *mtwire.Load) pageLoad {
	return pageLoad{
		Ref:     load.GetBusiness() + "/" + load.GetService(),
		Slots:   load.GetSlots(),
		Running: load.GetRunning(),
		Queued:  load.GetQueued(),
		Rate:    fmt.Sprintf("%.1f/s", load.GetRate()),
		Width:   percent(float64(load.GetRunning()), float64(load.GetSlots())),
	}
}
