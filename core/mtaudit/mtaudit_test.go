package mtaudit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtaudit"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// at returns the time that many milliseconds after the start of the run.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func begin(server string, run uint64, id mtaudit.ID, epoch mtid.Epoch, ms int) mtaudit.Event {
	return mtaudit.Event{
		Kind: mtaudit.Begin, At: at(ms), Server: server, Run: run, ID: id, Business: "ratins", Service: "dispatch",
		Key: "hotel-7", Class: "send", Epoch: epoch, Request: "ask",
	}
}

func end(server string, run uint64, ms int) mtaudit.Event {
	return mtaudit.Event{Kind: mtaudit.End, At: at(ms), Server: server, Run: run, Reply: "reply"}
}

func call(id mtaudit.ID, try, from, to int, outcome mtreply.Outcome) mtaudit.Call {
	c := mtaudit.Call{
		ID: id, Try: try, Business: "ratins", Service: "dispatch", Key: "hotel-7", Class: "send",
		Planned: at(from), Sent: at(from), Ended: at(to), Outcome: outcome, Request: "ask",
	}
	if outcome == mtreply.Answered {
		c.Reply, c.ReplyID = "reply", id
	}
	return c
}

// validRun returns the records of a run without violations: a key moves from one
// server to another, a refused request is retried, and a server is lost during a
// request.
func validRun() mtaudit.Input {
	return mtaudit.Input{
		Events: []mtaudit.Event{
			begin("a", 1, "r1", 1, 10), end("a", 1, 20),
			begin("b", 1, "r2", 2, 120), end("b", 1, 130),
			begin("b", 2, "r3", 2, 210),
		},
		Calls: []mtaudit.Call{
			call("r1", 1, 5, 25, mtreply.Answered),
			call("r2", 1, 100, 110, mtreply.NotRun),
			call("r2", 2, 115, 135, mtreply.Answered),
			call("r3", 1, 200, 300, mtreply.Unknown),
			call("r4", 1, 205, 310, mtreply.NotRun),
		},
	}
}

func TestValidRunHasNoFindings(t *testing.T) {
	report := mtaudit.Audit(validRun())
	assert.Equal(t, len(report.Findings), 0, "got %v", report.Findings)
	assert.Equal(t, report.Runs, 3)
	assert.Equal(t, report.Unfinished, 1)
	assert.Equal(t, report.Calls, 4)
	assert.Equal(t, report.Tries, 5)
}

