// Package mtaudit judges a run of the system from outside: it joins what the
// backend servers wrote down with what the callers were told, and finds every
// place where the two can't both be right.
//
// Nothing of the system itself is consulted. A finding is a broken promise:
// two servers that ran one key at once, a non-idempotent request that ran
// twice, one that ran though its caller was told that it did not, an answer
// that is not the whole reply of the server to this very request. Beside the
// findings, a report counts outcomes, and says for how long a key was not
// available in each phase of the run.
//
// # Usage
//
//	report := mtaudit.Audit(mtaudit.Input{Events: events, Calls: calls, Marks: marks})
//	if len(report.Findings) > 0 { ... }
//
// The records of all servers and callers must stem from one clock: they run on
// one machine. All functions are pure and safe for concurrent use.
package mtaudit

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Digest identifies a body.
type Digest string

// DigestOf returns the digest of a body.
func DigestOf(body []byte) Digest {
	const hexadecimal = 16
	return Digest(strconv.FormatUint(xxhash.Sum64(body), hexadecimal))
}

// ID is the identifier of a request, the same over all its tries.
type ID string

// EventKind says what a server did.
type EventKind string

// The kinds of event. A run that has no end was cut off with its server.
const (
	Begin EventKind = "begin" // before the server does any work of the request
	End   EventKind = "end"   // after all of it, before the reply is sent
)

// Event is a line in a server's journal.
type Event struct {
	Kind     EventKind     `json:"kind"`
	At       time.Time     `json:"at"`
	Server   string        `json:"server"` // one life of one server
	Run      uint64        `json:"run"`    // counts the runs of that life
	ID       ID            `json:"id"`
	Business mtid.Business `json:"business"`
	Service  mtid.Service  `json:"service"`
	Key      mtid.Key      `json:"key"`
	Class    mtid.Class    `json:"class"`
	Epoch    mtid.Epoch    `json:"epoch"`
	Ask      Digest        `json:"ask,omitempty"`   // of the body received, at the begin
	Reply    Digest        `json:"reply,omitempty"` // of the body to be sent, at the end; empty if cancelled
}

// Call is a caller's record of one try of a request.
type Call struct {
	ID         ID              `json:"id"`
	Try        int             `json:"try"` // from 1
	Business   mtid.Business   `json:"business"`
	Service    mtid.Service    `json:"service"`
	Key        mtid.Key        `json:"key"`
	Class      mtid.Class      `json:"class"`
	Idempotent bool            `json:"idempotent"`
	Planned    time.Time       `json:"planned"` // when the request was due
	Sent       time.Time       `json:"sent"`
	Ended      time.Time       `json:"ended"`
	Via        string          `json:"via"` // the daemon that was asked
	Status     int             `json:"status"`
	Outcome    mtreply.Outcome `json:"outcome"`
	Cause      mtreply.Cause   `json:"cause,omitempty"`
	Owner      string          `json:"owner,omitempty"`
	Ask        Digest          `json:"ask"`
	Reply      Digest          `json:"reply,omitempty"`
	ReplyID    ID              `json:"reply_id,omitempty"` // that the reply bears
}

// Mark begins a phase of the run, for example when a fault is switched on.
type Mark struct {
	Name string    `json:"name"`
	At   time.Time `json:"at"`
}

// Input is what an audit goes by.
type Input struct {
	Events []Event
	Calls  []Call
	Marks  []Mark
	// Spread are the services whose keys have no owner.
	Spread map[mtid.Ref]bool
}

// Kind is a kind of finding.
type Kind string

// The kinds of finding.
const (
	TwoOwners   Kind = "two-owners"   // two servers ran one key at the same time
	EpochBack   Kind = "epoch-back"   // a server ran a key under an epoch that another had passed
	EpochShared Kind = "epoch-shared" // two servers ran a key under the same epoch
	NoEpoch     Kind = "no-epoch"     // a run of a keyed service carried no epoch
	Doubled     Kind = "doubled"      // a non-idempotent request ran more than once
	RanAnyway   Kind = "ran-anyway"   // a request ran whose caller was told that it did not
	NotSent     Kind = "not-sent"     // a request ran that no caller sent
	WrongAsk    Kind = "wrong-ask"    // the server received another body than was sent
	WrongAnswer Kind = "wrong-answer" // the answer is not the whole reply to this request
	NoRun       Kind = "no-run"       // a request was answered that no server ran
	BadJournal  Kind = "bad-journal"  // a journal contradicts itself, so nothing is proved
)

// Finding is one broken promise.
type Finding struct {
	Kind    Kind
	Service mtid.Ref
	Key     mtid.Key
	ID      ID
	Detail  string
}

// String returns the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s key %q request %s: %s", f.Kind, f.Service, f.Key, f.ID, f.Detail)
}

// Report is the result of an audit.
type Report struct {
	Runs     int // that the servers began
	Cut      int // of these, the ones that never ended
	Calls    int // that callers made
	Tries    int // that they sent for them
	Findings []Finding
	Phases   []Phase
}

