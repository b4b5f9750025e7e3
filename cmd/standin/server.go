package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtaudit"
	"magnoliaturn/io/mtstandin"
)

// exitCrashed is the exit status of a server crashed by a poison request.
const exitCrashed = 70

// drainPoll is how often a draining server checks whether it is idle.
const drainPoll = 50 * time.Millisecond

// serverCommand runs a stand-in for a backend server.
type serverCommand struct {
	setting mtstandin.ServerSetting
	listen  string
	service string
	shape   string
	journal string
	debug   string
	linger  time.Duration
}

// Name implements subcommands.Command.
func (*serverCommand) Name() string { return "server" }

// Synopsis implements subcommands.Command.
func (*serverCommand) Synopsis() string { return "take the place of a backend server" }

// Usage implements subcommands.Command.
func (*serverCommand) Usage() string {
	return `server -service business/service -daemon http://host:port [flags]
On SIGTERM it announces that it drains, answers what it still gets, and ends
once it has been idle for the linger time.
`
}

// SetFlags implements subcommands.Command.
func (c *serverCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.setting.Name, "name", "", "name in the journal; the address if empty")
	f.StringVar(&c.listen, "listen", "127.0.0.1:8000", "address to listen on and announce")
	f.StringVar(&c.service, "service", "", "business/service")
	f.StringVar(&c.setting.Daemon, "daemon", "", "base URL of the daemon's local listener; empty to announce to none")
	f.IntVar(&c.setting.Slots, "slots", 12, "requests that run at once")
	f.IntVar(&c.setting.Connections, "connections", 130, "connections to announce")
	f.BoolVar(&c.setting.Shed, "shed", false, "refuse what finds no slot, rather than let it wait")
	f.BoolVar(&c.setting.Epochs, "epochs", true, "refuse epochs below the highest seen for a key")
	f.BoolVar(&c.setting.Deadlines, "deadlines", true, "honour start-by times and deadlines")
	f.BoolVar(&c.setting.Grants, "grants", true, "cancel keyed runs when the daemon's lease ends")
	f.StringVar(&c.shape, "shape", string(mtstandin.LogNormal), "service time: fixed, exponential or lognormal")
	f.DurationVar(&c.setting.Time.Mean, "mean", 2*time.Millisecond, "mean of the service time")
	f.DurationVar(&c.setting.Cold, "cold", 0, "how long the server starts cold")
	f.Float64Var(&c.setting.ColdFactor, "cold-factor", 4, "service time while cold, as a multiple")
	f.IntVar(&c.setting.Reply, "reply", 512, "length of a reply, bytes")
	f.StringVar(&c.setting.Crash, "crash", "poison", "rest of a path that crashes the server; empty for none")
	f.BoolVar(&c.setting.FixedLoad, "fixed-load", false, "announce the load given by -load whatever it is")
	f.Float64Var(&c.setting.Load, "load", 0, "load to announce with -fixed-load, 0 to 1")
	f.Uint64Var(&c.setting.Seed, "seed", 1, "seed of the service times")
	f.StringVar(&c.journal, "journal", "", "file to append the journal to; empty for none")
	f.StringVar(&c.debug, "debug", "", "address of counters and profiles; empty for none")
	f.DurationVar(&c.linger, "linger", 2*time.Second, "idle time after which a drained server ends")
}

// Execute implements subcommands.Command.
func (c *serverCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *serverCommand) run(ctx context.Context) error {
	service, err := parseService(c.service)
	if err != nil {
		return err
	}
	c.setting.Service, c.setting.Address, c.setting.Time.Shape = service, c.listen, mtstandin.Shape(c.shape)
	if c.setting.Name == "" {
		c.setting.Name = c.listen
	}
	// A restarted server counts its runs from one again, so each incarnation
	// needs a unique name in the journal.
	c.setting.Name = fmt.Sprintf("%s@%d", c.setting.Name, time.Now().UnixMilli())
	to, closeJournal, err := openAppend(c.journal)
	if err != nil {
		return err
	}
	defer closeJournal()
	journal := mtstandin.NewJournal[mtaudit.Event](to)
	server, cleanUp, err := mtstandin.NewServer(c.setting, journal, func() { os.Exit(exitCrashed) })
	if err != nil {
		return err
	}
	defer cleanUp()
	serveDebug(c.debug)
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-ctx.Done()
		server.Drain()
		waitIdle(server, c.linger)
		stop()
	}()
	if err := listenAndServe(serving, c.listen, server); err != nil {
		return err
	}
	return journal.Err()
}

// waitIdle returns once the server has been idle for the linger time.
func waitIdle(server *mtstandin.Server, linger time.Duration) {
	slog.Info("draining")
	for idle := time.Duration(0); idle < linger; idle += drainPoll {
		if server.Busy() > 0 {
			idle = 0
		}
		time.Sleep(drainPoll)
	}
}

// openAppend opens a file for unbuffered appending. An empty name discards what is
// written.
func openAppend(name string) (io.Writer, func(), error) {
	const permissions = 0o644
	if name == "" {
		return io.Discard, func() {}, nil
	}
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, permissions)
	if err != nil {
		return nil, nil, err
	}
	return file, func() { _ = file.Close() }, nil
}
