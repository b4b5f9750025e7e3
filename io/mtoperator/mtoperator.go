// Package mtoperator authenticates operators by token, and authorizes them by
// role and business.
//
// The operators file is INI. It contains hashes of tokens, never tokens:
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
// The file is reloaded when it changes; if the new one has faults, the previous
// operators stay in use. All methods but Reload are safe for concurrent use.
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

// Role is a permission that an operator can have for a business.
type Role string

// The roles. No role implies another.
const (
	View    Role = "view"    // view bundles, assignments, the quarantine and statistics
	Propose Role = "propose" // propose a new bundle
	Sign    Role = "sign"    // submit a signature of a proposed bundle
	Accept  Role = "accept"  // put a signed bundle in force
	Drain   Role = "drain"   // take a daemon of the business out of service
)

// Roles lists all roles.
var Roles = []Role{View, Propose, Sign, Accept, Drain}

// ReloadInterval is how often the file is checked for changes.
const ReloadInterval = 10 * time.Second

// Operator is a person or program that authenticates with a token.
type Operator struct {
	Name   string
	grants map[mtid.Business][]Role
	all    bool // all roles for all businesses; only on plain HTTP, see AllowAll
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

// Directory looks up operators by token.
type Directory struct {
	file     string
	text     []byte                               // of the last accepted reload
	current  atomic.Pointer[map[string]*Operator] // by hash of the token
	allowAll bool
}

// AllowAll returns the directory of a daemon without an operators file, which
// listens on a loopback address only. Every request, with or without a token, is
// attributed to an operator named "local" that has all roles.
func AllowAll() *Directory { return &Directory{allowAll: true} }

// Open loads the file and starts to check it for changes every ReloadInterval.
// report is called from another goroutine with the error of each failed reload.
// Errors are of type mtini.Faults or *mttls.FileError.
func Open(file string, report func(error)) (*Directory, func(), error) {
	d := &Directory{file: file}
	if err := d.Reload(); err != nil {
		return nil, nil, err
	}
	stop := mtduty.Every(ReloadInterval, func(context.Context) {
		if err := d.Reload(); err != nil {
			report(err)
		}
	})
	return d, stop, nil
}

// Reload loads the file now, if it has changed. It must not be called
// concurrently with itself; concurrent calls of Find are safe.
func (d *Directory) Reload() error {
	text, err := os.ReadFile(d.file)
	if err != nil {
		return &mttls.FileError{File: d.file, Reason: "cannot read file", Err: err}
	}
	if d.current.Load() != nil && bytes.Equal(text, d.text) {
		return nil
	}
	operators, faults := Parse(d.file, text)
	if err := faults.Err(); err != nil {
		return err
	}
	d.text = text
	d.current.Store(&operators)
	return nil
}

// Find returns the operator with the given token. The lookup is by the token's
// hash, so its duration reveals nothing about valid tokens.
func (d *Directory) Find(token string) (*Operator, bool) {
	if d.allowAll {
		return &Operator{Name: "local", all: true}, true
	}
	o, ok := (*d.current.Load())[mttls.HashToken(token)]
	return o, ok
}

// Parse parses an operators file. The map is keyed by the hash of the token; file
// is the name that faults mention.
func Parse(file string, text []byte) (map[string]*Operator, mtini.Faults) {
	f := mtini.Read(file, text)
	operators := make(map[string]*Operator)
	names := make(map[string]*Operator)
	for _, s := range f.SectionsOfKind("operator", 1) {
		o := &Operator{Name: s.Word(1), grants: make(map[mtid.Business][]Role)}
		hash := s.Required("token-sha256", expectedHash)
		if sum, err := hex.DecodeString(hash); hash != "" && (err != nil || len(sum) != hashSize || strings.ToLower(hash) != hash) {
			// The value may be a token entered in place of its hash, so it
			// must not reach the log.
			s.AddFault("token-sha256", "(not shown)", expectedHash)
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

// hashSize is the size of a SHA-256 digest in bytes.
const hashSize = 32

const expectedHash = "the SHA-256 of a token in lower-case hex, from keygen"

func parseRoles(s *mtini.Section) []Role {
	expected := expectedRoles()
	var roles []Role
	for _, word := range strings.Split(s.Required("roles", expected), ",") {
		role := Role(strings.TrimSpace(word))
		if role != "" && !slices.Contains(Roles, role) {
			s.AddFault("roles", string(role), expected)
		}
		roles = append(roles, role)
	}
	return roles
}

func expectedRoles() string {
	words := make([]string, len(Roles))
	for i, role := range Roles {
		words[i] = string(role)
	}
	return "one or more, with commas, of " + strings.Join(words, ", ")
}
