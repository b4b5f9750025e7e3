package mtmesh

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
)

const (
	// reportTTL is how long a load report is used. The load of a range shifts within
	// seconds: with reports of up to three seconds, owners moved keys to servers that had
	// become busy since.
	reportTTL = 700 * time.Millisecond
	// surveySize is how many other servers are asked for a load report before keys are
	// moved. Reports are attached to replies, and among 40 servers a daemon receives one
	// from any given server only every few seconds. A random dozen includes some with spare
	// capacity.
	surveySize = 12
	// surveyMaxAge is the maximum age of a report for which its server is not asked again.
	surveyMaxAge = 400 * time.Millisecond
	// surveyTimeout limits the survey: a reply takes a few milliseconds.
	surveyTimeout = 150 * time.Millisecond
	// answerTimeout limits the question whether a daemon can be called at all.
	answerTimeout = 300 * time.Millisecond
)

// loadReports returns the load reports of the servers of this VM's service.
func (m *Mesh) loadReports() (self mtrange.LoadReport, others []mtrange.LoadReport) {
	view := mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory).View()
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	now := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock).Now()
	var keyCounts map[mtrange.Owner]int
	if assignment := view.Assignments[m.config.Service]; assignment.Table != nil {
		keyCounts = assignment.KeyCounts()
	}
	for _, member := range view.Serving(m.config.Service) {
		report := mtrange.LoadReport{
			Owner: member.Owner(),
			Slots: member.Slots,
			Keys:  keyCounts[member.Owner()],
		}
		if member.Daemon == m.config.Daemon {
			load := m.Host().Load()
			report.Demand, report.ServiceTime, report.Capacity, report.Known = load.Demand, load.ServiceTime, load.Capacity, true
			self = report
			continue
		}
		r, ok := peers.LoadReport(member.Daemon)
		report.Limited = ok && namesLimit(r)
		if ok && now.Sub(r.ReceivedAt) < reportTTL {
			report.Demand, report.ServiceTime, report.Capacity, report.Known = r.Demand, r.ServiceTime, r.Capacity, true
		}
		others = append(others, report)
	}
	return self, others
}

// namesLimit reports whether a load report names a rate limit, or a capacity. For some time after
// the end of a limit only the capacity is reported.
func namesLimit(r mtforward.LoadReport) bool { return r.Report.Notice.Limited || r.Capacity > 0 }

// survey requests load reports from some other servers of this VM's service.
func (m *Mesh) survey(ctx context.Context) {
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	now := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock).Now()
	var stale, limited []mtdirectory.Member
	for _, member := range mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory).View().Serving(m.config.Service) {
		if member.Daemon == m.config.Daemon {
			continue
		}
		r, ok := peers.LoadReport(member.Daemon)
		switch {
		case ok && now.Sub(r.ReceivedAt) < surveyMaxAge:
		case ok && namesLimit(r):
			limited = append(limited, member) // hardly any call's reply brings its report
		default:
			stale = append(stale, member)
		}
	}
	asked := chooseSurveyed(limited, stale, mtrange.Unreported(m.loadReports()))
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var queries sync.WaitGroup
	for _, member := range asked {
		queries.Go(func() {
			if err := peers.QueryLoad(ctx, member.Daemon, member.Address); err != nil {
				m.config.Log.Info("requesting a load report failed", "peer", member.Daemon, "error", err)
			}
		})
	}
	queries.Wait()
}

// chooseSurveyed returns which servers are asked: those that had a limit, one of those that have
// hardly any keys, since no calls bring its report either, and some of the others.
func chooseSurveyed(limited, stale []mtdirectory.Member, unreported []mtrange.Owner) []mtdirectory.Member {
	rand.Shuffle(len(stale), func(i, j int) { stale[i], stale[j] = stale[j], stale[i] })
	i := slices.IndexFunc(stale, func(m mtdirectory.Member) bool { return slices.Contains(unreported, m.Owner()) })
	if i > 0 {
		stale[0], stale[i] = stale[i], stale[0]
	}
	chosen := slices.Concat(limited, stale)
	return chosen[:min(len(chosen), surveySize)]
}

// answers reports whether another daemon can be called, and is the one that answers at its address.
func (m *Mesh) answers(ctx context.Context, daemon mtid.Daemon) bool {
	member, known := mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory).View().Members[daemon]
	if !known {
		return false
	}
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	now := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock).Now()
	if r, ok := peers.LoadReport(daemon); ok && r.NamedAt != 0 && now.Sub(r.NamedAt) < reportTTL {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return peers.QueryLoad(ctx, member.Daemon, member.Address) == nil
}
