package mtcommand_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtini"
	"magnoliaturn/io/mtadmin"
	"magnoliaturn/io/mtcommand"
)

// run runs one command of the program and returns its exit code and output.
func run(t *testing.T, args ...string) (status subcommands.ExitStatus, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	flags := flag.NewFlagSet("magnoliaturn", flag.ContinueOnError)
	flags.SetOutput(&stderr)
	commander := subcommands.NewCommander(flags, "magnoliaturn")
	commander.Output, commander.Error = &stdout, &stderr
	commander.Register(commander.HelpCommand(), "")
	mtcommand.Register(commander, &stdout, &stderr)
	assert.NilError(t, flags.Parse(args))
	status = commander.Execute(t.Context())
	return status, stdout.String(), stderr.String()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestLocalCommands(t *testing.T) {
	sample := "../../examples/bundles/ratins.ini"
	text, err := os.ReadFile(sample)
	assert.NilError(t, err)
	newer := write(t, "newer.ini", strings.Replace(string(text), "timeout    = 3s", "timeout    = 2s", 1))
	bad := write(t, "bad.ini", "[bundle]\nversion = x\n")
	tests := []struct {
		name   string
		args   []string
		status subcommands.ExitStatus
		prints string
	}{
		{"check", []string{"bundle", "check", sample, "../../examples/bundles/bundesamt.ini"}, 0, "no mistakes"},
		{"check an invalid file", []string{"bundle", "check", sample, bad}, mtcommand.ExitRefused, bad + ":2: [bundle] version"},
		{"check without arguments", []string{"bundle", "check"}, subcommands.ExitUsageError, "FILE"},
		{"check a missing file", []string{"bundle", "check", "/nowhere.ini"}, mtcommand.ExitRefused, "/nowhere.ini"},
		{"diff", []string{"bundle", "diff", sample, newer}, 0, "[class dispatch send] timeout  3s   2s"},
		{"settings", []string{"check", bad}, mtcommand.ExitRefused, "[daemon] name"},
		{"unknown subcommand", []string{"bundle", "burn"}, subcommands.ExitUsageError, "burn"},
		{"unknown flag", []string{"show", "roster", "-x"}, subcommands.ExitUsageError, "-x"},
		{"no API address", []string{"show", "roster"}, subcommands.ExitUsageError, "MAGNOLIATURN_API"},
		{"token without TLS", []string{"show", "roster", "-api", "http://10.0.0.1:1", "-token-file", bad}, subcommands.ExitUsageError, "https"},
		{"service without business", []string{"show", "owner", "-api", "http://127.0.0.1:1", "ratins", "k"}, subcommands.ExitUsageError, "BUSINESS/SERVICE"},
		{"connection refused", []string{"show", "roster", "-api", "http://127.0.0.1:1"}, mtcommand.ExitUnknown, "no answer"},
		{"version", []string{"version"}, 0, "magnoliaturn"},
		{"path as a name", []string{"keygen", "signer", "../x", t.TempDir()}, subcommands.ExitUsageError, "name"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, out, errs := run(t, test.args...)
			assert.Equal(t, status, test.status, out+errs)
			if test.name == "unknown subcommand" {
				return
			}
			assert.Assert(t, strings.Contains(out+errs, test.prints), "%s%s", out, errs)
		})
	}
}

func TestJSONOutput(t *testing.T) {
	bad := write(t, "bad.ini", "[bundle]\nversion = x\n")
	status, out, errs := run(t, "bundle", "check", "-json", bad)
	assert.Equal(t, status, mtcommand.ExitRefused)
	assert.Equal(t, out, "")
	var faults mtini.Faults
	assert.NilError(t, json.Unmarshal([]byte(errs), &faults))
	assert.Assert(t, len(faults) > 1)
	status, out, _ = run(t, "version", "-json")
	assert.Equal(t, status, subcommands.ExitSuccess)
	assert.Assert(t, json.Valid([]byte(out)))
}

