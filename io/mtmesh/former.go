package mtmesh

import (
	"sync"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/io/mthost"
)

// former passes the record of a former life of this daemon on to the host, which does not
// stand yet when the directory begins to look.
type former struct {
	mu    sync.Mutex
	host  *mthost.Host      // nil while the daemon is being put together
	early *mtbackend.Record // found by then
}

// hear takes in a record of a former life.
func (f *former) hear(r mtbackend.Record) {
	f.mu.Lock()
	host := f.host
	if host == nil {
		f.early = &r
	}
	f.mu.Unlock()
	if host != nil {
		host.ProcessPreviousRecord(r)
	}
}

// follow tells the host what was found before it stood, and from now on.
func (f *former) follow(host *mthost.Host) {
	f.mu.Lock()
	f.host = host
	early := f.early
	f.mu.Unlock()
	if early != nil {
		host.ProcessPreviousRecord(*early)
	}
}
