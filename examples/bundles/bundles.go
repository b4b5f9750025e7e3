// Package bundles embeds the sample bundles of both deployments, so that the
// examples run from any working directory.
//
// # Usage
//
//	bundle, faults := mtbundle.Parse("ratins.ini", bundles.Ratins)
package bundles

import _ "embed"

// Ratins is the bundle of the hotel robots in Riga.
//
//go:embed ratins.ini
var Ratins []byte

// Bundesamt is the bundle of the machinery loans in Bern.
//
//go:embed bundesamt.ini
var Bundesamt []byte
