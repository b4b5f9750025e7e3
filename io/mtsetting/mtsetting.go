// Package mtsetting reads a daemon's settings from an INI file: its name,
// availability zone and addresses, the store, its seed peers and its credentials.
//
// # Usage
//
//	settings, faults := mtsetting.Load("daemon.ini")
//	if err := faults.Err(); err != nil { ... every fault, with file and line ... }
//
// All faults of a file are returned together. Secrets are only referenced by file
// name; a relative name is resolved against the directory of the settings file.
// Without a [keys] section, transport is unencrypted. That is accepted only if
// every address is a loopback address, so that a forgotten section can't expose a
// production daemon.
package mtsetting

import (
	"log/slog"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
)

// Settings configure a daemon at its start and stay fixed while it runs.
// Configuration that changes at run time is in the bundles.
type Settings struct {
	Name   mtid.Daemon
	Zone   mtid.Zone
	Region mtid.Region
	// Addresses to listen on, as host:port. Those that others connect to must be
	// IP addresses that other VMs can reach.
	Caller       string   // HTTP for callers
	Relay        string   // gRPC for daemons
	Renew        string   // UDP for daemons
	Local        string   // HTTP for the backend server on this VM
	Admin        string   // HTTP for operators
	Store        string   // base URL of the platform's store
	Seeds        []string // relay addresses of the daemons to contact first
	Keys         Keys
	MaxBodyBytes int64 // maximum body size of a request or reply, in bytes
	// Operators is the file with operator tokens and roles. Without one, the
	// administration API must listen on a loopback address and grants every
	// client all roles.
	Operators string
	// Roots holds the signers that must approve the first bundle of a business.
	// A business without an entry trusts the signers that its first bundle lists.
	Roots map[mtid.Business]mtbundle.Authority
	Log   slog.Level
}

// Keys holds the names of credential files, in PEM format unless noted. Empty
// names mean unencrypted transport, which is for examples and tests only.
type Keys struct {
	Certificate string
	Key         string
	Authority   string
	Secret      string // secrets that authenticate datagrams, 32 bytes in hex a line, newest first
}
