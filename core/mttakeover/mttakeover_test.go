package mttakeover_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mttakeover"
	"magnoliaturn/core/mtwitness"
)

const start = mtclock.Instant(time.Hour)

var (
	lost = mtid.Holder{Daemon: "lost", Incarnation: 3}
	w1   = mtid.Holder{Daemon: "w1", Incarnation: 1}
	w2   = mtid.Holder{Daemon: "w2", Incarnation: 1}
	w3   = mtid.Holder{Daemon: "w3", Incarnation: 1}
)

func lostRecord() *mtroster.Record {
	return &mtroster.Record{
		Holder: lost, Revoked: 3, Witnesses: []mtid.Holder{w1, w2, w3},
		Offers: []mtroster.Offer{{Service: modelRef}},
	}
}

var (
	granted = mtwitness.Reply{Granted: true}
	busy    = mtwitness.Reply{Wait: 300 * time.Millisecond}
)

func TestNoWriteBeforeMajority(t *testing.T) {
	tk := mttakeover.New(lostRecord(), 7)
	step := tk.Next(start)
	assert.Equal(t, step.Kind, mttakeover.Ask)
	assert.DeepEqual(t, step.Witnesses, []mtid.Holder{w1, w2, w3})
	tk.Replied(start, tk.Request(w1), granted)
	tk.Replied(start, tk.Request(w1), granted)
	tk.Replied(start, tk.Request(w2), busy)
	tk.Failed(start, tk.Request(w3))
	step = tk.Next(start)
	assert.Equal(t, step.Kind, mttakeover.Wait)
	assert.Equal(t, step.Wait, 200*time.Millisecond)
	step = tk.Next(start.Add(busy.Wait))
	assert.DeepEqual(t, step.Witnesses, []mtid.Holder{w2, w3})
	tk.Replied(start.Add(busy.Wait), tk.Request(w2), granted)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Write)
	assert.Equal(t, tk.Revoked(mtroster.Stamp{}).Revoked, lost.Incarnation+1)
}

// A witness agrees for one version of the record, the holder moves on to the
// next, and only then do the replies come in. They allow nothing any more: the
// same witnesses may have promised again.
func TestRepliesForEarlierVersionDoNotCount(t *testing.T) {
	tk := mttakeover.New(lostRecord(), 7)
	tk.Next(start)
	first, second := tk.Request(w1), tk.Request(w2)
	tk.Replied(start, first, granted)
	tk.Seen(lostRecord(), 8)
	tk.Replied(start, second, granted)
	tk.Replied(start, first, granted)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Ask)
	tk.Replied(start, tk.Request(w2), granted)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Wait, "the first agreed for the earlier version")
	tk.Replied(start, tk.Request(w3), granted)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Write)
}

// The answer of the write was lost, and the record still shows the version that
// it expected. The write may land late, so the taker has to write again.
func TestWriteInDoubtIsWrittenAgain(t *testing.T) {
	tk := mttakeover.New(lostRecord(), 7)
	tk.Next(start)
	tk.Replied(start, tk.Request(w1), granted)
	tk.Replied(start, tk.Request(w3), granted)
	tk.Seen(lostRecord(), 7)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Write)
	tk.Seen(tk.Revoked(mtroster.Stamp{}), 8)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Done)
}

// A daemon is lost together with two of its witnesses, and none comes back. Both
// are fenced in time, and then count as having agreed; the third is asked.
func TestSilentWitnessesCountAsAgreed(t *testing.T) {
	tk := mttakeover.New(lostRecord(), 7)
	tk.Silent(w1)
	step := tk.Next(start)
	assert.DeepEqual(t, step.Witnesses, []mtid.Holder{w2, w3})
	tk.Seen(lostRecord(), 8)
	tk.Silent(w2)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Write, "under any version")
}

// A witness is fenced and lives on, cut off together with the holder. It gives
// its last promise when its Vouch ends. The holder counts that with a slow
// clock, the taker waits with a fast one, and must still be the later of both.
func TestSilenceOutlastsTheLastPromise(t *testing.T) {
	fast := int64(mtlease.Silence) * mtlease.DriftShare / (mtlease.DriftShare + 1)
	assert.Assert(t, fast >= int64(mtlease.Vouch+mtlease.Length))
	var f mttakeover.Fences
	f.Note(start, &mtroster.Record{Holder: w1, Revoked: 2})
	f.Note(start.Add(time.Second), &mtroster.Record{Holder: w1, Revoked: 2})
	next := mtid.Holder{Daemon: "w1", Incarnation: 2}
	assert.Assert(t, !f.Silent(start.Add(mtlease.Silence-1), w1))
	assert.Assert(t, f.Silent(start.Add(mtlease.Silence), w1))
	assert.Assert(t, !f.Silent(start.Add(mtlease.Silence), next), "the next life stands")
	assert.Assert(t, !f.Silent(start.Add(mtlease.Silence), w2), "nothing is known of another")
}

