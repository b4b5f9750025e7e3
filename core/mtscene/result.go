package mtscene

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtshard"
)

// recordSecond adds the current second to the result.
func (r *run[P]) recordSecond() {
	loads := make([]float64, len(r.scenario.Servers))
	var total, capacity float64
	for _, s := range r.shardLoads {
		total += s.load
		if i, ok := r.serverIndex[s.shard.Owner]; ok {
			loads[i] += s.load
		}
	}
	servers := 0
	for i := range loads {
		if r.states[i] == serving {
			capacity += r.slots(i)
			servers++
		}
	}
	mean := total / capacity
	worst, shed := 0.0, 0.0
	for i, load := range loads {
		if r.states[i] != serving {
			continue
		}
		worst = max(worst, load/r.slots(i)/mean)
		shed += max(0, load-r.slots(i))
	}
	r.result.Series = append(r.result.Series, worst)
	if !r.warmedUp() {
		return
	}
	r.totals.load += total
	r.totals.shed += shed
	r.totals.floors = append(r.totals.floors, slices.Max(r.load)/(total/float64(servers)))
}

func (r *run[P]) addUnavailable(load float64, pause time.Duration) {
	if r.warmedUp() {
		r.totals.unavailable += load * pause.Seconds()
	}
}

// buildResult computes the result from the totals.
func (r *run[P]) buildResult() Result {
	result := &r.result
	result.Scenario, result.Policy = r.scenario.Name, r.policy.Name()
	measured := result.Series[int(r.scenario.WarmTime()/time.Second):]
	result.Mean = average(measured)
	sorted := slices.Sorted(slices.Values(measured))
	result.P99 = sorted[len(sorted)*99/100]
	result.Floor = average(r.totals.floors)
	result.Over, result.Longest = above(measured, TargetImbalance)
	seconds := float64(len(measured))
	result.Churn = r.totals.moved / r.totals.load * time.Minute.Seconds()
	result.Unavailable = time.Duration(r.totals.unavailable / r.totals.load * float64(time.Minute))
	result.Shed = r.totals.shed / r.totals.load
	for _, t := range r.tables {
		result.Shards += len(t.Shards)
	}
	result.ChunkBytes, result.StepBytes = sizes(r.tables)
	counted := r.totals.perMinute[int(r.scenario.WarmTime()/time.Minute):]
	for _, bytes := range counted {
		result.ReportRate += bytes / seconds
		result.ReportPeak = max(result.ReportPeak, bytes/time.Minute.Seconds())
	}
	return *result
}

// sizes returns the mean size of a stored chunk and of a step in bytes.
func sizes(tables []*mtshard.Table) (chunk, step float64) {
	steps := 0
	for _, t := range tables {
		value, err := t.Encode()
		if err != nil {
			continue
		}
		chunk += float64(len(value)) / float64(len(tables))
		for _, w := range mtshard.WireSteps(t.Steps) {
			if w.GetVersion() > 1 {
				step += float64(proto.Size(w))
				steps++
			}
		}
	}
	return chunk, step / float64(max(1, steps))
}

func average(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// above returns the share of seconds above a bound, and the longest continuous
// period above it.
func above(series []float64, bound float64) (float64, time.Duration) {
	count, stretch, longest := 0, 0, 0
	for _, v := range series {
		if v <= bound {
			stretch = 0
			continue
		}
		count++
		stretch++
		longest = max(longest, stretch)
	}
	return float64(count) / float64(len(series)), time.Duration(longest) * time.Second
}
