package mtbundle_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
)

const (
	keyIlze  = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAE="
	keyJanis = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAI="
)

const validText = `# dispatch only
[bundle]
business   = ratins
version    = 3
signatures = 1

[signer ilze]
key = ` + keyIlze + `
[signer janis]
key = ` + keyJanis + `

[service dispatch]
kind      = keyed
imbalance = 3
shards    = 16

[class dispatch send]
idempotent = no
timeout    = 750ms ; a desk waits no longer
priority   = 9
`

func TestParse(t *testing.T) {
	b, faults := mtbundle.Parse("ratins.ini", []byte(validText))
	assert.NilError(t, faults.Err())
	assert.Equal(t, b.Business, mtid.Business("ratins"))
	assert.Equal(t, b.Version, mtid.Version(3))
	assert.Equal(t, len(b.Signers), 2)
	service, ok := b.Service("dispatch")
	assert.Assert(t, ok)
	assert.Equal(t, service.Kind, mtbundle.Keyed)
	assert.Equal(t, service.Weights.Imbalance, 3.0)
	assert.Equal(t, service.Shards, 16)
	class, ok := service.Class("send")
	assert.Assert(t, ok)
	assert.Equal(t, class.Timeout, 750*time.Millisecond)
	assert.Equal(t, class.Idempotent, false)
}

// If Parse reported only the first mistake, an operator would need another review
// for each one. It must report all of them at once, each with its line.
func TestParseReportsAllFaults(t *testing.T) {
	text := strings.NewReplacer(
		"version    = 3", "version = zero",
		"shards    = 16", "shards = 0\nshardz = 4",
		"idempotent = no", "idempotent = perhaps",
		"750ms", "1h",
		keyJanis, keyIlze,
	).Replace(validText) + "[class mapsvc floorplan]\ntimeout = 1s\nstray\n[sevrice x]\n"
	_, faults := mtbundle.Parse("ratins.ini", []byte(text))
	type location struct {
		line  int
		field string
		value string
	}
	want := []location{
		{4, "[bundle] version", "zero"},
		{10, "[signer janis] key", keyIlze},
		{15, "[service dispatch] shards", "0"},
		{16, "[service dispatch] shardz", "4"},
		{19, "[class dispatch send] idempotent", "perhaps"},
		{20, "[class dispatch send] timeout", "1h"},
		{22, "[class mapsvc floorplan]", "mapsvc"},
		{24, "line", "stray"},
		{25, "section", "[sevrice x]"},
	}
	assert.Equal(t, len(faults), len(want), faults.Error())
	for i, f := range faults {
		assert.Equal(t, f.File, "ratins.ini")
		assert.Equal(t, location{f.Line, f.Field, f.Value}, want[i])
		assert.Assert(t, f.Accept != "")
	}
}

func TestParseRejectsInvalidText(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		field    string
	}{
		{"no business", "business   = ratins", "", "[bundle] business"},
		{"upper case", "ratins", "Ratins", "[bundle] business"},
		{"duplicate field", "version    = 3", "version = 3\nversion = 4", "[bundle] version"},
		{"version 0", "version    = 3", "version = 0", "[bundle] version"},
		{"negative version", "version    = 3", "version = -1", "[bundle] version"},
		{"not a number", "imbalance = 3", "imbalance = NaN", "[service dispatch] imbalance"},
		{"infinite", "imbalance = 3", "imbalance = +Inf", "[service dispatch] imbalance"},
		{"more signatures than other signers", "signatures = 1", "signatures = 2", "[bundle] signatures"},
		{"no signature", "signatures = 1", "signatures = 0", "[bundle] signatures"},
		{"short key", keyIlze, "AAAA", "[signer ilze] key"},
		{"only one signer", "[signer janis]\nkey = " + keyJanis, "", "[bundle]"},
		{"quoted", "750ms", `"750ms`, "[class dispatch send] timeout"},
		{"continued", "750ms ; a desk waits no longer", `750ms\`, "[class dispatch send] timeout"},
		{"no class", "[class dispatch send]", "[class mapsvc send]", "[service dispatch]"},
		{"replaced", "version    = 3", "version = %(signatures)s", "[bundle] version"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validText, test.old, test.new, 1)
			assert.Assert(t, text != validText)
			_, faults := mtbundle.Parse("x.ini", []byte(text))
			assert.Assert(t, len(faults) > 0)
			var fields []string
			for _, f := range faults {
				fields = append(fields, f.Field)
			}
			assert.Assert(t, strings.Contains(strings.Join(fields, "\n"), test.field), "%v", faults)
		})
	}
}

func TestStoredRoundTrip(t *testing.T) {
	s := &mtbundle.Stored{
		Business: "ratins", Version: 3, Text: []byte(validText), Proposer: "ilze",
		Signatures: []mtbundle.Signature{{Signer: "janis", Value: []byte{1, 2}}},
		WriteID:    mtroster.WriteID{Writer: mtid.Holder{Daemon: "d1", Incarnation: 4}, Sequence: 9},
		Accepter:   "ilze", Proposed: time.UnixMilli(1000).UTC(), Accepted: time.UnixMilli(2000).UTC(),
	}
	value, err := s.Encode()
	assert.NilError(t, err)
	got, err := mtbundle.DecodeStored(value)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, s)
	b, err := mtbundle.Decode(value)
	assert.NilError(t, err)
	assert.Equal(t, b.Proposer, "ilze")
	s.Version = 4
	value, err = s.Encode()
	assert.NilError(t, err)
	_, err = mtbundle.Decode(value)
	var wrong *mtbundle.DecodeError
	assert.Assert(t, err != nil)
	assert.ErrorType(t, err, wrong)
}

// FuzzParse searches for text that panics the parser, or that is accepted although
// the resulting bundle is unusable.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validText))
	f.Add([]byte("[bundle]\nversion = 1\n[class a b]\n"))
	for _, name := range []string{"ratins.ini", "bundesamt.ini"} {
		if text, err := os.ReadFile("../../examples/bundles/" + name); err == nil {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		b, faults := mtbundle.Parse("fuzz.ini", text)
		if (b == nil) == (len(faults) == 0) {
			t.Fatalf("bundle %v with faults %v", b, faults)
		}
		if b != nil && (b.Needed < 1 || b.Needed >= len(b.Signers) || len(b.Services) == 0) {
			t.Fatalf("accepted %+v", b)
		}
	})
}
