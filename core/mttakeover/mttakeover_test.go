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
		Holder: lost, RevokedBelow: 3, Witnesses: []mtid.Holder{w1, w2, w3},
		Offers: []mtroster.Offer{{Service: modelRef}},
	}
}

var (
	granted       = mtwitness.Reply{Granted: true}
	stillPromised = mtwitness.Reply{Wait: 300 * time.Millisecond}
)

func TestNoWriteBeforeMajority(t *testing.T) {
	tk := mttakeover.New(lostRecord(), 7)
	step := tk.Next(start)
	assert.Equal(t, step.Kind, mttakeover.Ask)
	assert.DeepEqual(t, step.Witnesses, []mtid.Holder{w1, w2, w3})
	tk.Replied(start, tk.Request(w1), granted)
	tk.Replied(start, tk.Request(w1), granted)
	tk.Replied(start, tk.Request(w2), stillPromised)
	tk.Failed(start, tk.Request(w3))
	step = tk.Next(start)
	assert.Equal(t, step.Kind, mttakeover.Wait)
	assert.Equal(t, step.Wait, 200*time.Millisecond)
	step = tk.Next(start.Add(stillPromised.Wait))
	assert.DeepEqual(t, step.Witnesses, []mtid.Holder{w2, w3})
	tk.Replied(start.Add(stillPromised.Wait), tk.Request(w2), granted)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Write)
	assert.Equal(t, tk.RevokedRecord(mtroster.WriteID{}).RevokedBelow, lost.Incarnation+1)
}

// Witnesses agree to revoke one version of the record, but their replies arrive
// after the holder has written the next version. The replies must not count: the
// same witnesses may have renewed their promises under the new version.
func TestRepliesForEarlierVersionDoNotCount(t *testing.T) {
	tk := mttakeover.New(lostRecord(), 7)
	tk.Next(start)
	first, second := tk.Request(w1), tk.Request(w2)
	tk.Replied(start, first, granted)
	tk.Observe(lostRecord(), 8)
	tk.Replied(start, second, granted)
	tk.Replied(start, first, granted)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Ask)
	tk.Replied(start, tk.Request(w2), granted)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Wait, "w1 agreed only for the earlier version")
	tk.Replied(start, tk.Request(w3), granted)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Write)
}

// The store's reply to a write is lost, and the record still has the version that
// the write expected. The write may take effect later, so the claimant must write
// again.
func TestWriteWithUnknownOutcomeIsRepeated(t *testing.T) {
	tk := mttakeover.New(lostRecord(), 7)
	tk.Next(start)
	tk.Replied(start, tk.Request(w1), granted)
	tk.Replied(start, tk.Request(w3), granted)
	tk.Observe(lostRecord(), 7)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Write)
	tk.Observe(tk.RevokedRecord(mtroster.WriteID{}), 8)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Done)
}

// A daemon and two of its witnesses are lost for good. Once both witnesses have
// been fenced for long enough they count as having agreed. Only the third still
// gets a request.
func TestExpiredWitnessesCountAsAgreed(t *testing.T) {
	tk := mttakeover.New(lostRecord(), 7)
	tk.CountAsAgreed(w1)
	step := tk.Next(start)
	assert.DeepEqual(t, step.Witnesses, []mtid.Holder{w2, w3})
	tk.Observe(lostRecord(), 8)
	tk.CountAsAgreed(w2)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Write, "an expired witness counts under any version")
}

// A fenced witness keeps running, partitioned off together with the holder. It can
// make its last promise until its incarnation's confirmation expires. The claimant
// must still wait until that promise has ended, even if the holder's clock is slow
// and its own clock is fast.
func TestFencedExpiryOutlastsLastPromise(t *testing.T) {
	fast := int64(mtlease.FencedExpiry) * mtlease.DriftShare / (mtlease.DriftShare + 1)
	assert.Assert(t, fast >= int64(mtlease.ConfirmationTTL+mtlease.Length))
	var f mttakeover.Fences
	f.Note(start, &mtroster.Record{Holder: w1, RevokedBelow: 2})
	f.Note(start.Add(time.Second), &mtroster.Record{Holder: w1, RevokedBelow: 2})
	next := mtid.Holder{Daemon: "w1", Incarnation: 2}
	assert.Assert(t, !f.PromisesExpired(start.Add(mtlease.FencedExpiry-1), w1))
	assert.Assert(t, f.PromisesExpired(start.Add(mtlease.FencedExpiry), w1))
	assert.Assert(t, !f.PromisesExpired(start.Add(mtlease.FencedExpiry), next), "the next incarnation is not fenced")
	assert.Assert(t, !f.PromisesExpired(start.Add(mtlease.FencedExpiry), w2), "no revocation of w2 was observed")
}