// An audit that misses a violation is worthless. Each case adds one violation to a
// valid run, which must then be the only finding.
func TestEachViolationIsFound(t *testing.T) {
	tests := []struct {
		name   string
		modify func(in *mtaudit.Input)
		want   mtaudit.Kind
	}{
		{"overlapping runs on two servers", func(in *mtaudit.Input) { in.Events[1].At = at(121) }, mtaudit.TwoOwners},
		{"unfinished run on a server that keeps running", func(in *mtaudit.Input) {
			other, asked := begin("b", 3, "r5", 2, 209), call("r5", 1, 208, 230, mtreply.Answered)
			other.Key, asked.Key = "hotel-8", "hotel-8"
			in.Events = append(in.Events, begin("c", 1, "r4", 3, 215), end("c", 1, 216), other, end("b", 3, 220))
			in.Calls[4] = call("r4", 1, 205, 310, mtreply.Answered)
			in.Calls = append(in.Calls, asked)
		}, mtaudit.TwoOwners},
		{"previous owner keeps running requests", func(in *mtaudit.Input) {
			in.Events = append(in.Events, begin("a", 2, "r4", 1, 206), end("a", 2, 207))
			in.Calls[4] = call("r4", 1, 205, 310, mtreply.Answered)
		}, mtaudit.EpochBack},
		{"two servers share an epoch", func(in *mtaudit.Input) { in.Events[0].Epoch = 2 }, mtaudit.EpochShared},
		{"no epoch", func(in *mtaudit.Input) { in.Events[0].Epoch = 0 }, mtaudit.NoEpoch},
		{"non-idempotent request ran twice", func(in *mtaudit.Input) {
			in.Events = append(in.Events, begin("b", 3, "r2", 2, 131), end("b", 3, 132))
		}, mtaudit.Doubled},
		{"non-idempotent request ran twice, once unfinished", func(in *mtaudit.Input) {
			in.Events = append(in.Events, begin("b", 3, "r3", 2, 250), end("b", 3, 260))
		}, mtaudit.Doubled},
		{"request reported as not run ran", func(in *mtaudit.Input) {
			in.Events = append(in.Events, begin("b", 3, "r4", 2, 206), end("b", 3, 207))
		}, mtaudit.RanAnyway},
		{"request reported as not run ran much later", func(in *mtaudit.Input) {
			in.Events = append(in.Events, begin("b", 3, "r4", 2, 900), end("b", 3, 907))
		}, mtaudit.RanAnyway},
		{"ran before the try that was not refused was sent", func(in *mtaudit.Input) { in.Events[2].At = at(112) }, mtaudit.RanAnyway},
		{"ran again after its answer", func(in *mtaudit.Input) {
			in.Calls[0].Idempotent = true
			in.Events = append(in.Events, begin("b", 3, "r1", 2, 140), end("b", 3, 150))
		}, mtaudit.RanAnyway},
		{"request that no caller sent", func(in *mtaudit.Input) {
			in.Events = append(in.Events, begin("b", 3, "r9", 2, 206), end("b", 3, 207))
		}, mtaudit.NotSent},
		{"truncated request body", func(in *mtaudit.Input) { in.Events[0].Request = "as" }, mtaudit.WrongAsk},
		{"request for another key", func(in *mtaudit.Input) { in.Calls[0].Key = "hotel-8" }, mtaudit.WrongAsk},
		{"request of another class", func(in *mtaudit.Input) { in.Calls[0].Class = "status" }, mtaudit.WrongAsk},
		{"truncated answer", func(in *mtaudit.Input) { in.Calls[0].Reply = "rep" }, mtaudit.WrongAnswer},
		{"empty answer", func(in *mtaudit.Input) { in.Calls[0].Reply, in.Events[1].Reply = "", "" }, mtaudit.WrongAnswer},
		{"reply to another request", func(in *mtaudit.Input) { in.Calls[0].ReplyID = "r2" }, mtaudit.WrongAnswer},
		{"answer of an unfinished run", func(in *mtaudit.Input) {
			in.Calls[3] = call("r3", 1, 200, 300, mtreply.Answered)
		}, mtaudit.WrongAnswer},
		{"answer without a run", func(in *mtaudit.Input) {
			in.Calls[4] = call("r4", 1, 205, 310, mtreply.Answered)
		}, mtaudit.NoRun},
		{"begun twice", func(in *mtaudit.Input) { in.Events = append(in.Events, begin("b", 2, "r3", 2, 211)) }, mtaudit.BadJournal},
		{"ended twice", func(in *mtaudit.Input) { in.Events = append(in.Events, end("a", 1, 22)) }, mtaudit.BadJournal},
		{"end without begin", func(in *mtaudit.Input) { in.Events = append(in.Events, end("a", 7, 22)) }, mtaudit.BadJournal},
		{"event of unknown kind", func(in *mtaudit.Input) { in.Events = append(in.Events, mtaudit.Event{Kind: "x"}) }, mtaudit.BadJournal},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := validRun()
			tt.modify(&in)
			report := mtaudit.Audit(in)
			assert.Equal(t, len(report.Findings), 1, "got %v", report.Findings)
			assert.Equal(t, report.Findings[0].Kind, tt.want)
		})
	}
}