func TestNewerLifeNeedsNoTakeover(t *testing.T) {
	tk := mttakeover.New(lostRecord(), 7)
	next := lostRecord()
	next.Holder.Incarnation, next.Revoked = 4, 4
	tk.Seen(next, 9)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Done)
}

func TestTurnPrefersLivingWitnesses(t *testing.T) {
	roster := mttakeover.Roster{"lost": lostRecord()}
	for i := range 20 {
		h := mtid.Holder{Daemon: mtid.Daemon(fmt.Sprintf("d%d", i)), Incarnation: 1}
		roster[h.Daemon] = &mtroster.Record{Holder: h}
	}
	roster["w1"] = &mtroster.Record{Holder: w1, Revoked: 2}
	roster["w2"] = &mtroster.Record{Holder: mtid.Holder{Daemon: "w2", Incarnation: 2}}
	ready := func() (delays map[mtid.Daemon]time.Duration) {
		delays = make(map[mtid.Daemon]time.Duration)
		for d := range roster {
			if delay, ok := mttakeover.Turn(d, roster["lost"], roster); ok {
				delays[d] = delay
			}
		}
		return delays
	}
	assert.DeepEqual(t, ready(), map[mtid.Daemon]time.Duration{"w2": 0})
	delete(roster, "w2")
	got := ready()
	assert.Equal(t, len(got), 3)
	for d := range got {
		assert.Assert(t, d != "lost" && d != "w1")
	}
}

func TestFailoverGivesToLiveOffering(t *testing.T) {
	table, err := mtshard.New(modelRef, 0, 1).Apply(mtroster.Stamp{}, mtshard.Create{Shards: 8, Holders: []mtid.Holder{lost, w1}})
	assert.NilError(t, err)
	offers := []mtroster.Offer{{Service: modelRef}}
	fenced := lostRecord()
	fenced.Revoked = 4
	roster := mttakeover.Roster{
		"w1":      {Holder: w1, Offers: offers},
		"leaving": {Holder: mtid.Holder{Daemon: "leaving", Incarnation: 1}, Offers: offers, State: mtroster.Leaving},
		"other":   {Holder: mtid.Holder{Daemon: "other", Incarnation: 1}},
	}
	_, due := mttakeover.Failover(table, roster)
	assert.Assert(t, !due, "a daemon without a known record isn't lost")
	roster["lost"] = lostRecord()
	_, due = mttakeover.Failover(table, roster)
	assert.Assert(t, !due, "nor is one whose life stands")
	roster["lost"] = fenced
	op, due := mttakeover.Failover(table, roster)
	assert.Assert(t, due)
	assert.DeepEqual(t, op, mtshard.Failover{Lost: []mtid.Holder{lost}, Survivors: []mtid.Holder{w1}})
	gone := lostRecord()
	gone.State = mtroster.Gone
	roster["lost"] = gone
	op, due = mttakeover.Failover(table, roster)
	assert.Assert(t, due, "one that left in order owns nothing")
	assert.DeepEqual(t, op.Lost, []mtid.Holder{lost})
	delete(roster, "w1")
	_, due = mttakeover.Failover(table, roster)
	assert.Assert(t, !due, "nobody can take over yet")
}

// Several hundred daemons are lost at once. Their takeovers must not come at
// once, and those under load must not wait behind idle ones.
func TestQueueSpreadsAndTakesHottestFirst(t *testing.T) {
	q := mttakeover.Queue{Every: 100 * time.Millisecond, Burst: 4}
	for i := range 300 {
		q.Push(mtid.Holder{Daemon: mtid.Daemon(fmt.Sprint(i)), Incarnation: 1}, float64(i))
	}
	q.Push(mtid.Holder{Daemon: "0", Incarnation: 1}, 1000)
	var order []mtid.Holder
	for now := start; q.Len() > 0; now = now.Add(10 * time.Millisecond) {
		for {
			h, ok := q.Pop(now)
			if !ok {
				break
			}
			order = append(order, h)
		}
		allowed := 4 + int(now.Sub(start)/(100*time.Millisecond))
		assert.Assert(t, len(order) <= allowed, "%d started, %d allowed", len(order), allowed)
	}
	assert.Equal(t, len(order), 300)
	assert.Equal(t, order[0].Daemon, mtid.Daemon("0"))
	assert.Equal(t, order[1].Daemon, mtid.Daemon("299"))
	assert.Equal(t, order[299].Daemon, mtid.Daemon("1"))
}

// BenchmarkNoteFleet is what a daemon of a fleet of 480 does 20 times a second
// to know since when others are fenced.
func BenchmarkNoteFleet(b *testing.B) {
	var records []*mtroster.Record
	for i := range 480 {
		h := mtid.Holder{Daemon: mtid.Daemon(fmt.Sprintf("old-town-%d", i)), Incarnation: 1}
		records = append(records, &mtroster.Record{Holder: h, Revoked: 1})
	}
	var f mttakeover.Fences
	for b.Loop() {
		for _, r := range records {
			f.Note(start, r)
		}
	}
}
