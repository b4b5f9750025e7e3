// Package mtsetting reads a daemon's settings from an INI file: its name,
// availability zone and addresses, the store, its first peers and its keys.
//
// # Usage
//
//	settings, faults := mtsetting.Load("daemon.ini")
//	if err := faults.Err(); err != nil { ... every fault, with file and line ... }
//
// Every fault of a file is returned at once. Secrets are named by file only;
// a relative name is taken from the directory of the settings file. Plain
// transport, with no [keys] section, is accepted only while every address is a
// loopback one, so that a forgotten section can't open a production daemon.
package mtsetting

import (
	"log/slog"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
)

// Settings are what a daemon is told at its start. They don't change while it
// runs; everything that does is in the bundles.
type Settings struct {
	Name   mtid.Daemon
	Zone   mtid.Zone
	Region mtid.Region
	// Addresses to listen on, host:port. The ones that others connect to must
	// be reachable by IP from the other VMs.
	Caller string // HTTP for callers
	Relay  string // gRPC for daemons
	Renew  string // UDP for daemons
	Local  string // HTTP for the backend server on this VM
	Admin  string // HTTP for operators
	Store  string // base URL of the platform's store
	Seeds  []string
	Keys   Keys
	Body   int64 // largest body of a request or reply, bytes
	// Operators names the file of operator tokens and roles. Without one the
	// administration API only answers on a loopback address, and takes every
	// caller for an operator with all roles.
	Operators string
	// Roots say who signs the first bundle of a business. A business without
	// one begins with the signers that its first bundle lists.
	Roots map[mtid.Business]mtbundle.Authority
	Log   slog.Level
}

// Keys name the files that hold credentials, PEM unless said otherwise. Empty
// names mean plain transport, which is for examples and tests only.
type Keys struct {
	Certificate string
	Key         string
	Authority   string
	Secret      string // shared secret for datagrams, 32 bytes in hex
}
