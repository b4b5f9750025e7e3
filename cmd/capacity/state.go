package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/core/mtwire"
)

// shardsPerDaemon is how finely a service is cut: enough that moving one shard
// changes a daemon's load by about two per cent.
const shardsPerDaemon = 52

// chunkShards is how many shards a chunk holds at most. A daemon that watches the
// store reads a whole chunk for each write (see PLACEMENT.md).
const chunkShards = 100

// stateCommand measures the copy of the live state at three sizes.
type stateCommand struct{}

// Name implements subcommands.Command.
func (*stateCommand) Name() string { return "state" }

// Synopsis implements subcommands.Command.
func (*stateCommand) Synopsis() string { return "measure the copied state at 120, 240 and 480 daemons" }

// Usage implements subcommands.Command.
func (*stateCommand) Usage() string { return "state\n  Example: go run ./cmd/capacity state\n" }

// SetFlags implements subcommands.Command.
func (*stateCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*stateCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	const padding = 2
	w := tabwriter.NewWriter(os.Stdout, 0, 0, padding, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "daemons\tshards\trecord B\troster KB\tchunks\ttables KB\tview KB\tlookup ns\tmove µs\tmove B\tzone loss B\tcold pull KB\t")
	for _, daemons := range []int{120, 240, 480} {
		if err := measure(daemons).print(w); err != nil {
			return subcommands.ExitFailure
		}
	}
	_ = w.Flush()
	return subcommands.ExitSuccess
}

// slope is what was measured at one size.
type slope struct {
	daemons, shards, chunks         int
	record, roster, tables, view    int // bytes
	lookup, move                    time.Duration
	moveBytes, zoneBytes, coldBytes int
}

func (s slope) print(w *tabwriter.Writer) error {
	const kilo = 1024
	_, err := fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t\n", s.daemons, s.shards, s.record,
		s.roster/kilo, s.chunks, s.tables/kilo, s.view/kilo, s.lookup.Nanoseconds(),
		float64(s.move.Nanoseconds())/1000, s.moveBytes, s.zoneBytes, s.coldBytes/kilo)
	return err
}

// world is the live state of a fleet that exists on paper.
type world struct {
	ref      mtid.Ref
	holders  []mtid.Holder
	records  map[string][]byte
	tables   []*mtshard.Table
	revision mtid.Revision
}

func newWorld(daemons int) *world {
	w := &world{ref: mtid.Ref{Business: "ratins", Service: "dispatch"}, records: map[string][]byte{}}
	for i := range daemons {
		w.holders = append(w.holders, mtid.Holder{Daemon: mtid.Daemon(fmt.Sprintf("riga-old-town-%d", i)), Incarnation: 3})
	}
	for i, h := range w.holders {
		record := &mtroster.Record{
			WriteID: mtroster.WriteID{Writer: h, Sequence: uint64(i)}, Holder: h, Zone: "old-town", Region: "riga",
			RelayAddress: "10.20.100.111:8081", RenewAddress: "10.20.100.111:8081", CallerAddress: "10.20.100.111:8080", AdminAddress: "10.20.100.111:8083",
			Witnesses: []mtid.Holder{w.holders[(i+1)%daemons], w.holders[(i+2)%daemons], w.holders[(i+3)%daemons]},
			Offers:    []mtroster.Offer{{Service: w.ref, Slots: 12, Connections: 130, Epochs: true}},
		}
		value, err := record.Encode()
		must(err)
		w.records[mtstore.RosterName(h.Daemon)] = value
	}
	shards := daemons * shardsPerDaemon
	chunks := (shards + chunkShards - 1) / chunkShards
	for c := range chunks {
		table, err := mtshard.New(w.ref, c, chunks).Apply(mtroster.WriteID{}, mtshard.Create{Shards: shards / chunks, Holders: w.near(c, chunks)})
		must(err)
		w.tables = append(w.tables, table)
	}
	return w
}

// ownersPerChunk is among how many daemons a chunk is laid: the planner keeps a
// server's shards in few chunks.
const ownersPerChunk = 4

// near returns the daemons that a chunk is laid among, going round the fleet.
func (w *world) near(chunk, chunks int) []mtid.Holder {
	if chunks*ownersPerChunk < len(w.holders) {
		return w.holders
	}
	var out []mtid.Holder
	for i := range ownersPerChunk {
		out = append(out, w.holders[(chunk*len(w.holders)/chunks+i*len(w.holders)/ownersPerChunk)%len(w.holders)])
	}
	return out
}

