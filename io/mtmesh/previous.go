package mtmesh

import (
	"sync"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/io/mthost"
)

// previousRecord passes the record of a previous incarnation of this daemon to the host.
// The directory may read the record before the host exists.
type previousRecord struct {
	mu      sync.Mutex
	host    *mthost.Host      // nil until attach is called
	pending *mtbackend.Record // received before attach
}

// receive handles a record of a previous incarnation.
func (p *previousRecord) receive(r mtbackend.Record) {
	p.mu.Lock()
	host := p.host
	if host == nil {
		p.pending = &r
	}
	p.mu.Unlock()
	if host != nil {
		host.ProcessPreviousRecord(r)
	}
}

// attach passes the records received so far, and all later ones, to the host.
func (p *previousRecord) attach(host *mthost.Host) {
	p.mu.Lock()
	p.host = host
	pending := p.pending
	p.mu.Unlock()
	if pending != nil {
		host.ProcessPreviousRecord(*pending)
	}
}