// Scripts rely on the exit code to tell a refused command from one that may have
// taken effect.
func TestExitCodes(t *testing.T) {
	var status int
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	tests := []struct {
		reason mtadmin.Reason
		status int
		want   subcommands.ExitStatus
	}{
		{mtadmin.ReasonConflict, 409, mtcommand.ExitRefused},
		{mtadmin.ReasonRole, 403, mtcommand.ExitRefused},
		{mtadmin.ReasonIdentity, 401, mtcommand.ExitRefused},
		{mtadmin.ReasonMissing, 404, mtcommand.ExitRefused},
		{mtadmin.ReasonOutcomeUnknown, 504, mtcommand.ExitUnknown},
		{mtadmin.ReasonStore, 503, mtcommand.ExitUnavailable},
		{mtadmin.ReasonLimited, 429, mtcommand.ExitUnavailable},
		{mtadmin.ReasonInternal, 500, subcommands.ExitFailure},
	}
	for _, test := range tests {
		t.Run(string(test.reason), func(t *testing.T) {
			status = test.status
			text, err := json.Marshal(mtadmin.Problem{Type: "urn:magnoliaturn:problem:" + string(test.reason), Status: test.status})
			assert.NilError(t, err)
			body = string(text)
			got, _, _ := run(t, "drain", "-api", server.URL, "d1")
			assert.Equal(t, got, test.want)
		})
	}
	// A server that is not a daemon answers at the address.
	status, body = 200, "<html>"
	got, _, _ := run(t, "drain", "-api", server.URL, "d1")
	assert.Equal(t, got, mtcommand.ExitUnknown)
}

func TestHelpShowsExampleOfEveryCommand(t *testing.T) {
	commands := map[string][]string{
		"check": nil, "drain": nil, "version": nil,
		"bundle": {"check", "diff", "propose", "sign", "accept", "show", "history"},
		"show":   {"owner", "roster", "assignment", "quarantine"},
		"keygen": {"authority", "certificate", "secret", "signer", "token"},
	}
	for name, children := range commands {
		_, out, errs := run(t, "help", name)
		assert.Assert(t, strings.Contains(out+errs, "Example:\n  magnoliaturn "+name), name)
		for _, child := range children {
			_, out, errs := run(t, name, "help", child)
			assert.Assert(t, strings.Contains(out+errs, "Example:\n  magnoliaturn "+name+" "+child), child)
		}
	}
}

// The check command accepts settings with the files and lines that keygen made,
// and keygen does not overwrite an existing file.
func TestKeygenOutputPassesCheck(t *testing.T) {
	dir := t.TempDir()
	for _, args := range [][]string{
		{"keygen", "authority", dir},
		{"keygen", "certificate", "-ip", "127.0.0.1,::1", "daemon", dir},
		{"keygen", "secret", dir},
	} {
		status, _, errs := run(t, args...)
		assert.Equal(t, status, subcommands.ExitSuccess, errs)
	}
	_, signer, _ := run(t, "keygen", "signer", "janis", dir)
	_, lines, _ := strings.Cut(signer, "\n")
	signers := write(t, "signers.ini", lines)
	_, token, _ := run(t, "keygen", "token", "ilze", dir)
	_, lines, _ = strings.Cut(token, "\n")
	operators := write(t, "operators.ini", lines+"[grant ilze ratins]\nroles = view\n")
	settings := write(t, "daemon.ini", `[daemon]
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
[keys]
certificate = `+dir+`/daemon.crt
key = `+dir+`/daemon.key
authority = `+dir+`/authority.crt
secret = `+dir+`/datagram.secret
[operators]
file = `+operators+`
[root ratins]
signers = `+signers+`
`)
	status, out, errs := run(t, "check", settings)
	assert.Equal(t, status, subcommands.ExitSuccess, out+errs)
	status, _, _ = run(t, "keygen", "secret", dir)
	assert.Equal(t, status, subcommands.ExitFailure)
}
