package mtmesh

import (
	"sync"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtzone"
	"magnoliaturn/io/mtdirectory"
)

// zoneState is the state of this VM's availability zone that the host was last notified of.
type zoneState struct {
	mu       sync.Mutex
	revision mtid.Revision
}

// applyZone notifies the host if the zone of this VM was taken out of service or put back.
// It is called whenever the directory changes.
func (m *Mesh) applyZone() {
	directory, host := m.directory.Load(), m.host.Load()
	if directory == nil || host == nil {
		return
	}
	own := m.config.Zone
	view := directory.View()
	if view.Era() > 0 && view.FormerRevision == 0 {
		// This process has not seen the beginning of the era. The copy may lack the operators' last orders.
		host.DoubtOrders(view.EraSince.Add(mtdirectory.SettleTime))
	}
	out := view.OutOfService
	m.zoneState.mu.Lock()
	defer m.zoneState.mu.Unlock()
	if m.zoneState.revision == out.ChangedAt(own) {
		return
	}
	m.zoneState.revision = out.ChangedAt(own)
	if !out.Has(own) {
		m.config.Log.Info("own availability zone is in service", "zone", own, "revision", uint64(m.zoneState.revision))
		host.ZoneBack()
		return
	}
	confirmed := m.freshness.at()
	until := mtzone.KeyedUntil(confirmed, m.config.ZoneOutDeadline)
	m.config.Log.Info("own availability zone is out of service", "zone", own, "revision", uint64(m.zoneState.revision),
		"certain", m.now().Sub(confirmed), "keys", until.Sub(m.now()))
	host.ZoneOut(out.Version(own), until)
}
