package mtmember_test

import (
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
)

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// pairingTime is how long daemons that chose their witnesses at the same time need
// to find mutual ones.
const pairingTime = 45 * time.Second

// BenchmarkRest measures idle fleets that only renew their leases. It reports per
// daemon the traffic in both directions including headers, the CPU time, and the
// store calls. Run it with -benchtime 1x; REST_SECONDS sets the duration of a run.
func BenchmarkRest(b *testing.B) {
	seconds, err := strconv.Atoi(os.Getenv("REST_SECONDS"))
	if err != nil {
		seconds = 10
	}
	for _, n := range []int{6, 12, 24} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				benchmarkIdle(b, n, time.Duration(seconds)*time.Second)
			}
		})
	}
}

// traffic returns the total messages and bytes of a fleet in both directions.
func traffic(f *fleet) (messages, bytes int64) {
	for _, n := range f.nodes {
		c := n.renewer.Counters()
		messages += c.SentMessages.Value() + c.ReceivedMessages.Value()
		bytes += c.SentBytes.Value() + c.ReceivedBytes.Value()
	}
	return messages, bytes
}

func benchmarkIdle(b *testing.B, n int, span time.Duration) {
	f := newFleet(b, n)
	f.waitSettled()
	started, startedWrites := f.store.calls()
	time.Sleep(pairingTime)
	reads0, writes0 := f.store.calls()
	messages0, bytes0 := traffic(f)
	used0 := processorTime()
	time.Sleep(span)
	used := processorTime() - used0
	messages, bytes := traffic(f)
	reads, writes := f.store.calls()
	each := float64(n) * span.Seconds()
	b.ReportMetric(float64(messages-messages0)/each, "messages/s/daemon")
	b.ReportMetric(float64(bytes-bytes0)/each, "bytes/s/daemon")
	b.ReportMetric(used.Seconds()/each*100, "%core/daemon")
	b.ReportMetric(float64(reads-reads0+writes-writes0), "store-calls")
	b.ReportMetric(float64(started+startedWrites)/float64(n), "store-calls/start")
	b.ReportMetric(float64(reads0-started+writes0-startedWrites)/float64(n), "store-calls/pairing")
	b.ReportMetric(0, "ns/op")
	for _, node := range f.nodes {
		node.stop()
	}
	runtime.GC()
}

// BenchmarkRecovery measures the time from the loss of a daemon until the stored
// table names other owners for all its shards, and the store calls that this takes.
// Each iteration is one loss: -benchtime 200x measures 200 of them, on four fleets
// of six daemons in parallel.
func BenchmarkRecovery(b *testing.B) {
	const fleets = 4
	var mu sync.Mutex
	var times []time.Duration
	var calls, restartCalls int
	left := make(chan struct{}, b.N)
	for range b.N {
		left <- struct{}{}
	}
	close(left)
	var done sync.WaitGroup
	for i := range fleets {
		f := newFleet(b, 6)
		f.waitSettled()
		f.store.create(b, 48)
		done.Go(func() {
			at := i
			for range left {
				lost := f.nodes[at%len(f.nodes)]
				at++
				took, spent, again := measureRecovery(f, lost, time.Duration(at%8)*50*time.Millisecond)
				mu.Lock()
				times = append(times, took)
				calls += spent
				restartCalls += again
				mu.Unlock()
			}
		})
	}
	done.Wait()
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds(), "s-median")
	b.ReportMetric(times[len(times)*99/100].Seconds(), "s-p99")
	b.ReportMetric(times[len(times)-1].Seconds(), "s-max")
	b.ReportMetric(float64(calls)/float64(len(times)), "store-calls/loss")
	b.ReportMetric(float64(restartCalls)/float64(len(times)), "store-calls/restart")
	b.ReportMetric(0, "ns/op")
}

// measureRecovery stops a daemon at the given phase of its renewal period, waits
// until its shards have other owners, and starts it again.
func measureRecovery(f *fleet, lost *node, phase time.Duration) (took time.Duration, calls, restartCalls int) {
	time.Sleep(phase)
	holder := lost.member.Holder()
	reads0, writes0 := f.store.calls()
	begin := time.Now()
	lost.stop()
	for f.owns(holder) {
		time.Sleep(2 * time.Millisecond)
	}
	took = time.Since(begin)
	time.Sleep(time.Second)
	reads1, writes1 := f.store.calls()
	f.start(lost)
	f.waitSettled()
	reassignShards(f, lost)
	reads2, writes2 := f.store.calls()
	return took, reads1 - reads0 + writes1 - writes0, reads2 - reads1 + writes2 - writes1 - 1
}

// reassignShards moves some shards to a restarted daemon, so that there are shards to
// recover when it is lost again.
func reassignShards(f *fleet, n *node) {
	for {
		table := f.store.Tables()[0]
		var ops []mtshard.Op
		for _, s := range table.Shards[:8] {
			ops = append(ops, mtshard.Move{Low: s.Low, To: n.member.Holder()})
		}
		next, err := table.Apply(mtroster.WriteID{}, ops...)
		if err != nil {
			panic(err)
		}
		value, err := next.Encode()
		if err != nil {
			panic(err)
		}
		if _, err := f.store.Swap(f.t.Context(), mtstore.ShardName(ref, 0), table.Version, value, ""); err == nil {
			return
		}
	}
}

// BenchmarkMassLoss measures the simultaneous loss of half of a fleet: the time
// until no lost daemon owns a shard, and the store calls that this takes.
func BenchmarkMassLoss(b *testing.B) {
	for _, n := range []int{12, 24, 48} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				benchmarkMassLoss(b, n)
			}
		})
	}
}

func benchmarkMassLoss(b *testing.B, n int) {
	f := newFleet(b, n)
	f.waitSettled()
	f.store.create(b, 8*n)
	var holders []mtid.Holder
	before := sumCounters(f)
	begin := time.Now()
	var stops sync.WaitGroup
	for i, node := range f.nodes {
		// A whole availability zone, and another sixth of the fleet.
		if i%3 == 0 || i%6 == 1 {
			holders = append(holders, node.member.Holder())
			stops.Go(node.stop)
		}
	}
	stops.Wait()
	unrecovered := func() int {
		count := 0
		for _, h := range holders {
			if f.owns(h) {
				count++
			}
		}
		return count
	}
	for unrecovered() > 0 && time.Since(begin) < time.Minute {
		time.Sleep(5 * time.Millisecond)
	}
	took := time.Since(begin)
	after := sumCounters(f)
	for what := range after {
		b.ReportMetric(float64(after[what]-before[what])/float64(len(holders)), what+"/loss")
	}
	b.ReportMetric(took.Seconds(), "s")
	b.ReportMetric(float64(len(holders)), "lost")
	b.ReportMetric(float64(unrecovered()), "lost-still-owning")
	b.ReportMetric(0, "ns/op")
}

// sumCounters returns the totals of the counters of all members of a fleet.
func sumCounters(f *fleet) map[string]int64 {
	sum := make(map[string]int64)
	for _, n := range f.nodes {
		c := n.member.Counters()
		sum["reads"] += c.StoreReads.Value()
		sum["writes"] += c.StoreWrites.Value()
		sum["conflicts"] += c.StoreConflicts.Value()
		sum["set-changes"] += c.SetChanges.Value()
		sum["revoked"] += c.Takeovers.Value()
		sum["chunks"] += c.Failovers.Value()
	}
	return sum
}
