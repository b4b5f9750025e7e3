// Package mtini is a strict reader of INI text. It reports all faults of a text
// at once, each with its file, line, field, value and the accepted values.
//
// The grammar is the common subset of INI dialects: blank lines, comments that
// begin with "#" or ";", sections and "name = value" lines. Continuation lines,
// quoted values and duplicate names are faults, since operators read such text
// differently from programs. Values are parsed by gopkg.in/ini.v1; this package
// adds the line numbers and the validation.
//
// # Usage
//
//	file := mtini.Read("daemon.ini", text)
//	section := file.RequiredSection("daemon")
//	name := section.Name("name")
//	wait := section.Duration("wait", time.Second, time.Millisecond, time.Minute)
//	if faults := file.Faults(); len(faults) > 0 { ... }
//
// A File isn't safe for concurrent use.
package mtini

import (
	"bytes"
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxText is the maximum size of a text in bytes. Read reports a larger one as a
// fault without parsing it, so that an operator's mistake can't exhaust a daemon's
// memory.
const MaxText = 48 << 10

// maxValueLen is the maximum length of the value in a fault, in bytes. Longer values
// are truncated.
const maxValueLen = 80

// Fault is one mistake in a text.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`  // starts at 1; 0 if the fault concerns no single line
	Field  string `json:"field"` // "[section] name"
	Value  string `json:"value"`
	Accept string `json:"accept"` // what would be accepted
}

// Error implements error.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %q, accepted: %s", f.File, f.Line, f.Field, f.Value, f.Accept)
}

// Faults are all mistakes in a text, in order of their lines. An empty list means
// that the text is valid; use Err to get an error value.
type Faults []*Fault

// Error implements error. It returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or a nil error if there are no faults.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// File is a scanned text with its sections and the faults found so far.
type File struct {
	name     string
	faults   Faults
	sections []*Section
}

// Section is one section of a file. Fields that are never read are reported as
// faults; otherwise a misspelled optional field would silently keep its default.
type Section struct {
	file  *File
	title string
	words []string
	line  int
	keys  map[string]*key
	order []*key
}

// key is one "name = value" line.
type key struct {
	name  string
	line  int
	value string
	read  bool
}

var (
	sectionPattern = regexp.MustCompile(`^\[([^\]]*)\]$`)
	titlePattern   = regexp.MustCompile(`^[a-z][a-z0-9-]*( [a-z0-9][a-z0-9.-]*)*$`)
	keyPattern     = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)
)

// Read scans a text. It never fails: mistakes are added to the faults, and the
// remaining text can still be read, so that one pass finds all mistakes.
func Read(name string, text []byte) *File {
	f := &File{name: name}
	if len(text) > MaxText {
		f.fault(0, "text", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("up to %d bytes", MaxText))
		return f
	}
	f.load(f.scan(text))
	return f
}

// scan checks the grammar, records the lines of sections and fields, and returns
// the text without comments.
func (f *File) scan(text []byte) []byte {
	var current *Section
	var stripped bytes.Buffer
	for i, raw := range bytes.Split(text, []byte("\n")) {
		line := stripComment(string(raw))
		switch {
		case line == "":
		case line[0] == '[':
			current = f.addSection(i+1, line)
		default:
			f.addKey(current, i+1, line)
		}
		stripped.WriteString(line)
		stripped.WriteByte('\n')
	}
	return stripped.Bytes()
}

// commentPattern matches a comment at the start of a line or after a blank. Other
// "#" and ";" characters belong to the value.
var commentPattern = regexp.MustCompile(`(^|[ \t])[#;].*$`)

func stripComment(line string) string {
	return strings.TrimSpace(commentPattern.ReplaceAllString(strings.TrimSpace(line), ""))
}

func (f *File) addSection(lineNumber int, line string) *Section {
	match := sectionPattern.FindStringSubmatch(line)
	if match == nil || !titlePattern.MatchString(match[1]) {
		f.fault(lineNumber, "section", line, "[kind] or [kind name ...] in lower-case letters, digits, dots and hyphens")
		return &Section{file: f, line: lineNumber, keys: make(map[string]*key)}
	}
	if i := slices.IndexFunc(f.sections, func(s *Section) bool { return s.title == match[1] }); i >= 0 {
		f.fault(lineNumber, "section", line, fmt.Sprintf("each section once; the first is on line %d", f.sections[i].line))
		return &Section{file: f, line: lineNumber, keys: make(map[string]*key)}
	}
	s := &Section{file: f, title: match[1], words: strings.Fields(match[1]), line: lineNumber, keys: make(map[string]*key)}
	f.sections = append(f.sections, s)
	return s
}

