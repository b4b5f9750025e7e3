package mtini

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// MaxName is the maximum length of a name in bytes.
const MaxName = 63

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

const acceptName = "1 to 63 lower-case letters, digits, dots and hyphens, a letter or digit first"

// Word returns word i of the section's title; word 0 is the kind.
func (s *Section) Word(i int) string { return s.words[i] }

// Line returns the number of the line with the section's title.
func (s *Section) Line() int { return s.line }

// Has reports whether the section contains the field, without marking it as read.
func (s *Section) Has(name string) bool { return s.keys[name] != nil }

// AddFault adds a fault that the caller's own validation found. If name is empty,
// the fault refers to the section's title.
func (s *Section) AddFault(name, value, accept string) {
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

// get returns the value of a field and marks it as read, or false if it is absent.
func (s *Section) get(name string) (string, bool) {
	k := s.keys[name]
	if k == nil {
		return "", false
	}
	k.read = true
	return k.value, true
}

// Text returns a field of free text, or the fallback if it is absent.
func (s *Section) Text(name, fallback string) string {
	if v, ok := s.get(name); ok {
		return v
	}
	return fallback
}

// Required returns a field that must be present and not empty.
func (s *Section) Required(name, accept string) string {
	v, _ := s.get(name)
	if v == "" {
		s.AddFault(name, v, accept)
	}
	return v
}

// Name returns a required field that must hold a name as defined by IsName.
func (s *Section) Name(name string) string {
	v, _ := s.get(name)
	if !IsName(v) {
		s.AddFault(name, v, acceptName)
	}
	return v
}

// IsName reports whether v is a valid name of a business, service, class or daemon.
func IsName(v string) bool { return len(v) <= MaxName && namePattern.MatchString(v) }

// Choice returns a field whose value must be one of the choices. The first choice
// is the default.
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
	s.AddFault(name, v, strings.Join(choices, ", "))
	return choices[0]
}

// Bool returns a field whose value must be yes or no, or the fallback if it is
// absent.
func (s *Section) Bool(name string, fallback bool) bool {
	if !s.Has(name) {
		return fallback
	}
	return s.Choice(name, "no", "yes") == "yes"
}

// Int returns an integer from low to high, both included. It returns the fallback
// if the field is absent or invalid.
func (s *Section) Int(name string, fallback, low, high int) int {
	v, ok := s.get(name)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		s.AddFault(name, v, fmt.Sprintf("a whole number from %d to %d", low, high))
		return fallback
	}
	return n
}

// Float returns a number from low to high, both included. It returns the fallback
// if the field is absent or invalid.
func (s *Section) Float(name string, fallback, low, high float64) float64 {
	v, ok := s.get(name)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	// The negated comparison also rejects NaN.
	if err != nil || !(n >= low && n <= high) {
		s.AddFault(name, v, fmt.Sprintf("a number from %g to %g", low, high))
		return fallback
	}
	return n
}

// Duration returns a duration from low to high, both included. It returns the
// fallback if the field is absent or invalid.
func (s *Section) Duration(name string, fallback, low, high time.Duration) time.Duration {
	v, ok := s.get(name)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		s.AddFault(name, v, fmt.Sprintf("a duration from %s to %s", low, high))
		return fallback
	}
	return d
}

// Address returns a required field of the form IP:port.
func (s *Section) Address(name string) string {
	v, _ := s.get(name)
	if !isAddress(v) {
		s.AddFault(name, v, acceptAddress)
	}
	return v
}

// Addresses returns an optional field of comma-separated IP:port addresses.
func (s *Section) Addresses(name string) []string {
	v, ok := s.get(name)
	if !ok || v == "" {
		return nil
	}
	var out []string
	for _, part := range strings.Split(v, ",") {
		part = strings.TrimSpace(part)
		if !isAddress(part) {
			s.AddFault(name, part, acceptAddress)
			continue
		}
		out = append(out, part)
	}
	return out
}

const acceptAddress = "IP:port with a port from 1 to 65535, an IPv6 address in brackets"

// isAddress accepts IP addresses only, because the VMs have no name service to
// resolve host names.
func isAddress(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && a.Port() != 0
}
