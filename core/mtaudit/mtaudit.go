// Package mtaudit checks a test run of the system from outside: it joins the
// journals of the backend servers with the records of the callers and reports
// every contradiction between the two.
//
// No state of the system itself is used. A finding is a violated guarantee:
// two servers ran requests for one key at the same time, a non-idempotent
// request ran twice, a request ran although its caller received "not run", or
// an answer is not the server's complete reply to this request. In addition, a
// report counts outcomes and gives the outages of keys in each phase of the
// run.
//
// # Usage
//
//	report := mtaudit.Audit(mtaudit.Input{Events: events, Calls: calls, Marks: marks})
//	if len(report.Findings) > 0 { ... }
//
// The timestamps of all servers and callers must come from one clock, so all of
// them must run on one machine. All functions are pure and safe for concurrent use.
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

// Digest is a hash of a request or reply body.
type Digest string

// DigestOf returns the 64-bit xxHash of a body in hexadecimal.
func DigestOf(body []byte) Digest {
	const hexadecimal = 16
	return Digest(strconv.FormatUint(xxhash.Sum64(body), hexadecimal))
}

// ID identifies a request; all of its tries share it.
type ID string

// EventKind is the kind of a journal entry.
type EventKind string

// The kinds of event. A run without an End was interrupted when its server
// terminated.
const (
	Begin EventKind = "begin" // written before the server starts any work on the request
	End   EventKind = "end"   // written after all work, before the reply is sent
)

// Event is an entry of a server's journal.
type Event struct {
	Kind     EventKind     `json:"kind"`
	At       time.Time     `json:"at"`
	Server   string        `json:"server"` // one incarnation of one server
	Run      uint64        `json:"run"`    // sequence number of the run within that incarnation
	ID       ID            `json:"id"`
	Business mtid.Business `json:"business"`
	Service  mtid.Service  `json:"service"`
	Key      mtid.Key      `json:"key"`
	Class    mtid.Class    `json:"class"`
	Epoch    mtid.Epoch    `json:"epoch"`
	Request  Digest        `json:"ask,omitempty"`   // of the received body; set on Begin
	Reply    Digest        `json:"reply,omitempty"` // of the body to be sent; set on End, empty if the run was cancelled
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
	Planned    time.Time       `json:"planned"` // when the load schedule called for the request
	Sent       time.Time       `json:"sent"`
	Ended      time.Time       `json:"ended"`
	Via        string          `json:"via"` // the daemon that received the request
	Status     int             `json:"status"`
	Outcome    mtreply.Outcome `json:"outcome"`
	Cause      mtreply.Cause   `json:"cause,omitempty"`
	Owner      string          `json:"owner,omitempty"`
	Request    Digest          `json:"ask"`
	Reply      Digest          `json:"reply,omitempty"`
	ReplyID    ID              `json:"reply_id,omitempty"` // request ID that the reply carries
}

// Mark is the start of a phase of the run, for example when a fault is injected.
type Mark struct {
	Name string    `json:"name"`
	At   time.Time `json:"at"`
}

// Input holds the records that an audit checks.
type Input struct {
	Events []Event
	Calls  []Call
	Marks  []Mark
	// Spread is the set of services whose keys have no owner, so that any server
	// may run their requests.
	Spread map[mtid.Ref]bool
}

// Kind is the guarantee that a finding violates.
type Kind string

// The kinds of finding.
const (
	TwoOwners   Kind = "two-owners"   // two servers ran requests for one key at the same time
	EpochBack   Kind = "epoch-back"   // a server ran a request under an older epoch than another server had used
	EpochShared Kind = "epoch-shared" // two servers ran requests for a key under the same epoch
	NoEpoch     Kind = "no-epoch"     // a run of a service with owned keys carried no epoch
	Doubled     Kind = "doubled"      // a non-idempotent request ran more than once
	RanAnyway   Kind = "ran-anyway"   // a request ran although its caller received "not run"
	NotSent     Kind = "not-sent"     // a request ran that no caller sent
	WrongAsk    Kind = "wrong-ask"    // the server received a different body, key or class than was sent
	WrongAnswer Kind = "wrong-answer" // the answer is not the complete reply to this request
	NoRun       Kind = "no-run"       // a request was answered although no server ran it
	BadJournal  Kind = "bad-journal"  // a journal contradicts itself, so the audit is inconclusive
)

// Finding is one violated guarantee.
type Finding struct {
	Kind    Kind
	Service mtid.Ref
	Key     mtid.Key
	ID      ID
	Detail  string
}

// String formats the finding as a single line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s key %q request %s: %s", f.Kind, f.Service, f.Key, f.ID, f.Detail)
}

// Report is the result of an audit.
type Report struct {
	Runs       int // runs that servers began
	Unfinished int // runs without an End event
	Calls      int // requests, each with all of its tries
	Tries      int // tries that callers sent
	Findings   []Finding
	Phases     []Phase
}

