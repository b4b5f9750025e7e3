package mtmesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
)

const (
	// reportLife is how long a reported load is believed. Hot runs move on within
	// seconds: with reports of up to three seconds, owners gave keys to servers
	// that had become busy since.
	reportLife = 700 * time.Millisecond
	// surveyed is how many other servers are asked for their load before keys are
	// moved. Reports come with replies, and among 40 servers a daemon hears from
	// any one of them every few seconds only; a dozen drawn by lot hold some with
	// room.
	surveyed = 12
	// surveyFresh is how old a report may be to pass for an answer.
	surveyFresh = 400 * time.Millisecond
	// surveyTimeout bounds the survey: an answer takes a few milliseconds.
	surveyTimeout = 150 * time.Millisecond
)

// standings returns what is known of the servers of this VM's service.
func (m *Mesh) standings() (self mtrange.LoadReport, others []mtrange.LoadReport) {
	view := mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory).Now()
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	now := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock).Now()
	var shares map[mtrange.Owner]int
	if assignment := view.Assignments[m.config.Service]; assignment.Table != nil {
		shares = assignment.KeyCounts()
	}
	for _, member := range view.Serving(m.config.Service) {
		s := mtrange.LoadReport{
			Owner: member.Owner(),
			Slots: member.Slots,
			Keys:  shares[member.Owner()],
		}
		if member.Daemon == m.config.Daemon {
			load := m.Host().Load()
			s.Demand, s.ServiceTime, s.Known = load.Demand, load.ServiceTime, true
			self = s
			continue
		}
		if r, ok := peers.LoadReport(member.Daemon); ok && now.Sub(r.ReceivedAt) < reportLife {
			s.Demand, s.ServiceTime, s.Known = r.Demand, r.ServiceTime, true
		}
		others = append(others, s)
	}
	return self, others
}

// survey asks some servers of this VM's service for their load.
func (m *Mesh) survey(ctx context.Context) {
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	now := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock).Now()
	var stale []mtdirectory.Member
	for _, member := range mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory).Now().Serving(m.config.Service) {
		if member.Daemon == m.config.Daemon {
			continue
		}
		if r, ok := peers.LoadReport(member.Daemon); ok && now.Sub(r.ReceivedAt) < surveyFresh {
			continue
		}
		stale = append(stale, member)
	}
	rand.Shuffle(len(stale), func(i, j int) { stale[i], stale[j] = stale[j], stale[i] })
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, member := range stale[:min(len(stale), surveyed)] {
		asked.Go(func() {
			if err := peers.QueryLoad(ctx, member.Daemon, member.Address); err != nil {
				m.config.Log.Info("server could not be asked for its load", "peer", member.Daemon, "error", err)
			}
		})
	}
	asked.Wait()
}