// run is one run of a request, put together from its events.
type run struct {
	Event
	end   time.Time // of the run, or the last that is known of its server's life
	reply Digest
	ended bool
}

func (r *run) place() place {
	return place{service: mtid.Ref{Business: r.Business, Service: r.Service}, key: r.Key}
}

// place is a key of a service.
type place struct {
	service mtid.Ref
	key     mtid.Key
}

// Audit returns what the records prove.
func Audit(in Input) Report {
	runs, findings := assemble(in.Events)
	calls := group(in.Calls)
	report := Report{Runs: len(runs), Calls: len(calls), Tries: len(in.Calls), Findings: findings}
	for _, r := range runs {
		if !r.ended {
			report.Cut++
		}
	}
	report.Findings = append(report.Findings, judgeOwners(runs, in.Spread)...)
	report.Findings = append(report.Findings, judgeCalls(calls, runs)...)
	report.Phases = phases(calls, in.Marks)
	return report
}

// assemble joins begins with their ends.
func assemble(events []Event) ([]*run, []Finding) {
	type key struct {
		server string
		run    uint64
	}
	var runs []*run
	var findings []Finding
	open := make(map[key]*run)
	seen := make(map[string]time.Time)
	bad := func(e Event, why string) {
		findings = append(findings, Finding{
			Kind: BadJournal, Service: mtid.Ref{Business: e.Business, Service: e.Service}, Key: e.Key, ID: e.ID,
			Detail: fmt.Sprintf("server %s run %d: %s", e.Server, e.Run, why),
		})
	}
	for _, e := range events {
		if e.At.After(seen[e.Server]) {
			seen[e.Server] = e.At
		}
		at := key{server: e.Server, run: e.Run}
		r, known := open[at]
		switch {
		case e.Kind == Begin && known:
			bad(e, "begun twice")
		case e.Kind == Begin:
			r = &run{Event: e}
			open[at] = r
			runs = append(runs, r)
		case e.Kind != End:
			bad(e, "event of unknown kind "+string(e.Kind))
		case !known:
			bad(e, "ended without a begin")
		case r.ended:
			bad(e, "ended twice")
		default:
			r.ended, r.end, r.reply = true, e.At, e.Reply
		}
	}
	// A run that never ended went on at least as long as its server wrote
	// anything: it would have written the end before that.
	for _, r := range runs {
		if !r.ended {
			r.end = seen[r.Server]
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return a.At.Compare(b.At) })
	return runs, findings
}

// judgeOwners looks for keys with more than one owner.
func judgeOwners(runs []*run, spread map[mtid.Ref]bool) []Finding {
	byPlace := make(map[place][]*run)
	var order []place
	for _, r := range runs {
		at := r.place()
		if spread[at.service] {
			continue
		}
		if byPlace[at] == nil {
			order = append(order, at)
		}
		byPlace[at] = append(byPlace[at], r)
	}
	var findings []Finding
	for _, at := range order {
		findings = append(findings, judgeOverlap(at, byPlace[at])...)
		findings = append(findings, judgeEpochs(at, byPlace[at])...)
	}
	return findings
}

// judgeOverlap looks for runs of one key at two servers at one time. The runs
// are ordered by their begin.
func judgeOverlap(at place, runs []*run) []Finding {
	var findings []Finding
	var active []*run
	for _, r := range runs {
		active = slices.DeleteFunc(active, func(a *run) bool { return !a.end.After(r.At) })
		for _, a := range active {
			if a.Server == r.Server {
				continue
			}
			findings = append(findings, Finding{
				Kind: TwoOwners, Service: at.service, Key: at.key, ID: r.ID,
				Detail: fmt.Sprintf("%s began under epoch %d at %s while %s under epoch %d ran request %s, %s more",
					r.Server, r.Epoch, r.At.Format(time.RFC3339Nano), a.Server, a.Epoch, a.ID, a.end.Sub(r.At)),
			})
		}
		active = append(active, r)
	}
	return findings
}

// judgeEpochs looks for epochs that two servers share, or that come back.
func judgeEpochs(at place, runs []*run) []Finding {
	var findings []Finding
	type holding struct {
		epoch  mtid.Epoch
		server string
	}
	first := make(map[mtid.Epoch]string)
	known := make(map[holding]bool)
	var highest *run
	for _, r := range runs {
		find := func(kind Kind, detail string) {
			findings = append(findings, Finding{Kind: kind, Service: at.service, Key: at.key, ID: r.ID, Detail: detail})
		}
		if r.Epoch == 0 {
			find(NoEpoch, "at "+r.Server)
			continue
		}
		if first[r.Epoch] == "" {
			first[r.Epoch] = r.Server
		}
		held := holding{epoch: r.Epoch, server: r.Server}
		if first[r.Epoch] != r.Server && !known[held] {
			find(EpochShared, fmt.Sprintf("epoch %d at %s and at %s", r.Epoch, first[r.Epoch], r.Server))
		}
		known[held] = true
		if highest != nil && r.Epoch < highest.Epoch && r.Server != highest.Server {
			find(EpochBack, fmt.Sprintf("epoch %d at %s, %s after epoch %d at %s",
				r.Epoch, r.Server, r.At.Sub(highest.At), highest.Epoch, highest.Server))
		}
		if highest == nil || r.Epoch > highest.Epoch {
			highest = r
		}
	}
	return findings
}

