package mtmesh

import (
	"sync"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtzone"
)

// zone is what the host was told last of the availability zone of this VM.
type zone struct {
	mu      sync.Mutex
	changed mtid.Revision
}

// zones tells the host if the zone of this VM was taken out of service or back. It is
// called whenever the directory changes.
func (m *Mesh) zones() {
	directory, host := m.directory.Load(), m.host.Load()
	if directory == nil || host == nil {
		return
	}
	own := m.config.Zone
	out := directory.View().OutOfService
	m.zone.mu.Lock()
	defer m.zone.mu.Unlock()
	if m.zone.changed == out.ChangedAt(own) {
		return
	}
	m.zone.changed = out.ChangedAt(own)
	if !out.Has(own) {
		m.config.Log.Info("own availability zone is in service", "zone", own, "revision", uint64(m.zone.changed))
		host.ZoneBack()
		return
	}
	certain := m.certainty.at()
	until := mtzone.KeyedUntil(certain, m.config.Close)
	m.config.Log.Info("own availability zone is out of service", "zone", own, "revision", uint64(m.zone.changed),
		"certain", m.steady().Sub(certain), "keys", until.Sub(m.steady()))
	host.ZoneOut(out.Version(own), until)
}