// must ends the program: its own input can't be wrong unless the code is.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// delta returns the whole state as the store would.
func (w *world) delta() mtview.Delta {
	d := mtview.Delta{}
	add := func(name string, value []byte) {
		w.revision++
		d.Items = append(d.Items, mtview.Item{Name: name, Version: 1, Revision: w.revision, Value: value})
	}
	for name, value := range w.records {
		add(name, value)
	}
	for _, t := range w.tables {
		value, err := t.Encode()
		must(err)
		add(mtstore.ShardName(w.ref, t.Chunk), value)
	}
	d.Revision = w.revision
	return d
}

func measure(daemons int) slope {
	w := newWorld(daemons)
	s := slope{daemons: daemons, shards: daemons * shardsPerDaemon, chunks: len(w.tables)}
	for _, value := range w.records {
		s.record = len(value)
		s.roster += len(value)
	}
	for _, t := range w.tables {
		value, err := t.Encode()
		must(err)
		s.tables += len(value)
	}
	full := w.delta()
	view := mtview.New()
	before := heap()
	_, err := view.Merge(full)
	must(err)
	s.view = heap() - before
	s.coldBytes = wireSize(view.Delta(0, 1<<30, false))
	s.lookup = timeLookup(view, w)
	s.timeMove(view, w)
	s.zoneBytes = w.zoneLoss(view)
	runtime.KeepAlive(full)
	return s
}

// heap returns the bytes in use after a collection.
func heap() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

func timeLookup(view *mtview.View, w *world) time.Duration {
	const rounds = 1 << 20
	begin := time.Now()
	for i := range rounds {
		view.Snapshot().Lookup(w.ref, mtid.Point(uint64(i)*0x9e3779b97f4a7c15))
	}
	return time.Since(begin) / rounds
}

// timeMove measures what a planned move costs each daemon: bytes and time.
func (s *slope) timeMove(view *mtview.View, w *world) {
	const rounds = 50
	table := w.tables[0]
	begin := time.Now()
	for i := range rounds {
		shard := table.Shards[i*7%len(table.Shards)]
		next, err := table.Apply(mtroster.WriteID{Writer: w.holders[0], Sequence: uint64(i)},
			mtshard.Move{Low: shard.Low, To: w.holders[(i*13)%len(w.holders)]})
		must(err)
		s.moveBytes = w.merge(view, next)
		table = next
	}
	// Half of the time is the writer's Apply; every daemon pays the replay.
	s.move = time.Since(begin) / rounds
	w.tables[0] = table
}

// merge takes a table's newest step into a view, the way it travels, and
// returns its size.
func (w *world) merge(view *mtview.View, table *mtshard.Table) int {
	w.revision++
	d := mtview.Delta{After: w.revision - 1, Revision: w.revision, Items: []mtview.Item{{
		Name: mtstore.ShardName(w.ref, table.Chunk), Version: table.Version, Revision: w.revision,
		Steps: table.Steps[len(table.Steps)-1:],
	}}}
	_, err := view.Merge(d)
	must(err)
	return wireSize(d)
}

// zoneLoss returns the bytes that tell a daemon of the loss of a fifth of all.
func (w *world) zoneLoss(view *mtview.View) int {
	const zones = 5
	lost := w.holders[:len(w.holders)/zones]
	size := 0
	for i, t := range w.tables {
		op := mtshard.Failover{Survivors: t.Survivors(w.holders[len(lost):])}
		for _, owner := range t.Owners() {
			if slices.Contains(lost, owner) {
				op.Lost = append(op.Lost, owner)
			}
		}
		if len(op.Lost) == 0 {
			continue
		}
		next, err := t.Apply(mtroster.WriteID{Writer: w.holders[len(w.holders)-1]}, t.CompactFailover(op))
		must(err)
		w.tables[i] = next
		size += w.merge(view, next)
	}
	return size
}

// wireSize returns the size of a delta's message.
func wireSize(d mtview.Delta) int {
	reply := &mtwire.PullReply{Revision: uint64(d.Revision)}
	for _, item := range d.Items {
		reply.Items = append(reply.Items, &mtwire.Item{
			Name: item.Name, Version: uint64(item.Version), Revision: uint64(item.Revision), Value: item.Value,
			Steps: mtshard.WireSteps(item.Steps),
		})
	}
	return proto.Size(reply)
}