// tries are the tries of one call, in order.
type tries []Call

// last returns the try that the caller went by in the end.
func (t tries) last() *Call { return &t[len(t)-1] }

// place returns what the call was about.
func (t tries) place() place {
	return place{service: mtid.Ref{Business: t[0].Business, Service: t[0].Service}, key: t[0].Key}
}

// group returns the calls, ordered by when they were due.
func group(records []Call) []tries {
	byID := make(map[ID]tries)
	for _, c := range records {
		byID[c.ID] = append(byID[c.ID], c)
	}
	calls := make([]tries, 0, len(byID))
	for _, t := range byID {
		slices.SortFunc(t, func(a, b Call) int { return cmp.Compare(a.Try, b.Try) })
		calls = append(calls, t)
	}
	slices.SortFunc(calls, func(a, b tries) int {
		return cmp.Or(a[0].Planned.Compare(b[0].Planned), cmp.Compare(a[0].ID, b[0].ID))
	})
	return calls
}

// judgeCalls holds what callers were told against what ran.
func judgeCalls(calls []tries, runs []*run) []Finding {
	var findings []Finding
	byID := make(map[ID][]*run)
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	for _, t := range calls {
		ran := byID[t[0].ID]
		delete(byID, t[0].ID)
		findings = append(findings, judgeRuns(t, ran)...)
		findings = append(findings, judgeAnswers(t, ran)...)
	}
	for _, r := range runs {
		if byID[r.ID] != nil {
			findings = append(findings, Finding{
				Kind: NotSent, Service: r.place().service, Key: r.Key, ID: r.ID, Detail: "at " + r.Server,
			})
		}
	}
	return findings
}

// judgeRuns asks of each run of a call whether it was allowed.
func judgeRuns(t tries, ran []*run) []Finding {
	var findings []Finding
	find := func(kind Kind, detail string) {
		at := t.place()
		findings = append(findings, Finding{Kind: kind, Service: at.service, Key: at.key, ID: t[0].ID, Detail: detail})
	}
	if !t[0].Idempotent && len(ran) > 1 {
		find(Doubled, fmt.Sprintf("%d runs: %s", len(ran), servers(ran)))
	}
	for _, r := range ran {
		if !t.explains(r) {
			find(RanAnyway, fmt.Sprintf("at %s at %s; told %s", r.Server, r.At.Format(time.RFC3339Nano), t.told()))
		}
		if r.Ask != t[0].Ask || r.place() != t.place() || r.Class != t[0].Class {
			find(WrongAsk, fmt.Sprintf("%s got body %s of key %q class %s, sent was %s class %s",
				r.Server, r.Ask, r.Key, r.Class, t[0].Ask, t[0].Class))
		}
	}
	return findings
}

// explains reports whether a try was sent before the run began of which the
// caller was not told that it did not run. An answered try explains no run that
// began after its answer.
func (t tries) explains(r *run) bool {
	return slices.ContainsFunc(t, func(c Call) bool {
		switch {
		case c.Outcome == mtreply.NotRun || c.Sent.After(r.At):
			return false
		case c.Outcome == mtreply.Answered:
			return !r.At.After(c.Ended)
		}
		return true
	})
}

// judgeAnswers asks of each answer whether it is the whole reply of a server
// to this request.
func judgeAnswers(t tries, ran []*run) []Finding {
	var findings []Finding
	for _, c := range t {
		if c.Outcome != mtreply.Answered {
			continue
		}
		find := func(kind Kind, detail string) {
			at := t.place()
			findings = append(findings, Finding{Kind: kind, Service: at.service, Key: at.key, ID: c.ID, Detail: detail})
		}
		whole := slices.ContainsFunc(ran, func(r *run) bool { return r.ended && r.reply != "" && r.reply == c.Reply })
		switch {
		case len(ran) == 0:
			find(NoRun, "answered via "+c.Via)
		case c.ReplyID != c.ID:
			find(WrongAnswer, fmt.Sprintf("the reply via %s is to request %q", c.Via, c.ReplyID))
		case !whole:
			find(WrongAnswer, fmt.Sprintf("body %s via %s, which no server sent for it", c.Reply, c.Via))
		}
	}
	return findings
}

// told returns what the caller was told, try by try.
func (t tries) told() string {
	text := ""
	for i, c := range t {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %s by %s from %s to %s", c.Outcome, c.Cause, c.Via,
			c.Sent.Format(time.RFC3339Nano), c.Ended.Format(time.RFC3339Nano))
	}
	return text
}

func servers(ran []*run) string {
	text := ""
	for i, r := range ran {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s epoch %d at %s", r.Server, r.Epoch, r.At.Format(time.RFC3339Nano))
	}
	return text
}
