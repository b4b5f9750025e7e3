// Package mtexplain tells the story of one request from the logs of several
// daemons.
//
// It reads lines of JSON as the daemons write them, whatever stands before the
// JSON on a line (a time, the name of a VM), keeps those that name the request
// or one that is nested in it, and orders them by time. Beside them it shows
// what each daemon that had to do with the request last came to believe before:
// its configuration, the assignment and the state of its server.
//
// # Usage
//
//	story, err := mtexplain.Read(id, readers...)
//	err = story.Print(os.Stdout)
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

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Daemon  string
	Message string
	Fields  map[string]any // less those above
}

// Story is what the logs hold of one request.
type Story struct {
	ID    string
	Lines []Line
	// Beliefs are the last lines before the request's first one by which the
	// daemons concerned changed what they go by.
	Beliefs []Line
}

// beliefs are the messages by which a daemon changes what it goes by.
var beliefs = map[string]bool{
	"configuration in force": true, "assignment": true, "server state": true, "own record written": true,
	"own record can't be kept": true, "own record stands again": true, "watch failed": true, "watch works again": true,
	"starting": true, "stopping": true,
}

// Read reads the logs. It fails with the error of a reader.
func Read(id string, logs ...io.Reader) (*Story, error) {
	s := &Story{ID: id}
	var believed []Line
	err := Each(func(line Line) {
		switch {
		case s.concerns(line):
			s.Lines = append(s.Lines, line)
		case beliefs[line.Message]:
			believed = append(believed, line)
		}
	}, logs...)
	if err != nil {
		return nil, err
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Lines, byTime)
	slices.SortStableFunc(believed, byTime)
	s.Beliefs = s.before(believed)
	return s, nil
}

// Each calls do for each line of the logs that a daemon wrote. It fails with the
// error of a reader.
func Each(do func(Line), logs ...io.Reader) error {
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if line, ok := parse(scanner.Text()); ok {
				do(line)
			}
		}
		if err := scanner.Err(); err != nil {
			return err
		}
	}
	return nil
}

// parse reads a line; what is no line of a daemon is passed over.
func parse(text string) (Line, bool) {
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

// concerns reports whether a line names the request, or one nested in it.
func (s *Story) concerns(l Line) bool {
	id, _ := l.Fields["id"].(string)
	return id == s.ID || strings.HasPrefix(id, s.ID+".")
}

// before returns the last line of each kind and daemon before the story begins.
func (s *Story) before(believed []Line) []Line {
	if len(s.Lines) == 0 {
		return nil
	}
	concerned := map[string]bool{}
	for _, l := range s.Lines {
		concerned[l.Daemon] = true
	}
	last := map[string]Line{}
	for _, l := range believed {
		if concerned[l.Daemon] && !l.Time.After(s.Lines[0].Time) {
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

// Print writes the story, with times relative to the request's first line.
func (s *Story) Print(w io.Writer) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(w, "no line of request %s: it was answered, or its line was left out under load\n", s.ID)
		return err
	}
	first := s.Lines[0].Time
	if _, err := fmt.Fprintf(w, "request %s\nbefore:\n", s.ID); err != nil {
		return err
	}
	for _, l := range s.Beliefs {
		if err := l.print(w, first); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(w, "then:"); err != nil {
		return err
	}
	for _, l := range s.Lines {
		if err := l.print(w, first); err != nil {
			return err
		}
	}
	return nil
}

// print writes one line, its fields in the order of their names.
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
