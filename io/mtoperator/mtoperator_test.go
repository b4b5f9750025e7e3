package mtoperator_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtoperator"
	"magnoliaturn/io/mttls"
)

func operatorsFile(hashes map[string]string) string {
	return `[operator ilze]
token-sha256 = ` + hashes["ilze"] + `
[operator beat]
token-sha256 = ` + hashes["beat"] + `
[grant ilze ratins]
roles = view, propose, sign
[grant beat bundesamt]
roles = view, accept, drain
[grant beat ratins]
roles = view
`
}

var hashes = map[string]string{"ilze": mttls.HashToken("i"), "beat": mttls.HashToken("b")}

func TestMay(t *testing.T) {
	operators, faults := mtoperator.Parse("o.ini", []byte(operatorsFile(hashes)))
	assert.NilError(t, faults.Err())
	tests := []struct {
		token    string
		business mtid.Business
		may      []mtoperator.Role
	}{
		{"i", "ratins", []mtoperator.Role{mtoperator.View, mtoperator.Propose, mtoperator.Sign}},
		{"i", "bundesamt", nil},
		{"b", "bundesamt", []mtoperator.Role{mtoperator.View, mtoperator.Accept, mtoperator.Drain}},
		{"b", "ratins", []mtoperator.Role{mtoperator.View}},
		{"b", "", nil},
	}
	for _, test := range tests {
		o := operators[mttls.HashToken(test.token)]
		var may []mtoperator.Role
		for _, role := range mtoperator.Roles {
			if o.May(role, test.business) {
				may = append(may, role)
			}
		}
		assert.DeepEqual(t, may, test.may)
	}
}

func TestParseRejectsFaults(t *testing.T) {
	tests := []struct{ name, old, new, field string }{
		{"token in clear", hashes["ilze"], "secret", "[operator ilze] token-sha256"},
		{"no token", "token-sha256 = " + hashes["ilze"], "", "[operator ilze] token-sha256"},
		{"one token for two", hashes["ilze"], hashes["beat"], "[operator beat] token-sha256"},
		{"unknown role", "accept", "root", "[grant beat bundesamt] roles"},
		{"no role", "roles = view\n", "roles =\n", "[grant beat ratins] roles"},
		{"unknown operator", "[grant ilze", "[grant eve", "[grant eve ratins]"},
		{"unknown section", "[grant ilze ratins]", "[grants ilze ratins]", "section"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, faults := mtoperator.Parse("o.ini", []byte(strings.Replace(operatorsFile(hashes), test.old, test.new, 1)))
			assert.Assert(t, strings.Contains(faults.Error(), test.field+":"), "%v", faults)
			assert.Assert(t, !strings.Contains(faults.Error(), "secret"), "fault text contains the token")
		})
	}
}

// Revoking a leaked token must take effect without a restart. A syntax error in a
// later edit of the file must leave the previous operators in use: neither grant
// access to everyone nor deny it to all.
func TestReload(t *testing.T) {
	name := filepath.Join(t.TempDir(), "operators.ini")
	assert.NilError(t, os.WriteFile(name, []byte(operatorsFile(hashes)), 0o600))
	d, cleanUp, err := mtoperator.Open(name, func(error) {})
	assert.NilError(t, err)
	defer cleanUp()
	o, ok := d.Find("i")
	assert.Assert(t, ok)
	assert.Equal(t, o.Name, "ilze")
	_, ok = d.Find(hashes["ilze"])
	assert.Assert(t, !ok, "the hash of a token was accepted as a token")
	rotated := map[string]string{"ilze": mttls.HashToken("new"), "beat": hashes["beat"]}
	assert.NilError(t, os.WriteFile(name, []byte(operatorsFile(rotated)), 0o600))
	assert.NilError(t, d.Reload())
	_, ok = d.Find("i")
	assert.Assert(t, !ok)
	assert.NilError(t, os.WriteFile(name, []byte("[operator"), 0o600))
	assert.Assert(t, d.Reload() != nil)
	_, ok = d.Find("new")
	assert.Assert(t, ok)
	_, ok = d.Find("")
	assert.Assert(t, !ok)
}
