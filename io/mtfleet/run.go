package mtfleet

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliaturn/core/mtaudit"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtdaemon"
	"magnoliaturn/io/mtmover"
	"magnoliaturn/io/mtstandin"
)

// Run starts a deployment, sends load through every daemon, moves a shard, kills
// a VM, shuts everything down and prints the outcomes of all requests. It returns
// an *AuditError if the audit finds a violated guarantee.
func Run(ctx context.Context, d Deployment, out io.Writer) error {
	f, cleanUp, err := New(d)
	if err != nil {
		return err
	}
	defer cleanUp()
	_, _ = fmt.Fprintf(out, "%s: %d daemons in %d availability zones of %s\n", d.Business, len(f.nodes), len(d.Zones), d.Region)
	summaries, err := f.load(ctx, out)
	if err != nil {
		return err
	}
	f.shutdown()
	for i, s := range summaries {
		_, _ = fmt.Fprintf(out, "\n%s/%s: ", d.Business, d.Services[i].Name)
		if err := s.Print(out); err != nil {
			return err
		}
	}
	return f.Audit(out)
}

// Send sends one service's load through every daemon for the given time and
// returns a summary of the outcomes. Keys follow a Zipf distribution if zipf is
// above 1.
func (f *Fleet) Send(ctx context.Context, s Service, length time.Duration, zipf float64) (mtstandin.Summary, error) {
	var targets []string
	for _, n := range f.nodes {
		targets = append(targets, "http://"+n.caller)
	}
	load, cleanUp, err := mtstandin.NewLoad(mtstandin.LoadSetting{
		Service: mtid.Ref{Business: f.Business, Service: s.Name}, Targets: targets,
		Rate: s.Rate, Duration: length, Keys: s.Keys, Zipf: zipf, Classes: s.Classes, Tries: 1, Open: maxOpenCalls, Seed: loadSeed,
	}, f.callerJournal, nil)
	if err != nil {
		return mtstandin.Summary{}, err
	}
	defer cleanUp()
	return load.Run(ctx), nil
}

// load sends the load of all services while a shard moves and a VM is killed.
func (f *Fleet) load(ctx context.Context, out io.Writer) ([]mtstandin.Summary, error) {
	summaries := make([]mtstandin.Summary, len(f.Services))
	var group errgroup.Group
	for i, s := range f.Services {
		group.Go(func() error {
			var err error
			summaries[i], err = f.Send(ctx, s, f.Duration, 0)
			return err
		})
	}
	f.moveAndKill(ctx, out)
	return summaries, group.Wait()
}

// moveAndKill moves a shard after one third of the run and kills a VM after two
// thirds.
func (f *Fleet) moveAndKill(ctx context.Context, out io.Writer) {
	const parts = 3
	time.Sleep(f.Duration / parts)
	f.mark("move")
	if err := f.move(ctx); err != nil {
		_, _ = fmt.Fprintln(out, "the shard was not moved:", err)
	}
	time.Sleep(f.Duration / parts)
	f.mark("loss of a VM")
	f.Kill(0)
}

// move moves one shard of the first service from its first instance to the
// second, using the mover as the planner does.
func (f *Fleet) move(ctx context.Context) error {
	ref := mtid.Ref{Business: f.Business, Service: f.Services[0].Name}
	from, to := f.nodes[0].daemon.Self(), f.nodes[1].daemon.Self()
	view, err := mtkernel.Lookup[*mtview.View](f.nodes[0].daemon.Kernel(), mtdaemon.NameView)
	if err != nil {
		return err
	}
	mover, err := mtkernel.Lookup[*mtmover.Mover](f.nodes[1].daemon.Kernel(), mtdaemon.NameMover)
	if err != nil {
		return err
	}
	for _, table := range view.Snapshot().Tables(ref) {
		for _, shard := range table.OwnedBy(from) {
			return mover.Move(ctx, from, ref, shard.Low, to)
		}
	}
	return nil
}

// shutdown stops the remaining daemons gracefully and one at a time, like a
// rolling upgrade.
func (f *Fleet) shutdown() {
	f.mark("shutdown")
	for _, n := range f.nodes {
		if !n.killed {
			n.stop()
			<-n.done
		}
	}
}

// Audit audits the journals of servers and callers and prints the report. It must
// be called once, at the end. It returns an *AuditError if a guarantee was
// violated.
func (f *Fleet) Audit(out io.Writer) error {
	events, err := mtstandin.ReadJournal[mtaudit.Event](&f.events)
	if err != nil {
		return err
	}
	calls, err := mtstandin.ReadJournal[mtaudit.Call](&f.calls)
	if err != nil {
		return err
	}
	report := mtaudit.Audit(mtaudit.Input{Events: events, Calls: calls, Marks: f.marks})
	_, _ = fmt.Fprintf(out, "\naudit: %d runs, %d calls, %d findings\n", report.Runs, report.Calls, len(report.Findings))
	for _, p := range report.Phases {
		_, _ = fmt.Fprintf(out, "  %-14s a key was unavailable for at least %s, at most %s (%s)\n",
			p.Name, p.Longest.AtLeast.Round(time.Millisecond), p.Longest.AtMost.Round(time.Millisecond), formatCounts(p))
	}
	for _, f := range report.Findings {
		_, _ = fmt.Fprintln(out, " ", f)
	}
	if len(report.Findings) > 0 {
		return &AuditError{Findings: len(report.Findings)}
	}
	return nil
}

// formatCounts formats the number of calls of a phase by outcome and cause.
func formatCounts(p mtaudit.Phase) string {
	var parts []string
	for _, c := range p.Counts {
		parts = append(parts, strings.TrimSpace(fmt.Sprintf("%d %s %s", c.Calls, c.Outcome, c.Cause)))
	}
	return strings.Join(parts, ", ")
}
