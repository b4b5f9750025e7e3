package mtini

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// MaxName is the longest name, in bytes.
const MaxName = 63

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

const acceptName = "1 to 63 lower-case letters, digits, dots and hyphens, a letter or digit first"

// Word returns the word number i of the section's title; the kind is word 0.
func (s *Section) Word(i int) string { return s.words[i] }

// Line returns the line that the section begins on.
func (s *Section) Line() int { return s.line }

// Has reports whether the section has the field.
func (s *Section) Has(name string) bool { return s.keys[name] != nil }

// Fault adds a mistake of a field that a caller found by a rule of its own.
// The empty field blames the section's title.
func (s *Section) Fault(name, value, accept string) {
	if name == "" {
		s.file.fault(s.line, "["+s.title+"]", value, accept)
		return
	}
	line := s.line
	if k := s.keys[name]; k != nil {
		line = k.line
	}
	s.file.fault(line, s.field(name), value, accept)
}

func (s *Section) field(name string) string { return "[" + s.title + "] " + name }

// get returns the value of a field, and false if it is absent.
func (s *Section) get(name string) (string, bool) {
	k := s.keys[name]
	if k == nil {
		return "", false
	}
	k.read = true
	return k.value, true
}

// Text returns a field of free text, or the default.
func (s *Section) Text(name, otherwise string) string {
	if v, ok := s.get(name); ok {
		return v
	}
	return otherwise
}

// Required returns a field that must be there and not be empty.
func (s *Section) Required(name, accept string) string {
	v, _ := s.get(name)
	if v == "" {
		s.Fault(name, v, accept)
	}
	return v
}

// Name returns a field that must be there and hold a name.
func (s *Section) Name(name string) string {
	v, _ := s.get(name)
	if !IsName(v) {
		s.Fault(name, v, acceptName)
	}
	return v
}

// IsName reports whether v can name a business, service, class or daemon.
func IsName(v string) bool { return len(v) <= MaxName && nameForm.MatchString(v) }

// Choice returns a field whose value must be one of the choices. The first is
// the default.
func (s *Section) Choice(name string, choices ...string) string {
	v, ok := s.get(name)
	if !ok {
		return choices[0]
	}
	for _, c := range choices {
		if v == c {
			return v
		}
	}
	s.Fault(name, v, strings.Join(choices, ", "))
	return choices[0]
}

// Bool returns a field that says yes or no.
func (s *Section) Bool(name string, otherwise bool) bool {
	if !s.Has(name) {
		return otherwise
	}
	return s.Choice(name, "no", "yes") == "yes"
}

// Int returns a whole number within low and high, both included.
func (s *Section) Int(name string, otherwise, low, high int) int {
	v, ok := s.get(name)
	if !ok {
		return otherwise
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		s.Fault(name, v, fmt.Sprintf("a whole number from %d to %d", low, high))
		return otherwise
	}
	return n
}

// Float returns a number within low and high, both included.
func (s *Section) Float(name string, otherwise, low, high float64) float64 {
	v, ok := s.get(name)
	if !ok {
		return otherwise
	}
	n, err := strconv.ParseFloat(v, 64)
	// The comparison is written so that it fails for NaN.
	if err != nil || !(n >= low && n <= high) {
		s.Fault(name, v, fmt.Sprintf("a number from %g to %g", low, high))
		return otherwise
	}
	return n
}

// Duration returns a time span within low and high, both included.
func (s *Section) Duration(name string, otherwise, low, high time.Duration) time.Duration {
	v, ok := s.get(name)
	if !ok {
		return otherwise
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		s.Fault(name, v, fmt.Sprintf("a duration from %s to %s", low, high))
		return otherwise
	}
	return d
}

// Address returns a required field of the form IP:port.
func (s *Section) Address(name string) string {
	v, _ := s.get(name)
	if !isAddress(v) {
		s.Fault(name, v, acceptAddress)
	}
	return v
}

// Addresses returns a field with addresses parted by commas; it may be absent.
func (s *Section) Addresses(name string) []string {
	v, ok := s.get(name)
	if !ok || v == "" {
		return nil
	}
	var out []string
	for _, part := range strings.Split(v, ",") {
		part = strings.TrimSpace(part)
		if !isAddress(part) {
			s.Fault(name, part, acceptAddress)
			continue
		}
		out = append(out, part)
	}
	return out
}

const acceptAddress = "IP:port with a port from 1 to 65535, an IPv6 address in brackets"

// isAddress takes IP numbers only: there is no name service between the VMs.
func isAddress(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && a.Port() != 0
}
