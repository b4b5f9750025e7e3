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

// announcementLimit bounds the body of an announcement, in bytes.
const announcementLimit = 4 << 10

// Pool holds the backend servers that announced themselves on this VM.
type Pool struct {
	clock    clock
	log      *slog.Logger
	limit    int64
	mu       sync.Mutex
	servers  map[mtid.Ref]announced
	onChange func()
	grant    func() int64
}

type announced struct {
	server *Server
	at     mtclock.Instant
}

// NewPool returns an empty pool. limit is the largest reply in bytes; onChange
// is called when a server joins, leaves or changes its terms.
func NewPool(c clock, limit int64, log *slog.Logger, onChange func()) *Pool {
	return &Pool{clock: c, log: log, limit: limit, servers: make(map[mtid.Ref]announced), onChange: onChange}
}

// Grant sets where the pool learns up to when the daemon's lease is certain, in
// nanoseconds of the boot-time clock. It is called before the first announcement.
func (p *Pool) Grant(until func() int64) { p.grant = until }

// faults is the body of a refused announcement.
type faults struct {
	Faults []fault `json:"faults"`
}

type fault struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Accept string `json:"accept"`
}

// Announce is the handler of mtheader.AnnouncePath. It answers 204, or 400 or
// 422 with every fault of the announcement, and then nothing has changed.
//
// The answer carries the end of the lease. A daemon that is frozen can't cancel
// what its server runs, and another owner begins on the same keys meanwhile: two
// servers would run one key at once. A server that gets no answer any more knows
// by the last one when it has to stop.
func (p *Pool) Announce(c echo.Context) error {
	var a mtannounce.Announcement
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, announcementLimit)
	if err := c.Bind(&a); err != nil {
		return c.JSON(http.StatusBadRequest, faults{Faults: []fault{{Field: "body", Accept: "a JSON announcement"}}})
	}
	if found := a.Check(); len(found) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, list(found))
	}
	p.Put(a)
	if p.grant != nil {
		c.Response().Header().Set(mtheader.ServeUntil, strconv.FormatInt(p.grant(), 10))
	}
	return c.NoContent(http.StatusNoContent)
}

func list(found []*mtannounce.FieldError) faults {
	var out faults
	for _, f := range found {
		out.Faults = append(out.Faults, fault{Field: f.Field, Value: f.Value, Accept: f.Accept})
	}
	return out
}

// Put takes a checked announcement in.
func (p *Pool) Put(a mtannounce.Announcement) {
	ref := mtid.Ref{Business: a.Business, Service: a.Service}
	now := p.clock.Now()
	p.mu.Lock()
	old, known := p.servers[ref]
	next := announced{at: now}
	switch {
	case known && sameTarget(old.server.announced, a):
		// The connections stay; only the changing parts are new.
		next.server = &Server{announced: a, client: old.server.client, limit: old.server.limit}
	default:
		next.server = newServer(a, p.limit)
	}
	p.servers[ref] = next
	changed := !known || !sameTerms(old.server.announced, a)
	p.mu.Unlock()
	if changed {
		p.log.Info("backend server announced", "service", ref.String(), "address", a.Address, "state", a.State)
		p.onChange()
	}
}

// sameTarget reports whether connections made under a serve b too.
func sameTarget(a, b mtannounce.Announcement) bool {
	return a.Address == b.Address && a.Connections == b.Connections
}

// sameTerms reports whether nothing changed that the roster shows.
func sameTerms(a, b mtannounce.Announcement) bool {
	a.Load, b.Load = 0, 0
	return a == b
}

// Server returns the backend server of a service, if it announced itself
// within mtannounce.TTL. It is called for each request.
func (p *Pool) Server(ref mtid.Ref, now mtclock.Instant) (*Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.servers[ref]
	if !ok || now.Sub(a.at) > mtannounce.TTL {
		return nil, false
	}
	return a.server, true
}

// Expire forgets the servers that fell silent and reports whether there were
// any. It is called every second by the daemon's duty.
func (p *Pool) Expire(now mtclock.Instant) bool {
	p.mu.Lock()
	gone := false
	for ref, a := range p.servers {
		if now.Sub(a.at) > mtannounce.TTL {
			delete(p.servers, ref)
			gone = true
			p.log.Warn("backend server fell silent", "service", ref.String(), "address", a.server.announced.Address)
		}
	}
	p.mu.Unlock()
	if gone {
		p.onChange()
	}
	return gone
}

// Lost forgets a server that refused a connection: its process is gone, and
// waiting for its silence would keep its keys unavailable for Lifetime. A server
// that lives announces itself again within a second.
func (p *Pool) Lost(ref mtid.Ref, server *Server) {
	p.mu.Lock()
	current, ok := p.servers[ref]
	gone := ok && current.server.client == server.client
	if gone {
		delete(p.servers, ref)
	}
	p.mu.Unlock()
	if gone {
		p.log.Warn("backend server refuses connections", "service", ref.String(), "address", server.announced.Address)
		p.onChange()
	}
}

// Announcements returns what the servers said last, ordered by service.
func (p *Pool) Announcements() []mtannounce.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []mtannounce.Announcement
	for _, a := range p.servers {
		out = append(out, a.server.announced)
	}
	slices.SortFunc(out, func(a, b mtannounce.Announcement) int {
		return cmp.Compare(refOf(a).String(), refOf(b).String())
	})
	return out
}

// Offers returns the servers in the roster's form. A draining server is not
// offered for new work.
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
