package mtsetting_test

import (
	"crypto/tls"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtsetting"
	"magnoliaturn/io/mttls"
)

// local is a complete settings file without a [keys] section.
const local = `[daemon]
name = d1
zone = old-town
region = riga
[listen]
caller = 127.0.0.1:8080
relay = 127.0.0.1:8081
renew = 127.0.0.1:8081
local = 127.0.0.1:8082
admin = 127.0.0.1:8083
[store]
url = http://127.0.0.1:2380
`

// installKeys creates the files that the sample settings refer to.
func installKeys(t *testing.T, dir string, business mtid.Business, address string) {
	t.Helper()
	keys := filepath.Join(dir, "keys")
	now := time.Now()
	assert.NilError(t, mttls.MakeAuthority(now, keys+"/authority.crt", keys+"/authority.key"))
	authority, err := tls.LoadX509KeyPair(keys+"/authority.crt", keys+"/authority.key")
	assert.NilError(t, err)
	at := []netip.Addr{netip.MustParseAddr(address)}
	assert.NilError(t, mttls.MakeCertificate(now, authority, "d", at, keys+"/daemon.crt", keys+"/daemon.key"))
	assert.NilError(t, mttls.MakeSecret(keys+"/datagram.secret"))
	var signers strings.Builder
	for _, name := range []string{"one", "two"} {
		key, err := mttls.MakeSigner(keys + "/" + name + ".key")
		assert.NilError(t, err)
		signers.WriteString("[signer " + name + "]\nkey = " + key + "\n")
	}
	assert.NilError(t, os.WriteFile(keys+"/"+string(business)+"-signers.ini", []byte(signers.String()), 0o600))
	assert.NilError(t, os.WriteFile(keys+"/operators.ini", []byte("[operator one]\n"), 0o600))
}

func TestLoadSamples(t *testing.T) {
	tests := []struct {
		file     string
		business mtid.Business
		address  string
		region   mtid.Region
	}{
		{"riga.ini", "ratins", "10.20.1.11", "riga"},
		{"bern.ini", "bundesamt", "10.30.1.11", "bern"},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			text, err := os.ReadFile("../../examples/settings/" + test.file)
			assert.NilError(t, err)
			dir := t.TempDir()
			installKeys(t, dir, test.business, test.address)
			file := filepath.Join(dir, test.file)
			assert.NilError(t, os.WriteFile(file, text, 0o600))
			s, faults := mtsetting.Load(file)
			assert.NilError(t, faults.Err())
			assert.Equal(t, s.Region, test.region)
			assert.Equal(t, len(s.Roots[test.business].Signers), 2)
			assert.Equal(t, s.Keys.Secret, filepath.Join(dir, "keys/datagram.secret"))
			assert.Assert(t, len(s.Seeds) >= 2)
		})
	}
}

func TestParseLocal(t *testing.T) {
	s, faults := mtsetting.Parse("d.ini", []byte(local))
	assert.NilError(t, faults.Err())
	assert.Equal(t, s.Name, mtid.Daemon("d1"))
	assert.Equal(t, s.Admin, "127.0.0.1:8083")
	assert.Equal(t, s.MaxBodyBytes, int64(1<<20))
}

func TestParseRejectsInvalidFields(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		field    string
	}{
		{"no name", "name = d1", "", "[daemon] name"},
		{"host name", "127.0.0.1:8080", "localhost:8080", "[listen] caller"},
		{"no port", "127.0.0.1:8080", "127.0.0.1", "[listen] caller"},
		{"port zero", "127.0.0.1:8080", "127.0.0.1:0", "[listen] caller"},
		{"unspecified", "127.0.0.1:8080", "0.0.0.0:8080", "[listen] caller"},
		{"duplicate address", "127.0.0.1:8080", "127.0.0.1:8083", "[listen] admin"},
		{"not loopback without keys", "relay = 127.0.0.1", "relay = 10.0.0.1", "[listen] relay"},
		{"not loopback without operators", "admin = 127.0.0.1", "admin = 10.0.0.1", "[listen] admin"},
		{"store scheme", "http://127", "ftp://127", "[store] url"},
		{"body too small", "zone =", "body = 5\nzone =", "[daemon] body"},
		{"unknown field", "zone =", "zonne = x\nzone =", "[daemon] zonne"},
		{"missing keys", "[store]", "[keys]\nkey = /nowhere/k\n[store]", "[keys] certificate"},
		{"missing secret", "[store]", "[keys]\nsecret = /nowhere/s\n[store]", "[keys] secret"},
		{"missing operators", "[store]", "[operators]\nfile = /nowhere/o\n[store]", "[operators] file"},
		{"missing root", "[store]", "[root ratins]\nsigners = /nowhere/r\n[store]", "[root ratins] signers"},
		{"invalid seed", "[store]", "[peers]\nseeds = 127.0.0.1:1, here\n[store]", "[peers] seeds"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(local, test.old, test.new, 1)
			assert.Assert(t, text != local)
			_, faults := mtsetting.Parse("d.ini", []byte(text))
			assert.Assert(t, strings.Contains(faults.Error(), test.field+":"), "%v", faults)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(local))
	f.Add([]byte("[keys]\nsecret =\n[root a]\nsigners = .\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, faults := mtsetting.Parse("fuzz.ini", text)
		if (s == nil) == (len(faults) == 0) {
			t.Fatalf("settings %v with faults %v", s, faults)
		}
	})
}
