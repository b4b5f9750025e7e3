// Package mtoperator knows the operators: who holds which token, and what each
// may do for which business.
//
// The file is INI. It holds hashes of tokens, never tokens:
//
//	[operator ilze]
//	token-sha256 = 9f86d081...        ; from "magnoliaturn keygen token ilze"
//	[grant ilze ratins]
//	roles = view, propose, sign
//
// # Usage
//
//	directory, cleanUp, err := mtoperator.Open("keys/operators.ini", report)
//	operator, ok := directory.Find(token)
//	if !operator.May(mtoperator.Accept, "ratins") { ... 403 ... }
//
// The file is read again when it changes; a faulty one leaves the former in
// use. All methods are safe for concurrent use.
package mtoperator

import (
	"bytes"
	"context"
	"encoding/hex"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtini"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mttls"
)

// Role is one thing that an operator may do for a business.
type Role string

// The roles. None includes another.
const (
	View    Role = "view"    // see bundles, assignment, quarantine and figures
	Propose Role = "propose" // bring a new bundle
	Sign    Role = "sign"    // hand in a signature
	Accept  Role = "accept"  // put a signed bundle in force
	Drain   Role = "drain"   // take a daemon of the business out of service
)

// Roles are all roles.
var Roles = []Role{View, Propose, Sign, Accept, Drain}

// Interval is how often the file is looked at.
const Interval = 10 * time.Second

// Operator is one person or program that holds a token.
type Operator struct {
	Name   string
	grants map[mtid.Business][]Role
	all    bool // every role for every business: plain transport only
}

// May reports whether o has the role for the business.
func (o *Operator) May(role Role, business mtid.Business) bool {
	return o.all || slices.Contains(o.grants[business], role)
}

// MayAny reports whether o has the role for any business.
func (o *Operator) MayAny(role Role) bool {
	if o.all {
		return true
	}
	for _, roles := range o.grants {
		if slices.Contains(roles, role) {
			return true
		}
	}
	return false
}

// Directory finds operators by token.
type Directory struct {
	file string
	text []byte
	now  atomic.Pointer[map[string]*Operator] // by hash of the token
	open bool
}

// Everyone returns the directory of a daemon without an operators file, which
// listens on a loopback address only: whoever asks is an operator called
// "local" with all roles.
func Everyone() *Directory { return &Directory{open: true} }

// Open reads the file, and begins to look for changes. report is called with
// the faults of a later reading, from another goroutine. It fails with
// mtini.Faults or an *mttls.FileError.
func Open(file string, report func(error)) (*Directory, func(), error) {
	d := &Directory{file: file}
	if err := d.Reload(); err != nil {
		return nil, nil, err
	}
	stop := mtduty.Every(Interval, func(context.Context) {
		if err := d.Reload(); err != nil {
			report(err)
		}
	})
	return d, stop, nil
}

// Reload reads the file now. It is called by one goroutine at a time; Find may
// go on meanwhile.
func (d *Directory) Reload() error {
	text, err := os.ReadFile(d.file)
	if err != nil {
		return &mttls.FileError{File: d.file, Reason: "can't be read", Err: err}
	}
	if d.now.Load() != nil && bytes.Equal(text, d.text) {
		return nil
	}
	operators, faults := Parse(d.file, text)
	if err := faults.Err(); err != nil {
		return err
	}
	d.text = text
	d.now.Store(&operators)
	return nil
}

// Find returns the operator with that token. Tokens are found by their hash,
// so how long the look-up takes tells nothing about any token.
func (d *Directory) Find(token string) (*Operator, bool) {
	if d.open {
		return &Operator{Name: "local", all: true}, true
	}
	o, ok := (*d.now.Load())[mttls.HashToken(token)]
	return o, ok
}

// Parse reads the text of an operators file, by hash of the token.
func Parse(file string, text []byte) (map[string]*Operator, mtini.Faults) {
	f := mtini.Read(file, text)
	operators := make(map[string]*Operator)
	names := make(map[string]*Operator)
	for _, s := range f.SectionsOfKind("operator", 1) {
		o := &Operator{Name: s.Word(1), grants: make(map[mtid.Business][]Role)}
		hash := s.Required("token-sha256", acceptHash)
		if sum, err := hex.DecodeString(hash); hash != "" && (err != nil || len(sum) != hashSize || strings.ToLower(hash) != hash) {
			// It may be a token that was put here in place of its hash.
			s.AddFault("token-sha256", "(not shown)", acceptHash)
		}
		if other, ok := operators[hash]; ok && hash != "" {
			s.AddFault("token-sha256", "(not shown)", "a token of its own; operator "+other.Name+" has this one")
		}
		operators[hash] = o
		names[o.Name] = o
	}
	for _, s := range f.SectionsOfKind("grant", 2) {
		roles := parseRoles(s)
		o, ok := names[s.Word(1)]
		if !ok {
			s.AddFault("", s.Word(1), "an operator of this file")
			continue
		}
		o.grants[mtid.Business(s.Word(2))] = roles
	}
	f.CheckKinds(map[string]int{"operator": 1, "grant": 2})
	if faults := f.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return operators, nil
}

// hashSize is the length of a SHA-256, in bytes.
const hashSize = 32

const acceptHash = "the SHA-256 of a token in lower-case hex, from keygen"

func parseRoles(s *mtini.Section) []Role {
	accept := acceptRoles()
	var roles []Role
	for _, word := range strings.Split(s.Required("roles", accept), ",") {
		role := Role(strings.TrimSpace(word))
		if role != "" && !slices.Contains(Roles, role) {
			s.AddFault("roles", string(role), accept)
		}
		roles = append(roles, role)
	}
	return roles
}

func acceptRoles() string {
	words := make([]string, len(Roles))
	for i, role := range Roles {
		words[i] = string(role)
	}
	return "one or more, with commas, of " + strings.Join(words, ", ")
}