func (f *File) addKey(s *Section, lineNumber int, line string) {
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case s == nil:
		f.fault(lineNumber, "line", line, "a [section] first")
	case !found || !keyPattern.MatchString(name):
		f.fault(lineNumber, "line", line, "name = value, the name in lower-case letters, digits and hyphens")
	case strings.ContainsAny(value, "`\"'\\") || strings.ContainsFunc(value, isControl):
		f.fault(lineNumber, s.field(name), value, "no quotes, backslashes or control characters")
		s.keys[name] = &key{name: name, line: lineNumber, read: true}
	case s.keys[name] != nil:
		f.fault(lineNumber, s.field(name), value, fmt.Sprintf("each name once; the first is on line %d", s.keys[name].line))
	default:
		k := &key{name: name, line: lineNumber}
		s.keys[name] = k
		s.order = append(s.order, k)
	}
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f || r == '\uFFFD' }

// loadOptions make ini.v1 parse each line as one value. scan has already rejected
// continuation lines and quotes.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	SkipUnrecognizableLines: true,
	KeyValueDelimiters:      "=",
}

// load parses the values with ini.v1. It uses the raw values, in which the library
// does not expand %(name)s, so that a value never differs from its line.
func (f *File) load(text []byte) {
	parsed, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		f.fault(0, "text", err.Error(), "INI text")
		return
	}
	for _, s := range f.sections {
		section, err := parsed.GetSection(s.title)
		if err != nil {
			continue
		}
		for _, k := range s.order {
			k.value = section.Key(k.name).Value()
		}
	}
}

// Faults returns all mistakes found so far, in order of lines, including fields
// that were never read. Call it after all fields have been read.
func (f *File) Faults() Faults {
	all := slices.Clone(f.faults)
	for _, s := range f.sections {
		for _, k := range s.order {
			if !k.read {
				all = append(all, &Fault{File: f.name, Line: k.line, Field: s.field(k.name), Value: truncated(k.value), Accept: "no such field here"})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b *Fault) int { return cmp.Compare(a.Line, b.Line) })
	return all
}

func (f *File) fault(line int, field, value, accept string) {
	f.faults = append(f.faults, &Fault{File: f.name, Line: line, Field: field, Value: truncated(value), Accept: accept})
}

// truncated returns value as valid UTF-8 of limited length.
func truncated(value string) string {
	value = strings.ToValidUTF8(value, "?")
	if len(value) <= maxValueLen {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueLen], "") + "..."
}

// RequiredSection returns the section with that title. If there is none, it adds a
// fault and returns an empty section, so that missing required fields are reported
// as well.
func (f *File) RequiredSection(title string) *Section {
	if s, ok := f.OptionalSection(title); ok {
		return s
	}
	f.fault(0, "["+title+"]", "", "this section is required")
	return &Section{file: f, title: title, keys: make(map[string]*key)}
}

// OptionalSection returns the section with that title, or false if there is none.
func (f *File) OptionalSection(title string) (*Section, bool) {
	for _, s := range f.sections {
		if s.title == title {
			return s, true
		}
	}
	return nil, false
}

// SectionsOfKind returns the sections of a kind with that many words after the kind,
// in the order of the text. For example, "[class dispatch send]" is of kind "class"
// with 2 words.
func (f *File) SectionsOfKind(kind string, words int) []*Section {
	var out []*Section
	for _, s := range f.sections {
		if s.words[0] == kind && len(s.words) == words+1 {
			out = append(out, s)
		}
	}
	return out
}

// CheckKinds adds a fault for each section whose kind is not a key of kinds, or
// whose number of words after the kind differs from the value. For example,
// {"service": 1} accepts "[service dispatch]".
func (f *File) CheckKinds(kinds map[string]int) {
	for _, s := range f.sections {
		words, ok := kinds[s.words[0]]
		if ok && words == len(s.words)-1 {
			continue
		}
		f.fault(s.line, "section", "["+s.title+"]", acceptKinds(kinds))
		for _, k := range s.order {
			k.read = true
		}
	}
}

func acceptKinds(kinds map[string]int) string {
	var forms []string
	for kind, words := range kinds {
		forms = append(forms, "["+kind+strings.Repeat(" name", words)+"]")
	}
	slices.Sort(forms)
	return strings.Join(forms, ", ")
}
