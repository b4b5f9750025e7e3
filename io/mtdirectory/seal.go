package mtdirectory

import (
	"maps"
	"slices"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtseal"
	"magnoliaturn/core/mtstore"
)

// applySealEntry applies the seal of an era. One that no daemon wrote, or that another writer has
// changed or deleted, proves nothing, and holds for as long as any.
func (d *Directory) applySealEntry(v *View, now mtclock.Instant, e mtstore.Entry) error {
	era, service, _ := mtstore.SplitSealName(e.Name)
	if era != v.Era() {
		delete(d.entries, e.Name)
		return nil
	}
	known, ok := v.Seals[service]
	if ok && known.Version == e.Version {
		return nil
	}
	seal, err := mtseal.Decode(e.Value)
	if err != nil {
		seal.Hold = mtseal.MaxHold
	}
	observed := mtseal.Observed{Seal: seal, Version: e.Version, SeenAt: now, Doubtful: err != nil || e.Version == 0}
	observed.After, observed.Bounded = d.publisher.sentBefore(e.Version)
	if ok {
		observed = known.Changed(observed)
	}
	v.Seals = maps.Clone(v.Seals)
	if v.Seals == nil {
		v.Seals = make(map[mtid.Service]mtseal.Observed)
	}
	v.Seals[service] = observed
	d.Log.Info("era of the store is sealed", "service", service, "era", era, "version", e.Version.Number(), "by", seal.By, "hold", seal.Hold, "bounded", observed.Bounded, "doubtful", observed.Doubtful)
	if e.Version == 0 {
		return nil
	}
	return err
}

// Sealed records that this daemon has written a seal under a version by a call that it sent at a time, by the
// clock that never runs slow.
func (d *Directory) Sealed(service mtid.Service, seal mtseal.Seal, version mtid.Version, sent mtclock.Instant) {
	now := d.Clock.Steady()
	d.update(func(v *View) bool {
		known, ok := v.Seals[service]
		if version.Era() != v.Era() || ok && known.Version != version {
			return false
		}
		if !ok {
			known = mtseal.Observed{Seal: seal, Version: version, SeenAt: now}
		}
		known.After, known.Bounded = sent, true
		v.Seals = maps.Clone(v.Seals)
		if v.Seals == nil {
			v.Seals = make(map[mtid.Service]mtseal.Observed)
		}
		v.Seals[service] = known
		return true
	})
}

// endSeals keeps which keys have had no owner in the era of the copy, which a later one has ended,
// as far as that is certain. It is called with mu held.
func (d *Directory) endSeals(v *View, next mtid.Era) {
	now := d.Clock.Now()
	unowned := make(map[mtid.Service]mtseal.History)
	for service, seal := range v.Seals {
		complete := uint64(v.Revision) >= uint64(seal.Version) && !d.assignmentMissed
		if next != v.Era()+1 || !complete || !seal.Proves(now) {
			d.Log.Warn("keys without an owner may have been given one in an era that has ended", "service", service, "era", v.Era(), "next", next, "complete", complete, "bounded", seal.Bounded)
			continue
		}
		past := mtseal.Past{Since: v.EraSince, Fallow: []mtrange.Span{mtrange.AllKeys}}
		if base, _ := v.Assignments[service].Basis(v.Era()); base != nil {
			past.Fallow = base.FallowSpans()
		}
		unowned[service] = append(slices.Clone(v.Unowned[service]), past)
	}
	v.Unowned, v.Seals = unowned, nil
}