// run is the execution of a request by a server, joined from its events.
type run struct {
	Event
	end   time.Time // time of the End event, or of the last event of its server incarnation
	reply Digest
	ended bool
}

func (r *run) keyRef() keyRef {
	return keyRef{service: mtid.Ref{Business: r.Business, Service: r.Service}, key: r.Key}
}

// keyRef identifies a key of a service.
type keyRef struct {
	service mtid.Ref
	key     mtid.Key
}

// keyGroup holds the runs or calls of one key.
type keyGroup[T any] struct {
	at    keyRef
	items []T
}

// groupByKey groups items by key, in the order in which the keys first occur.
func groupByKey[T interface{ keyRef() keyRef }](items []T) []keyGroup[T] {
	var groups []keyGroup[T]
	index := make(map[keyRef]int)
	for _, item := range items {
		at := item.keyRef()
		i, known := index[at]
		if !known {
			i = len(groups)
			index[at] = i
			groups = append(groups, keyGroup[T]{at: at})
		}
		groups[i].items = append(groups[i].items, item)
	}
	return groups
}

// Audit checks the records for violated guarantees and summarizes the calls by
// phase.
func Audit(in Input) Report {
	runs, findings := joinEvents(in.Events)
	calls := groupTries(in.Calls)
	report := Report{Runs: len(runs), Calls: len(calls), Tries: len(in.Calls), Findings: findings}
	for _, r := range runs {
		if !r.ended {
			report.Unfinished++
		}
	}
	report.Findings = append(report.Findings, checkOwners(runs, in.Spread)...)
	report.Findings = append(report.Findings, checkCalls(calls, runs)...)
	report.Phases = phases(calls, in.Marks)
	return report
}

// joinEvents joins Begin events with their End events. It returns the runs ordered
// by start time, and a finding for each inconsistent event.
func joinEvents(events []Event) ([]*run, []Finding) {
	type key struct {
		server string
		run    uint64
	}
	var runs []*run
	var findings []Finding
	open := make(map[key]*run)
	lastEvent := make(map[string]time.Time)
	addBadJournal := func(e Event, why string) {
		findings = append(findings, Finding{
			Kind: BadJournal, Service: mtid.Ref{Business: e.Business, Service: e.Service}, Key: e.Key, ID: e.ID,
			Detail: fmt.Sprintf("server %s run %d: %s", e.Server, e.Run, why),
		})
	}
	for _, e := range events {
		if e.At.After(lastEvent[e.Server]) {
			lastEvent[e.Server] = e.At
		}
		at := key{server: e.Server, run: e.Run}
		r, known := open[at]
		switch {
		case e.Kind == Begin && known:
			addBadJournal(e, "second Begin event")
		case e.Kind == Begin:
			r = &run{Event: e}
			open[at] = r
			runs = append(runs, r)
		case e.Kind != End:
			addBadJournal(e, "event of unknown kind "+string(e.Kind))
		case !known:
			addBadJournal(e, "End event without a Begin event")
		case r.ended:
			addBadJournal(e, "second End event")
		default:
			r.ended, r.end, r.reply = true, e.At, e.Reply
		}
	}
	// A run without an End lasted at least until the last event of its server:
	// had it ended earlier, the server would have recorded that.
	for _, r := range runs {
		if !r.ended {
			r.end = lastEvent[r.Server]
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return a.At.Compare(b.At) })
	return runs, findings
}

// checkOwners finds keys that were owned by more than one server at a time.
func checkOwners(runs []*run, spread map[mtid.Ref]bool) []Finding {
	var findings []Finding
	for _, group := range groupByKey(runs) {
		if spread[group.at.service] {
			continue
		}
		findings = append(findings, checkOverlaps(group.at, group.items)...)
		findings = append(findings, checkEpochs(group.at, group.items)...)
	}
	return findings
}

// checkOverlaps finds runs of one key that overlapped in time on two servers. The
// runs are ordered by start time.
func checkOverlaps(at keyRef, runs []*run) []Finding {
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
				Detail: fmt.Sprintf("%s began under epoch %d at %s while %s, under epoch %d, was running request %s for another %s",
					r.Server, r.Epoch, r.At.Format(time.RFC3339Nano), a.Server, a.Epoch, a.ID, a.end.Sub(r.At)),
			})
		}
		active = append(active, r)
	}
	return findings
}

