// Command soak runs the real program as processes under random faults and checks
// the results that callers and backend servers observe; see package platform/soak.
//
// # Usage
//
//	go build -o target/magnoliaturn ./cmd/magnoliaturn
//	go run ./cmd/soak -program target/magnoliaturn -seed 1 -runs 10 -time 20s
//
// It exits with 1 if a guarantee was violated or the fleet did not recover, and
// prints the seed, the violations and the injected faults of that run.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"magnoliaturn/platform/soak"
)

func main() {
	program := flag.String("program", "target/magnoliaturn", "the built program")
	former := flag.String("former", "", "with -endings, the program that runs until everything is lost; that of -program if empty")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano())%1_000_000, "the first seed")
	runs := flag.Int("runs", 1, "how many seeds, one after the other")
	faultPeriod := flag.Duration("time", 20*time.Second, "how long faults are injected in each run")
	vms := flag.Int("vms", 6, "how many VMs")
	logs := flag.String("logs", "", "directory for the logs of the daemons")
	zones := flag.Bool("zones", true, "take zones out of service, with servers that are cold")
	late := flag.Bool("late", true, "servers execute grants late, while their daemons are killed")
	signals := flag.Bool("signals", true, "servers name rate limits, and leave, by their answers")
	stops := flag.Bool("stops", true, "stop daemons by series of SIGTERMs that overlap, under pipelined callers")
	crashes := flag.Bool("crashes", true, "requests crash the servers that run them, and servers cut answers and live")
	stepBacks := flag.Bool("stepbacks", true, "the store comes back from older copies")
	configs := flag.Bool("configs", true, "the configuration is replaced by small and large ones")
	overload := flag.Bool("overload", true, "the policies for overload are on")
	planned := flag.Bool("planned", false, "inject no faults but those of the options")
	endings := flag.Bool("endings", false, "everything is lost at the end of each run")
	play := flag.String("play", "", "with -endings, the kind of ending: "+strings.Join(soak.Plays(), ", ")+"; any of them if empty")
	flag.Parse()
	failed := 0
	for i := range uint64(*runs) {
		config := soak.Config{Program: *program, Former: *former, Seed: *seed + i, FaultPeriod: *faultPeriod, VMs: *vms, Zones: *zones, LateGrants: *late, Signals: *signals, Stops: *stops, Crashes: *crashes, StepBacks: *stepBacks, Configs: *configs, Overload: *overload, Planned: *planned, Logs: *logs}
		if *endings {
			ending := soak.DrawEnding(config.Seed)
			if *play != "" {
				var known bool
				if ending, known = soak.DrawPlay(*play, config.Seed); !known {
					fmt.Println("no such play:", *play)
					os.Exit(2)
				}
			}
			if *former != "" {
				ending.Foreign.Within = 0 // keys that it gave to another writer's record wait for what it may have granted
			}
			config.Ending = &ending
		}
		result, err := soak.Run(context.Background(), config)
		if !report(config.Seed, result, err) {
			failed++
		}
	}
	fmt.Printf("%d of %d runs broken\n", failed, *runs)
	if failed > 0 {
		os.Exit(1)
	}
}

// report prints the result of a run and reports whether it passed: the fleet
// recovered and no guarantee was violated.
func report(seed uint64, result *soak.Result, err error) bool {
	if result == nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d served, %d refused, %d failed, %d faults injected, recovered in %s\n",
		seed, result.Served, result.Refused, result.Failed, len(result.Injected), result.RecoveryTime.Round(time.Millisecond))
	if result.Recovery != nil {
		fmt.Printf("  %s\n", result.Recovery)
	}
	for _, c := range result.CrashCounts {
		fmt.Printf("  %s crashed %d servers, %d of them late\n", c.Path, c.Crashes, c.Late)
	}
	if result.Barred > 0 {
		fmt.Printf("  %d harmless requests were taken for the cause of crashes\n", result.Barred)
	}
	if result.Pipelined > 0 {
		fmt.Printf("  %d pipelined requests ended\n", result.Pipelined)
	}
	for _, excuse := range slices.Sorted(maps.Keys(result.Excused)) {
		fmt.Printf("  %6d excused: %s\n", result.Excused[excuse], excuse)
	}
	if err == nil && len(result.Violations) == 0 {
		return true
	}
	if err != nil {
		fmt.Println("  ", err)
	}
	for _, violation := range result.Violations {
		fmt.Println("  broken:", violation)
	}
	for _, fault := range result.Injected {
		fmt.Println("  injected:", fault)
	}
	return false
}
