// Package mtini reads INI text strictly: every fault of a text is reported at
// once, each with its file, line, field, value and what would be accepted.
//
// The grammar is the common core of INI: blank lines, comments that begin with
// "#" or ";", sections and "name = value" lines. Continuation lines, quoted
// values over several lines and names given twice are faults, since operators
// read such text differently from programs. Values come from gopkg.in/ini.v1;
// this package adds the line numbers and the checks.
//
// # Usage
//
//	file := mtini.Read("daemon.ini", text)
//	section := file.Only("daemon")
//	name := section.Name("name")
//	wait := section.Duration("wait", time.Second, time.Millisecond, time.Minute)
//	if faults := file.Faults(); len(faults) > 0 { ... }
//
// A File is used by one goroutine.
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

// MaxText is the largest text that Read looks at, in bytes. A longer one is a
// fault, so that an operator's mistake can't exhaust a daemon's memory.
const MaxText = 48 << 10

// maxShown bounds how much of a wrong value a fault repeats, in bytes.
const maxShown = 80

// Fault is one mistake in a text.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`  // from 1; 0 when no line can be blamed
	Field  string `json:"field"` // "[section] name"
	Value  string `json:"value"`
	Accept string `json:"accept"` // what would be accepted
}

// Error implements error.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %q, accepted: %s", f.File, f.Line, f.Field, f.Value, f.Accept)
}

// Faults are all mistakes of a text, in order of their lines. An empty list
// means that the text is good; it is no error then.
type Faults []*Fault

// Error implements error, one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if there are no faults.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// File is a text being read.
type File struct {
	name     string
	faults   Faults
	sections []*Section
}

// Section is one section of a file. A field that is read once is known; Unread
// fields become faults, so that a misspelt optional name can't pass for its
// default.
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
	sectionLine = regexp.MustCompile(`^\[([^\]]*)\]$`)
	titleForm   = regexp.MustCompile(`^[a-z][a-z0-9-]*( [a-z0-9][a-z0-9.-]*)*$`)
	keyForm     = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)
)

// Read reads text and never fails: what is wrong with it is among the faults,
// and the rest can still be read so that one pass finds every mistake.
func Read(name string, text []byte) *File {
	f := &File{name: name}
	if len(text) > MaxText {
		f.fault(0, "text", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("up to %d bytes", MaxText))
		return f
	}
	f.load(f.scan(text))
	return f
}

// scan finds the lines of sections and names, checks the grammar, and returns
// the text without comments.
func (f *File) scan(text []byte) []byte {
	var current *Section
	var bare bytes.Buffer
	for i, raw := range bytes.Split(text, []byte("\n")) {
		line := uncomment(string(raw))
		switch {
		case line == "":
		case line[0] == '[':
			current = f.section(i+1, line)
		default:
			f.pair(current, i+1, line)
		}
		bare.WriteString(line)
		bare.WriteByte('\n')
	}
	return bare.Bytes()
}

// comment begins at the start of a line or after a blank, so that a value can
// hold the characters.
var comment = regexp.MustCompile(`(^|[ \t])[#;].*$`)

func uncomment(line string) string {
	return strings.TrimSpace(comment.ReplaceAllString(strings.TrimSpace(line), ""))
}

func (f *File) section(at int, line string) *Section {
	match := sectionLine.FindStringSubmatch(line)
	if match == nil || !titleForm.MatchString(match[1]) {
		f.fault(at, "section", line, "[kind] or [kind name ...] in lower-case letters, digits, dots and hyphens")
		return &Section{file: f, line: at, keys: make(map[string]*key)}
	}
	if i := slices.IndexFunc(f.sections, func(s *Section) bool { return s.title == match[1] }); i >= 0 {
		f.fault(at, "section", line, fmt.Sprintf("each section once; the first is on line %d", f.sections[i].line))
		return &Section{file: f, line: at, keys: make(map[string]*key)}
	}
	s := &Section{file: f, title: match[1], words: strings.Fields(match[1]), line: at, keys: make(map[string]*key)}
	f.sections = append(f.sections, s)
	return s
}

func (f *File) pair(s *Section, at int, line string) {
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case s == nil:
		f.fault(at, "line", line, "a [section] first")
	case !found || !keyForm.MatchString(name):
		f.fault(at, "line", line, "name = value, the name in lower-case letters, digits and hyphens")
	case strings.ContainsAny(value, "`\"'\\") || strings.ContainsFunc(value, isControl):
		f.fault(at, s.field(name), value, "no quotes, backslashes or control characters")
		s.keys[name] = &key{name: name, line: at, read: true}
	case s.keys[name] != nil:
		f.fault(at, s.field(name), value, fmt.Sprintf("each name once; the first is on line %d", s.keys[name].line))
	default:
		k := &key{name: name, line: at}
		s.keys[name] = k
		s.order = append(s.order, k)
	}
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f || r == '\uFFFD' }

// options make ini.v1 read one line as one value; scan has refused the rest.
var options = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	SkipUnrecognizableLines: true,
	KeyValueDelimiters:      "=",
}

// load takes the values from the library. It reads the raw value: the library
// would replace %(name)s, which would let a value differ from its line.
func (f *File) load(text []byte) {
	parsed, err := ini.LoadSources(options, text)
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

// Faults returns every mistake found so far, in order of lines; call it after
// all fields are read. Sections and fields that nobody read are among them.
func (f *File) Faults() Faults {
	all := slices.Clone(f.faults)
	for _, s := range f.sections {
		for _, k := range s.order {
			if !k.read {
				all = append(all, &Fault{File: f.name, Line: k.line, Field: s.field(k.name), Value: shown(k.value), Accept: "no such field here"})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b *Fault) int { return cmp.Compare(a.Line, b.Line) })
	return all
}

func (f *File) fault(line int, field, value, accept string) {
	f.faults = append(f.faults, &Fault{File: f.name, Line: line, Field: field, Value: shown(value), Accept: accept})
}

func shown(value string) string {
	value = strings.ToValidUTF8(value, "?")
	if len(value) <= maxShown {
		return value
	}
	return strings.ToValidUTF8(value[:maxShown], "") + "..."
}

// Only returns the section with that title; it is a fault if there is none,
// and an empty section is returned so that its fields are checked as well.
func (f *File) Only(title string) *Section {
	if s, ok := f.Optional(title); ok {
		return s
	}
	f.fault(0, "["+title+"]", "", "this section is required")
	return &Section{file: f, title: title, keys: make(map[string]*key)}
}

// Optional returns the section with that title, if the text has it.
func (f *File) Optional(title string) (*Section, bool) {
	for _, s := range f.sections {
		if s.title == title {
			return s, true
		}
	}
	return nil, false
}

// Kind returns the sections "[kind word ...]" with that many words after the
// kind, in order.
func (f *File) Kind(kind string, words int) []*Section {
	var out []*Section
	for _, s := range f.sections {
		if s.words[0] == kind && len(s.words) == words+1 {
			out = append(out, s)
		}
	}
	return out
}

// Known makes every section a fault whose kind and number of words after it
// is not among those given, for example {"service": 1}.
func (f *File) Known(kinds map[string]int) {
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
