package mtserver

import (
	"cmp"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/labstack/echo/v4"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
)

type clock interface{ Now() mtclock.Instant }

// announcementLimit is the maximum size of an announcement in bytes.
const announcementLimit = 4 << 10

// Pool holds the backend servers on this VM that have announced themselves.
type Pool struct {
	clock    clock
	log      *slog.Logger
	limit    int64
	mu       sync.Mutex
	servers  map[mtid.Ref]poolEntry
	onChange func()
	leaseEnd func() int64
}

type poolEntry struct {
	server      *Server
	announcedAt mtclock.Instant
}

// NewPool returns an empty pool. limit is the maximum size of a reply in bytes.
// onChange is called when a server is added or removed, or when its announcement
// changes in anything but its load.
func NewPool(c clock, limit int64, log *slog.Logger, onChange func()) *Pool {
	return &Pool{clock: c, log: log, limit: limit, servers: make(map[mtid.Ref]poolEntry), onChange: onChange}
}

// SetLeaseEnd sets the function that returns the time until which the daemon's lease
// is certain to be valid, in nanoseconds of the boot-time clock. It is called before
// the first announcement.
func (p *Pool) SetLeaseEnd(until func() int64) { p.leaseEnd = until }

// faults is the body of the reply to an invalid announcement.
type faults struct {
	Faults []fault `json:"faults"`
}

type fault struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Accept string `json:"accept"`
}

// Announce is the handler of mtheader.AnnouncePath. It replies 204, or 400 or 422
// with all faults of the announcement; in that case nothing has changed.
//
// The reply contains the end of the lease. A frozen daemon can't cancel the requests
// that its server runs, and meanwhile another owner starts to serve the same keys:
// two servers would run one key at the same time. A server that no longer receives
// replies stops at the time given in the last one.
func (p *Pool) Announce(c echo.Context) error {
	var a mtannounce.Announcement
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, announcementLimit)
	if err := c.Bind(&a); err != nil {
		return c.JSON(http.StatusBadRequest, faults{Faults: []fault{{Field: "body", Accept: "a JSON announcement"}}})
	}
	if found := a.Check(); len(found) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, faultsOf(found))
	}
	p.Put(a)
	if p.leaseEnd != nil {
		c.Response().Header().Set(mtheader.ServeUntil, strconv.FormatInt(p.leaseEnd(), 10))
	}
	return c.NoContent(http.StatusNoContent)
}

func faultsOf(found []*mtannounce.FieldError) faults {
	var out faults
	for _, f := range found {
		out.Faults = append(out.Faults, fault{Field: f.Field, Value: f.Value, Accept: f.Accept})
	}
	return out
}

// Put adds a server, or updates it, from an announcement that has passed Check.
func (p *Pool) Put(a mtannounce.Announcement) {
	ref := mtid.Ref{Business: a.Business, Service: a.Service}
	now := p.clock.Now()
	p.mu.Lock()
	old, known := p.servers[ref]
	next := poolEntry{announcedAt: now}
	switch {
	case known && sameTarget(old.server.announcement, a):
		// Keep the connections and replace only the announcement.
		next.server = &Server{announcement: a, client: old.server.client, limit: old.server.limit}
	default:
		next.server = newServer(a, p.limit)
	}
	p.servers[ref] = next
	changed := !known || !sameExceptLoad(old.server.announcement, a)
	p.mu.Unlock()
	if changed {
		p.log.Info("backend server announced", "service", ref.String(), "address", a.Address, "state", a.State)
		p.onChange()
	}
}

// sameTarget reports whether connections made for announcement a can be used for b.
func sameTarget(a, b mtannounce.Announcement) bool {
	return a.Address == b.Address && a.Connections == b.Connections
}

// sameExceptLoad reports whether the announcements differ in nothing but the load,
// which is not part of the roster.
func sameExceptLoad(a, b mtannounce.Announcement) bool {
	a.Load, b.Load = 0, 0
	return a == b
}

// Server returns the backend server of a service if its last announcement is no
// older than mtannounce.TTL. It is called for each request.
func (p *Pool) Server(ref mtid.Ref, now mtclock.Instant) (*Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.servers[ref]
	if !ok || now.Sub(a.announcedAt) > mtannounce.TTL {
		return nil, false
	}
	return a.server, true
}

// Expire removes the servers whose last announcement is older than mtannounce.TTL,
// and reports whether there were any. The daemon calls it every second.
func (p *Pool) Expire(now mtclock.Instant) bool {
	p.mu.Lock()
	removed := false
	for ref, a := range p.servers {
		if now.Sub(a.announcedAt) > mtannounce.TTL {
			delete(p.servers, ref)
			removed = true
			p.log.Warn("backend server removed: its announcement has expired", "service", ref.String(), "address", a.server.announcement.Address)
		}
	}
	p.mu.Unlock()
	if removed {
		p.onChange()
	}
	return removed
}

// Remove removes a server that refused a connection: its process has terminated, and
// waiting for its announcement to expire would keep its keys unavailable for
// mtannounce.TTL. A server that is still running announces itself again within a
// second.
func (p *Pool) Remove(ref mtid.Ref, server *Server) {
	p.mu.Lock()
	current, ok := p.servers[ref]
	remove := ok && current.server.client == server.client
	if remove {
		delete(p.servers, ref)
	}
	p.mu.Unlock()
	if remove {
		p.log.Warn("backend server refuses connections", "service", ref.String(), "address", server.announcement.Address)
		p.onChange()
	}
}

// Announcements returns the last announcement of each server, ordered by service.
func (p *Pool) Announcements() []mtannounce.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []mtannounce.Announcement
	for _, a := range p.servers {
		out = append(out, a.server.announcement)
	}
	slices.SortFunc(out, func(a, b mtannounce.Announcement) int {
		return cmp.Compare(refOf(a).String(), refOf(b).String())
	})
	return out
}

// Offers returns the servers in the form of the roster, without those that are
// draining.
func (p *Pool) Offers() []mtroster.Offer {
	var out []mtroster.Offer
	for _, a := range p.Announcements() {
		if a.State == mtannounce.Draining {
			continue
		}
		out = append(out, mtroster.Offer{
			Service: refOf(a), Slots: a.Slots, Connections: a.Connections, Epochs: a.Epochs, Deadlines: a.Deadlines,
		})
	}
	return out
}

func refOf(a mtannounce.Announcement) mtid.Ref {
	return mtid.Ref{Business: a.Business, Service: a.Service}
}