// checkEpochs finds epochs that two servers share, and runs under an older epoch
// than another server has used.
func checkEpochs(at keyRef, runs []*run) []Finding {
	var findings []Finding
	type holding struct {
		epoch  mtid.Epoch
		server string
	}
	first := make(map[mtid.Epoch]string)
	known := make(map[holding]bool)
	var highest *run
	for _, r := range runs {
		addFinding := func(kind Kind, detail string) {
			findings = append(findings, Finding{Kind: kind, Service: at.service, Key: at.key, ID: r.ID, Detail: detail})
		}
		if r.Epoch == 0 {
			addFinding(NoEpoch, "at "+r.Server)
			continue
		}
		if first[r.Epoch] == "" {
			first[r.Epoch] = r.Server
		}
		held := holding{epoch: r.Epoch, server: r.Server}
		if first[r.Epoch] != r.Server && !known[held] {
			addFinding(EpochShared, fmt.Sprintf("epoch %d at %s and at %s", r.Epoch, first[r.Epoch], r.Server))
		}
		known[held] = true
		if highest != nil && r.Epoch < highest.Epoch && r.Server != highest.Server {
			addFinding(EpochBack, fmt.Sprintf("epoch %d at %s, %s after epoch %d at %s",
				r.Epoch, r.Server, r.At.Sub(highest.At), highest.Epoch, highest.Server))
		}
		if highest == nil || r.Epoch > highest.Epoch {
			highest = r
		}
	}
	return findings
}

// tries holds the tries of one call in the order they were sent.
type tries []Call

// last returns the final try, whose outcome is that of the call.
func (t tries) last() *Call { return &t[len(t)-1] }

// keyRef returns the key that the call addressed.
func (t tries) keyRef() keyRef {
	return keyRef{service: mtid.Ref{Business: t[0].Business, Service: t[0].Service}, key: t[0].Key}
}

// groupTries groups the records by request, ordered by planned time.
func groupTries(records []Call) []tries {
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

// checkCalls compares the outcomes that callers received with the runs.
func checkCalls(calls []tries, runs []*run) []Finding {
	var findings []Finding
	byID := make(map[ID][]*run)
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	for _, t := range calls {
		ran := byID[t[0].ID]
		delete(byID, t[0].ID)
		findings = append(findings, checkRuns(t, ran)...)
		findings = append(findings, checkAnswers(t, ran)...)
	}
	for _, r := range runs {
		if byID[r.ID] != nil {
			findings = append(findings, Finding{
				Kind: NotSent, Service: r.keyRef().service, Key: r.Key, ID: r.ID, Detail: "at " + r.Server,
			})
		}
	}
	return findings
}

// checkRuns checks that each run of a call was permitted by its tries, and that
// the server received the request as it was sent.
func checkRuns(t tries, ran []*run) []Finding {
	var findings []Finding
	addFinding := func(kind Kind, detail string) {
		at := t.keyRef()
		findings = append(findings, Finding{Kind: kind, Service: at.service, Key: at.key, ID: t[0].ID, Detail: detail})
	}
	if !t[0].Idempotent && len(ran) > 1 {
		addFinding(Doubled, fmt.Sprintf("%d runs: %s", len(ran), formatRuns(ran)))
	}
	for _, r := range ran {
		if !t.accountsFor(r) {
			addFinding(RanAnyway, fmt.Sprintf("ran on %s at %s although the caller received %s", r.Server, r.At.Format(time.RFC3339Nano), t.formatOutcomes()))
		}
		if r.Request != t[0].Request || r.keyRef() != t.keyRef() || r.Class != t[0].Class {
			addFinding(WrongAsk, fmt.Sprintf("%s received body %s of key %q class %s, but the caller sent body %s class %s",
				r.Server, r.Request, r.Key, r.Class, t[0].Request, t[0].Class))
		}
	}
	return findings
}

// accountsFor reports whether some try accounts for the run: it was sent before the
// run began and its outcome was not "not run". An answered try does not account
// for a run that began after the answer.
func (t tries) accountsFor(r *run) bool {
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

// checkAnswers checks that each answer is the complete reply of a server to this
// request.
func checkAnswers(t tries, ran []*run) []Finding {
	var findings []Finding
	for _, c := range t {
		if c.Outcome != mtreply.Answered {
			continue
		}
		addFinding := func(kind Kind, detail string) {
			at := t.keyRef()
			findings = append(findings, Finding{Kind: kind, Service: at.service, Key: at.key, ID: c.ID, Detail: detail})
		}
		sentByServer := slices.ContainsFunc(ran, func(r *run) bool { return r.ended && r.reply != "" && r.reply == c.Reply })
		switch {
		case len(ran) == 0:
			addFinding(NoRun, "answered via "+c.Via)
		case c.ReplyID != c.ID:
			addFinding(WrongAnswer, fmt.Sprintf("the reply via %s is to request %q", c.Via, c.ReplyID))
		case !sentByServer:
			addFinding(WrongAnswer, fmt.Sprintf("no server sent the reply body %s received via %s", c.Reply, c.Via))
		}
	}
	return findings
}

// formatOutcomes formats the outcome of each try.
func (t tries) formatOutcomes() string {
	text := ""
	for i, c := range t {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %s via %s from %s to %s", c.Outcome, c.Cause, c.Via,
			c.Sent.Format(time.RFC3339Nano), c.Ended.Format(time.RFC3339Nano))
	}
	return text
}

// formatRuns formats the server, epoch and start time of each run.
func formatRuns(ran []*run) string {
	text := ""
	for i, r := range ran {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s epoch %d at %s", r.Server, r.Epoch, r.At.Format(time.RFC3339Nano))
	}
	return text
}
