// Package mthead checks the heads of HTTP/1.x messages. The parser of net/http accepts some that have no meaning,
// or two: names with blanks, any status, lengths that contradict each other. What one reader takes for a field
// is content for the next, so such a message must be neither used nor passed on.
//
// # Usage
//
//	size := mthead.End(received, 0) // zero while the head is incomplete
//	err := mthead.CheckResponse(received[:size])
//
// Lines may end in a line feed alone, as RFC 9112 allows. All errors are of type *Error.
package mthead

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Part is a part of a head.
type Part string

// The parts that are checked.
const (
	PartStart   Part = "start line"
	PartField   Part = "field"
	PartFraming Part = "framing"
	PartHost    Part = "host"
)

// Error reports a head that is not valid.
type Error struct {
	Part Part
	Line string // its beginning
}

// maxShown bounds the part of a line that an error shows, in bytes.
const maxShown = 80

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s of the head is not valid: %q", e.Part, e.Line) }

func invalid(part Part, line string) *Error {
	return &Error{Part: part, Line: strings.Clone(line[:min(len(line), maxShown)])}
}

// End returns the size of the head at the beginning of b, with the empty line that ends it, or zero if b doesn't
// have it whole. The first bytes have been searched before.
func End(b []byte, searched int) int {
	i := max(searched-2, 0) // the line feed before an incomplete empty line
	if i == 0 && emptyLine(b) > 0 {
		return emptyLine(b)
	}
	for {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		if size := emptyLine(b[i:]); size > 0 {
			return i + size
		}
	}
}

// emptyLine returns the size of the empty line at the beginning of b, or zero.
func emptyLine(b []byte) int {
	switch {
	case bytes.HasPrefix(b, []byte("\n")):
		return 1
	case bytes.HasPrefix(b, []byte("\r\n")):
		return 2
	}
	return 0
}

// cutLine returns the first line without its end, and the rest.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

// CheckResponse checks the head of a response, interim ones included.
func CheckResponse(head []byte) error {
	line, rest := cutLine(string(head))
	status, ok := status(line)
	if !ok {
		return invalid(PartStart, line)
	}
	f := framing{version: line[:versionSize], bodiless: status < http.StatusOK || status == http.StatusNoContent}
	return f.checkFields(rest)
}

// The versions that are understood.
const (
	version10   = "HTTP/1.0"
	version11   = "HTTP/1.1"
	versionSize = len(version11)
)

func validVersion(v string) bool { return v == version11 || v == version10 }

// status returns the status of a response, and whether its first line is valid. No request asks to switch
// protocols, so 101 is none.
func status(line string) (int, bool) {
	const size = versionSize + len(" 200")
	if len(line) < size || !validVersion(line[:versionSize]) || line[versionSize] != ' ' {
		return 0, false
	}
	digits, reason := line[versionSize+1:size], line[size:]
	if reason != "" && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(reason) {
		return 0, false
	}
	n, ok := number(digits)
	return int(n), ok && n >= http.StatusContinue && n < 600 && n != http.StatusSwitchingProtocols
}

// ValidAnswer reports whether a final response can have a status.
func ValidAnswer(status int) bool { return status >= http.StatusOK && status < 600 }

// ValidField reports whether a message can have a field.
func ValidField(name, value string) bool {
	return httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value)
}

// number returns the value of a text that is all digits.
func number(digits string) (int64, bool) {
	if strings.ContainsFunc(digits, func(r rune) bool { return r < '0' || r > '9' }) {
		return 0, false
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	return n, err == nil
}

// CheckRequest checks the head of a request.
func CheckRequest(head []byte) error {
	line, rest := cutLine(string(head))
	words := strings.Split(line, " ")
	if len(words) != 3 || !httpguts.ValidHeaderFieldName(words[0]) || !validVersion(words[2]) {
		return invalid(PartStart, line)
	}
	f := framing{version: words[2]}
	if err := f.checkFields(rest); err != nil {
		return err
	}
	if f.hosts > 1 {
		return invalid(PartHost, line)
	}
	return nil
}

// CheckTrailer checks the fields behind a body in chunks, up to the empty line.
func CheckTrailer(section []byte) error {
	var f framing
	return f.checkFields(string(section))
}

// framing is what the fields of a head say about where the body ends.
type framing struct {
	version  string // none for a trailer
	bodiless bool   // the message has no body whatever its fields say
	lengths  []string
	codings  []string
	hosts    int
}

// checkFields checks the lines up to the empty one.
func (f *framing) checkFields(lines string) error {
	line, lines := cutLine(lines)
	for ; line != ""; line, lines = cutLine(lines) {
		if !f.add(line) {
			return invalid(PartField, line)
		}
	}
	if !f.valid() {
		return invalid(PartFraming, strings.Join(append(f.codings, f.lengths...), ", "))
	}
	return nil
}

// add reads a field, and reports whether its line is valid. A line that begins with a blank, which would go
// on with the field before, has no valid name.
func (f *framing) add(line string) bool {
	name, value, found := strings.Cut(line, ":")
	if !found || !ValidField(name, value) {
		return false
	}
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		f.lengths = append(f.lengths, value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.codings = append(f.codings, value)
	case strings.EqualFold(name, "Host"):
		f.hosts++
	}
	return true
}

// valid reports whether the fields name at most one end of the body. A length that is repeated is one.
func (f *framing) valid() bool {
	if f.version == "" {
		return len(f.codings) == 0 && len(f.lengths) == 0
	}
	for _, length := range f.lengths {
		n, ok := number(length)
		if !ok || f.bodiless && n > 0 || length != f.lengths[0] {
			return false
		}
	}
	if len(f.codings) == 0 {
		return true
	}
	one := len(f.codings) == 1 && strings.EqualFold(f.codings[0], "chunked")
	return one && len(f.lengths) == 0 && !f.bodiless && f.version == version11
}
