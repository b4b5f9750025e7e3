// Package mtexplain reconstructs the history of one request from the logs of
// several daemons.
//
// It reads the daemons' JSON log lines, ignoring any prefix before the JSON (a
// time, the name of a VM), selects those with the ID of the request or of a
// nested request, and sorts them by time. For each daemon with a selected line
// it also shows the state the daemon had logged before the request: its
// configuration, the assignment and the state of its server.
//
// # Usage
//
//	timeline, err := mtexplain.Read(id, readers...)
//	err = timeline.Print(os.Stdout)
package mtexplain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// Line is one parsed log line of a daemon.
type Line struct {
	Time    time.Time
	Daemon  string
	Message string
	Fields  map[string]any // without the time, daemon, message and level
}

// Timeline holds the log lines about one request, sorted by time.
type Timeline struct {
	ID    string
	Lines []Line
	// PriorState holds the last state changes that the daemons involved logged
	// before the first line of the request, one per daemon and message.
	PriorState []Line
	// Losses are the losses of servers that count against the request, one line each.
	Losses []Line
	// Evidence are the answers to other requests of the same content that cleared it of losses, and
	// their probes.
	Evidence []Line
}

// stateMessages are the log messages that report a change of the state a daemon
// bases its decisions on.
var stateMessages = map[string]bool{
	"configuration in force": true, "assignment": true, "server state": true, "own record written": true,
	"own record can't be kept": true, "own record stands again": true, "watch failed": true, "watch works again": true,
	"starting": true, "stopping": true, "server's rate limit": true, "server is leaving": true,
}

// Read collects the lines about the request with the given ID from the logs. It
// fails with the error of a reader.
func Read(id string, logs ...io.Reader) (*Timeline, error) {
	t := &Timeline{ID: id}
	var stateLines, lossLines, evidence []Line
	err := Each(func(line Line) {
		switch {
		case line.Fields["suspects"] != nil:
			lossLines = append(lossLines, line)
		case t.matches(line):
			t.Lines = append(t.Lines, line)
		case line.Fields["losses"] != nil:
			evidence = append(evidence, line)
		case stateMessages[line.Message]:
			stateLines = append(stateLines, line)
		}
	}, logs...)
	if err != nil {
		return nil, err
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(t.Lines, byTime)
	slices.SortStableFunc(stateLines, byTime)
	t.PriorState = t.lastBefore(stateLines)
	slices.SortStableFunc(lossLines, byTime)
	t.Losses = t.lossesOf(lossLines)
	slices.SortStableFunc(evidence, byTime)
	t.Evidence = t.evidenceOf(evidence)
	return t, nil
}

// Each calls do for each daemon log line in logs and ignores all other lines. It
// fails with the error of a reader.
func Each(do func(Line), logs ...io.Reader) error {
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if line, ok := parseLine(scanner.Text()); ok {
				do(line)
			}
		}
		if err := scanner.Err(); err != nil {
			return err
		}
	}
	return nil
}

// parseLine parses a log line. It returns false for a line that no daemon wrote.
func parseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Message, _ = fields["msg"].(string)
	line.Daemon, _ = fields["daemon"].(string)
	written, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, written)
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.Time = at
	for _, name := range []string{"msg", "daemon", "time", "level"} {
		delete(fields, name)
	}
	return line, true
}

// matches reports whether a line has the ID of the request or of a nested one.
func (t *Timeline) matches(l Line) bool {
	id, _ := l.Fields["id"].(string)
	return id == t.ID || strings.HasPrefix(id, t.ID+".")
}

// lastBefore returns the last state line per message and daemon before the first
// line of the request, for the daemons that logged something about it.
func (t *Timeline) lastBefore(stateLines []Line) []Line {
	if len(t.Lines) == 0 {
		return nil
	}
	involved := map[string]bool{}
	for _, l := range t.Lines {
		involved[l.Daemon] = true
	}
	last := map[string]Line{}
	for _, l := range stateLines {
		if involved[l.Daemon] && !l.Time.After(t.Lines[0].Time) {
			last[l.Daemon+" "+l.Message] = l
		}
	}
	var out []Line
	for _, l := range last {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// fingerprints returns those that the lines of the request name.
func (t *Timeline) fingerprints() map[string]bool {
	fingerprints := map[string]bool{}
	for _, l := range t.Lines {
		if p, ok := l.Fields["fingerprint"].(string); ok {
			fingerprints[p] = true
		}
	}
	return fingerprints
}

// evidenceOf returns the lines about the request's fingerprint.
func (t *Timeline) evidenceOf(lines []Line) []Line {
	fingerprints := t.fingerprints()
	return slices.DeleteFunc(lines, func(l Line) bool {
		p, _ := l.Fields["fingerprint"].(string)
		return !fingerprints[p]
	})
}

// lossesOf returns the first line about each loss that has the request among its suspects.
func (t *Timeline) lossesOf(lossLines []Line) []Line {
	fingerprints := t.fingerprints()
	seen := map[string]bool{}
	var out []Line
	for _, l := range lossLines {
		suspects, _ := l.Fields["suspects"].([]any)
		suspected := slices.ContainsFunc(suspects, func(s any) bool {
			p, _ := s.(string)
			return fingerprints[p]
		})
		if loss := l.loss(); suspected && !seen[loss] {
			seen[loss] = true
			out = append(out, l)
		}
	}
	return out
}

// loss returns which loss of a server a line is about: "daemon/server". The daemon beside the
// server logs the server, the others the loss.
func (l Line) loss() string {
	if loss, ok := l.Fields["loss"].(string); ok {
		return loss
	}
	server, _ := l.Fields["server"].(string)
	return l.Daemon + "/" + server
}

// Print writes the lines of the request, the state before it, and what speaks against it and for it,
// with times relative to the first line of the request.
func (t *Timeline) Print(w io.Writer) error {
	if len(t.Lines) == 0 {
		_, err := fmt.Fprintf(w, "no line of request %s: it was answered, or its line was left out under load\n", t.ID)
		return err
	}
	first := t.Lines[0].Time
	if _, err := fmt.Fprintf(w, "request %s\nbefore:\n", t.ID); err != nil {
		return err
	}
	if err := printLines(w, t.PriorState, first); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w, "then:"); err != nil {
		return err
	}
	if err := printLines(w, t.Lines, first); err != nil {
		return err
	}
	if err := printSection(w, "losses of servers with the same request in flight:", t.Losses, first); err != nil {
		return err
	}
	return printSection(w, "answers that cleared the same request, and its probes:", t.Evidence, first)
}

// printSection writes lines under a title, or nothing if there are none.
func printSection(w io.Writer, title string, lines []Line, first time.Time) error {
	if len(lines) == 0 {
		return nil
	}
	if _, err := fmt.Fprintln(w, title); err != nil {
		return err
	}
	return printLines(w, lines, first)
}

// printLines writes lines with times relative to first.
func printLines(w io.Writer, lines []Line, first time.Time) error {
	for _, l := range lines {
		if err := l.print(w, first); err != nil {
			return err
		}
	}
	return nil
}

// print writes one line with its fields sorted by name.
func (l Line) print(w io.Writer, first time.Time) error {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		value, err := json.Marshal(l.Fields[name])
		if err != nil {
			return err
		}
		fmt.Fprintf(&text, " %s=%s", name, value)
	}
	_, err := fmt.Fprintf(w, "  %+9.3fs %s: %s%s\n", l.Time.Sub(first).Seconds(), l.Daemon, l.Message, text.String())
	return err
}
