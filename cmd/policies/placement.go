package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtplan"
	"magnoliaturn/core/mtscene"
)

func init() { commands = append(commands, &placement{}) }

// placement compares the placement policies of mtplan.
type placement struct {
	seed  uint64
	plot  string
	scene string
	large bool
}

func (*placement) Name() string { return "placement" }
func (*placement) Synopsis() string {
	return "compare placement policies for keyed services"
}

func (*placement) Usage() string {
	return "placement [-seed N] [-plot DIR] [-scene NAME] [-large]\n"
}

func (c *placement) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of the loads")
	f.StringVar(&c.plot, "plot", "", "directory to write plots to")
	f.StringVar(&c.scene, "scene", "", "run only the scenario with this name")
	f.BoolVar(&c.large, "large", false, "run the planner on 480 servers and 25,000 shards as well")
}

func (c *placement) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Printf("placement, seed %d; loads and faults: core/mtscene\n", c.seed)
	for _, scene := range mtscene.Scenarios(c.seed) {
		if c.scene != "" && c.scene != scene.Name {
			continue
		}
		results := runPolicies(scene)
		writeTable(os.Stdout, results)
		if err := c.plotImbalance(results); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	if c.large {
		writeLarge(os.Stdout, c.seed)
	}
	return subcommands.ExitSuccess
}

// runPolicies runs a scenario once under each policy.
func runPolicies(scene mtscene.Scenario) []mtscene.Result {
	return []mtscene.Result{
		mtscene.Run(scene, mtplan.NewRendezvous()),
		mtscene.Run(scene, mtplan.NewBounded()),
		mtscene.Run(scene, mtplan.NewPlanner()),
	}
}

// writeTable prints the results of one scenario, one row per policy.
func writeTable(out io.Writer, results []mtscene.Result) {
	fmt.Fprintf(out, "\n%s (hottest key alone: %.2f of a server's mean)\n", results[0].Scenario, results[0].Floor)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\timbalance\tp99\tover 1.15\tlongest\tchurn/min\tmoves\treturns\tunavailable/min\tshed\tsplits\tmerges\tshards\treports B/s\tpeak\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.1f %%\t%v\t%.2f %%\t%d\t%d\t%v\t%.2f %%\t%d\t%d\t%d\t%.0f\t%.0f\t\n",
			r.Policy, r.Mean, r.P99, 100*r.Over, r.Longest, 100*r.Churn, r.Moves, r.Returns,
			r.Unavailable.Round(10*time.Microsecond), 100*r.Shed, r.Splits, r.Merges, r.Shards, r.ReportRate, r.ReportPeak)
	}
	w.Flush()
}

// timedPolicy measures the wall time of each planning round of a policy.
type timedPolicy struct {
	mtplan.Policy
	rounds   int
	sum, max time.Duration
}

// Plan implements mtplan.Policy.
func (t *timedPolicy) Plan(now mtclock.Instant, state *mtplan.State) mtplan.Plan {
	start := time.Now()
	plan := t.Policy.Plan(now, state)
	spent := time.Since(start)
	t.rounds++
	t.sum += spent
	t.max = max(t.max, spent)
	return plan
}

// largeChunks lists the numbers of chunks that the largest fleet is run with.
var largeChunks = []int{4, 64, 256}

// writeLarge runs the planner on the largest fleet, under load with each number
// of chunks and at rest, and prints its figures.
func writeLarge(out io.Writer, seed uint64) {
	for _, chunks := range largeChunks {
		writeFleetFigures(out, mtscene.Fleet480(seed, chunks))
	}
	writeFleetFigures(out, mtscene.Rest480(seed, largeChunks[len(largeChunks)-1]))
}

func writeFleetFigures(out io.Writer, scene mtscene.Scenario) {
	policy := &timedPolicy{Policy: mtplan.NewPlanner()}
	r := mtscene.Run(scene, policy)
	writeTable(out, []mtscene.Result{r})
	mean := policy.sum / time.Duration(policy.rounds)
	measured := time.Duration(len(r.Series))*time.Second - scene.WarmTime()
	writes := float64(r.Writes) / measured.Seconds()
	batches := float64(r.Batches) / measured.Seconds()
	fmt.Fprintf(out, "planning: %d rounds, mean %v, longest %v of wall time\n",
		policy.rounds, mean.Round(time.Microsecond), policy.max.Round(time.Microsecond))
	fmt.Fprintf(out, "tables: %.0f bytes a chunk, %.0f a step; %.2f writes/s: a watching daemon reads %.0f B/s, any other %.0f B/s of steps\n",
		r.ChunkBytes, r.StepBytes, writes, writes*r.ChunkBytes, writes*r.StepBytes)
	fmt.Fprintf(out, "with an owner's moves of a second in one write per chunk: %.2f writes/s, a watching daemon reads %.0f B/s\n",
		batches, batches*r.ChunkBytes)
}
