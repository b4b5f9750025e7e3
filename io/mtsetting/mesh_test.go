package mtsetting_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtoverload"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/io/mtsetting"
)

const meshText = `[daemon]
name = vm-1
zone = old-town
link = 200
memory = 160
first = yes
service = maps
host = 10.1.0.38
server = 10.1.0.38:8145

[listen]
callers = 10.1.0.38:8147
ready = 10.1.0.38:8141
beats = 10.1.0.38:8144
ports = 7380,7395

[store]
address = 10.200.1.7:8142

[times]
hold = 10s
drain = 2.5s
grace = 6s
config = 3s
close = 4s

[warmup]
factor = 1.5
extra = 8

[retries]
ratio = 0.2
extra = 160
window = 10s

[overload]
link = yes
reserve = no
room = yes
retries = yes
`

func TestParseMesh(t *testing.T) {
	var sparePeers []string
	for port := 7382; port <= 7395; port++ {
		sparePeers = append(sparePeers, fmt.Sprintf("10.1.0.38:%d", port))
	}
	got, faults := mtsetting.ParseMesh("daemon.ini", []byte(meshText))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.DeepEqual(t, got, &mtsetting.Mesh{
		Name: "vm-1", Zone: "old-town", Link: 200, Memory: 160 * mtsetting.Megabyte, Bootstrap: true, Service: "maps", Host: "10.1.0.38", Server: "10.1.0.38:8145",
		Callers: "10.1.0.38:8147", Ready: "10.1.0.38:8141", Heartbeats: "10.1.0.38:8144",
		Peers: "10.1.0.38:7380", Metrics: "10.1.0.38:7381", SparePeers: sparePeers, Store: "10.200.1.7:8142",
		GrantDuration: 10 * time.Second, Drain: 2500 * time.Millisecond, Grace: 6 * time.Second, ConfigDeadline: 3 * time.Second,
		ZoneOutDeadline: 4 * time.Second, Warmup: mtbackend.Allowance{Factor: 1.5, Extra: 8},
		Overload: mtoverload.Policies{Link: true, Room: true, Retries: true},
		Retries:  mtretry.Limits{Ratio: 0.2, Extra: 160, Window: 10 * time.Second},
	})
}

// All invalid fields are reported together, each with the accepted values.
func TestParseMeshReportsAllFaults(t *testing.T) {
	text := strings.NewReplacer(
		"host = 10.1.0.38", "host = here",
		"server = 10.1.0.38:8145", "server = 8145",
		"ports = 7380,7395", "ports = 7380",
		"hold = 10s", "hold = 10",
		"grace = 6s", "grace = 6s\nmisspelt = 1",
		"ratio = 0.2", "ratio = 20",
		"extra = 160", "extra = -1",
		"window = 10s", "window = 10",
		"link = yes", "link = perhaps",
		"retries = yes", "retries = 3",
	).Replace(meshText)
	_, faults := mtsetting.ParseMesh("daemon.ini", []byte(text))
	var fields []string
	for _, f := range faults {
		fields = append(fields, f.Field)
		assert.Assert(t, f.Accept != "", f.Field)
	}
	assert.DeepEqual(t, fields, []string{"[daemon] host", "[daemon] server", "[listen] ports", "[times] hold", "[times] misspelt", "[retries] ratio", "[retries] extra", "[retries] window", "[overload] link", "[overload] retries"})
}

// The settings template that the platform fills in has exactly the fields that
// ParseMesh reads.
func TestTemplateFieldsMatchParseMesh(t *testing.T) {
	template, err := os.ReadFile("../../deploy/daemon.ini")
	assert.NilError(t, err)
	filled := strings.NewReplacer(
		"{{node}}", "vm-1", "{{zone}}", "old-town", "{{limits.link_mbps}}", "200", "{{#limits.memory_mb}}", "", "{{limits.memory_mb}}", "160", "{{/limits.memory_mb}}", "", "{{service}}", "maps", "{{ip}}", "10.1.0.38", "{{app_addr}}", "10.1.0.38:8145",
		"{{listen.outbound}}", "10.1.0.38:8147", "{{listen.ready}}", "10.1.0.38:8141", "{{listen.control}}", "10.1.0.38:8144",
		"{{port_range}}", "7380,7395", "{{provider.address}}", "10.200.1.7:8142",
		"{{bounds.hold_max_s}}", "10", "{{bounds.drain_s}}", "2.5", "{{bounds.grace_s}}", "6", "{{bounds.config_s}}", "3",
		"{{bounds.evacuate_s}}", "4", "{{bounds.cold_excess}}", "1.5", "{{bounds.cold_extra}}", "8",
		"{{#bootstrap}}", "", "{{/bootstrap}}", "", "{{#bounds.evacuate_s}}", "", "{{/bounds.evacuate_s}}", "", "{{#bounds.cold_excess}}", "", "{{/bounds.cold_excess}}", "",
		"{{#bounds.cold_extra}}", "", "{{/bounds.cold_extra}}", "",
		"{{bounds.budget_ratio}}", "0.2", "{{bounds.budget_extra}}", "160", "{{bounds.budget_window_s}}", "10",
		"{{#bounds.budget_ratio}}", "", "{{/bounds.budget_ratio}}", "", "{{#bounds.budget_extra}}", "", "{{/bounds.budget_extra}}", "",
		"{{#bounds.budget_window_s}}", "", "{{/bounds.budget_window_s}}", "",
	).Replace(string(template))
	got, faults := mtsetting.ParseMesh("daemon.ini", []byte(filled))
	assert.Equal(t, len(faults), 0, "%v", faults)
	want, _ := mtsetting.ParseMesh("daemon.ini", []byte(meshText))
	// The template decides which policies are on.
	want.Overload = got.Overload
	assert.DeepEqual(t, got, want)
}

// Guards against a daemon that doesn't start because its settings name a policy of former releases.
func TestParseMeshAcceptsRemovedPolicy(t *testing.T) {
	for _, value := range []string{"yes", "no"} {
		text := strings.Replace(meshText, "[overload]\n", "[overload]\nnested = "+value+"\n", 1)
		got, faults := mtsetting.ParseMesh("daemon.ini", []byte(text))
		assert.Equal(t, len(faults), 0, "%v", faults)
		assert.DeepEqual(t, got.Overload, mtoverload.Policies{Link: true, Room: true, Retries: true})
	}
}

// Guards against a limit of zero retries where a platform omits the fields of the limit.
func TestParseMeshWithoutRetryLimits(t *testing.T) {
	text := strings.Replace(meshText, "ratio = 0.2\nextra = 160\nwindow = 10s\n", "", 1)
	got, faults := mtsetting.ParseMesh("daemon.ini", []byte(text))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.Assert(t, !got.Retries.Set())
}

// A platform that sets no limits for warm-up and zone drains omits their fields.
// Defaults apply.
func TestParseMeshWithoutWarmup(t *testing.T) {
	text := strings.NewReplacer("close = 4s\n", "", "factor = 1.5\nextra = 8\n", "").Replace(meshText)
	got, faults := mtsetting.ParseMesh("daemon.ini", []byte(text))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.Equal(t, got.ZoneOutDeadline, 5*time.Second)
	assert.Equal(t, got.Warmup.Limit(10), 9)
}