func TestPermittedBehaviorHasNoFindings(t *testing.T) {
	tests := []struct {
		name   string
		modify func(in *mtaudit.Input)
	}{
		{"idempotent request that ran twice", func(in *mtaudit.Input) {
			in.Calls[3].Idempotent = true
			in.Events = append(in.Events, begin("b", 3, "r3", 2, 250), end("b", 3, 260))
		}},
		{"two servers of a spread service", func(in *mtaudit.Input) {
			in.Events[1].At, in.Events[0].Epoch = at(121), 0
			in.Spread = map[mtid.Ref]bool{{Business: "ratins", Service: "dispatch"}: true}
		}},
		{"request of unknown outcome that ran late", func(in *mtaudit.Input) { in.Events[4].At = at(900) }},
		{"overlapping runs on one server", func(in *mtaudit.Input) {
			in.Events = append(in.Events, begin("b", 3, "r4", 2, 125), end("b", 3, 135))
			in.Calls[4] = call("r4", 1, 122, 140, mtreply.Answered)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := validRun()
			tt.modify(&in)
			report := mtaudit.Audit(in)
			assert.Equal(t, len(report.Findings), 0, "got %v", report.Findings)
		})
	}
}

func TestPhases(t *testing.T) {
	limited := call("l", 1, 60, 61, mtreply.NotRun)
	limited.Cause = mtreply.CauseLimited
	report := mtaudit.Audit(mtaudit.Input{
		Calls: []mtaudit.Call{
			call("a", 1, 0, 40, mtreply.Answered),
			limited,
			call("b", 1, 110, 120, mtreply.NotRun),
			call("c", 1, 150, 400, mtreply.Unknown),
			call("d", 1, 310, 350, mtreply.Answered),
			call("e", 1, 500, 550, mtreply.NotRun),
			call("e", 2, 560, 600, mtreply.Answered),
			call("f", 1, 700, 750, mtreply.NotRun),
			call("g", 1, 1701, 1750, mtreply.NotRun),
			call("h", 1, 1800, 1850, mtreply.NotRun),
		},
		Marks: []mtaudit.Mark{{Name: "kill", At: at(100)}, {Name: "stop", At: at(300)}, {Name: "rest", At: at(650)}},
	})
	ref := mtid.Ref{Business: "ratins", Service: "dispatch"}
	assert.DeepEqual(t, report.Phases, []mtaudit.Phase{
		{Name: "start", Counts: []mtaudit.Count{{Outcome: mtreply.Answered, Calls: 1}, {Outcome: mtreply.NotRun, Cause: mtreply.CauseLimited, Calls: 1}}, P50: 40 * time.Millisecond, P99: 40 * time.Millisecond, Slowest: 40 * time.Millisecond},
		{
			Name:    "kill",
			Counts:  []mtaudit.Count{{Outcome: mtreply.NotRun, Calls: 1}, {Outcome: mtreply.Unknown, Calls: 1}},
			Outages: 1,
			Longest: mtaudit.Outage{Service: ref, Key: "hotel-7", From: at(110), AtLeast: 40 * time.Millisecond, AtMost: 240 * time.Millisecond, Failed: 2},
		},
		{Name: "stop", Counts: []mtaudit.Count{{Outcome: mtreply.Answered, Calls: 2}}, P50: 40 * time.Millisecond, P99: 40 * time.Millisecond, Slowest: 100 * time.Millisecond},
		{
			Name:    "rest",
			Counts:  []mtaudit.Count{{Outcome: mtreply.NotRun, Calls: 3}},
			Outages: 2, // the first two failures are more than a second apart
			Longest: mtaudit.Outage{Service: ref, Key: "hotel-7", From: at(1701), AtLeast: 99 * time.Millisecond, AtMost: 149 * time.Millisecond, Failed: 2, Open: true},
		},
	})
}

// Journals of several servers are read in any order, so the report must not depend
// on how they interleave as long as each journal keeps its own order.
func TestReportDoesNotDependOnRecordOrder(t *testing.T) {
	in := validRun()
	in.Events[1].At = at(121)
	want := mtaudit.Audit(in)
	rapid.Check(t, func(t *rapid.T) {
		a, b := in.Events[:2], in.Events[2:]
		mixed := mtaudit.Input{Calls: rapid.Permutation(in.Calls).Draw(t, "calls")}
		for len(a)+len(b) > 0 {
			if len(b) == 0 || (len(a) > 0 && rapid.Bool().Draw(t, "first")) {
				mixed.Events, a = append(mixed.Events, a[0]), a[1:]
				continue
			}
			mixed.Events, b = append(mixed.Events, b[0]), b[1:]
		}
		assert.DeepEqual(t, mtaudit.Audit(mixed), want)
	})
}