func TestNewerIncarnationNeedsNoTakeover(t *testing.T) {
	tk := mttakeover.New(lostRecord(), 7)
	next := lostRecord()
	next.Holder.Incarnation, next.RevokedBelow = 4, 4
	tk.Observe(next, 9)
	assert.Equal(t, tk.Next(start).Kind, mttakeover.Done)
}

func TestTakeoverDelayPrefersLiveWitnesses(t *testing.T) {
	roster := mttakeover.Roster{"lost": lostRecord()}
	for i := range 20 {
		h := mtid.Holder{Daemon: mtid.Daemon(fmt.Sprintf("d%d", i)), Incarnation: 1}
		roster[h.Daemon] = &mtroster.Record{Holder: h}
	}
	roster["w1"] = &mtroster.Record{Holder: w1, RevokedBelow: 2}
	roster["w2"] = &mtroster.Record{Holder: mtid.Holder{Daemon: "w2", Incarnation: 2}}
	allDelays := func() (delays map[mtid.Daemon]time.Duration) {
		delays = make(map[mtid.Daemon]time.Duration)
		for d := range roster {
			if delay, ok := mttakeover.StartDelay(d, roster["lost"], roster); ok {
				delays[d] = delay
			}
		}
		return delays
	}
	assert.DeepEqual(t, allDelays(), map[mtid.Daemon]time.Duration{"w2": 0})
	delete(roster, "w2")
	got := allDelays()
	assert.Equal(t, len(got), 3)
	for d := range got {
		assert.Assert(t, d != "lost" && d != "w1")
	}
}

func TestFailoverAssignsToLiveDaemonsOfferingTheService(t *testing.T) {
	table, err := mtshard.New(modelRef, 0, 1).Apply(mtroster.WriteID{}, mtshard.Create{Shards: 8, Holders: []mtid.Holder{lost, w1}})
	assert.NilError(t, err)
	offers := []mtroster.Offer{{Service: modelRef}}
	fenced := lostRecord()
	fenced.RevokedBelow = 4
	roster := mttakeover.Roster{
		"w1":      {Holder: w1, Offers: offers},
		"leaving": {Holder: mtid.Holder{Daemon: "leaving", Incarnation: 1}, Offers: offers, State: mtroster.Leaving},
		"other":   {Holder: mtid.Holder{Daemon: "other", Incarnation: 1}},
	}
	_, due := mttakeover.Failover(table, roster)
	assert.Assert(t, !due, "a daemon without a known record does not count as fenced")
	roster["lost"] = lostRecord()
	_, due = mttakeover.Failover(table, roster)
	assert.Assert(t, !due, "the current incarnation is not fenced")
	roster["lost"] = fenced
	op, due := mttakeover.Failover(table, roster)
	assert.Assert(t, due)
	assert.DeepEqual(t, op, mtshard.Failover{Lost: []mtid.Holder{lost}, Survivors: []mtid.Holder{w1}})
	shutDown := lostRecord()
	shutDown.State = mtroster.Gone
	roster["lost"] = shutDown
	op, due = mttakeover.Failover(table, roster)
	assert.Assert(t, due, "a daemon that shut down cleanly keeps no shards")
	assert.DeepEqual(t, op.Lost, []mtid.Holder{lost})
	delete(roster, "w1")
	_, due = mttakeover.Failover(table, roster)
	assert.Assert(t, !due, "no live daemon offers the service")
}

// Several hundred daemons are lost at once. Their takeovers must not all start at
// once, and daemons with load must not queue behind idle ones.
func TestQueueLimitsRateAndOrdersByLoad(t *testing.T) {
	q := mttakeover.Queue{Interval: 100 * time.Millisecond, Burst: 4}
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

// BenchmarkNoteFleet measures the scan of all records that a daemon in a fleet of
// 480 makes 20 times a second to track when others were fenced.
func BenchmarkNoteFleet(b *testing.B) {
	var records []*mtroster.Record
	for i := range 480 {
		h := mtid.Holder{Daemon: mtid.Daemon(fmt.Sprintf("old-town-%d", i)), Incarnation: 1}
		records = append(records, &mtroster.Record{Holder: h, RevokedBelow: 1})
	}
	var f mttakeover.Fences
	for b.Loop() {
		for _, r := range records {
			f.Note(start, r)
		}
	}
}
