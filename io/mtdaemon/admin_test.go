package mtdaemon_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/io/mtadmin"
	iostore "magnoliaturn/io/mtstore"
)

// admin returns the base URL of a daemon's administration API.
func (m *member) admin(t *testing.T) string {
	t.Helper()
	record, _, ok := m.view(t).Snapshot().Record(m.daemon.Self().Daemon)
	assert.Assert(t, ok)
	return "http://" + record.AdminAddress
}

// get returns the body of a GET request to a daemon's administration API.
func (m *member) get(t *testing.T, path string) []byte {
	t.Helper()
	response, err := http.Get(m.admin(t) + path)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return body
}

// An operator asks one daemon on which daemons a bundle is in force, and drains
// another one through it. The drained daemon hands over all its shards and still
// routes requests.
func TestAdminAPIReachesAllDaemonsFromAny(t *testing.T) {
	_, members := startFleet(t)
	for _, key := range []string{"room-1", "room-2", "room-3"} {
		waitAnswered(t, members[0], key)
	}
	client := mtadmin.NewClient(members[1].admin(t), "", nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		force, err := client.VersionsInForce(t.Context(), "ratins")
		if err != nil {
			return poll.Error(err)
		}
		inForce := 0
		for _, d := range force.Items {
			if d.Version == 1 {
				inForce++
			}
		}
		if inForce < len(members) {
			return poll.Continue("%+v", force)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	leaving := members[3].daemon.Self()
	_, err := client.Drain(t.Context(), leaving.Daemon)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		page, err := client.Assignment(t.Context(), dispatch)
		if err != nil {
			return poll.Error(err)
		}
		for _, shard := range page.Items {
			if shard.Owner == leaving.Daemon {
				return poll.Continue("%s still owns", leaving)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	waitAnswered(t, members[3], "room-1")
}

// Alerts refer to metrics by name, so a renamed or missing metric disables them
// without an error.
func TestMetricsIncludeEveryComponent(t *testing.T) {
	_, members := startFleet(t)
	waitAnswered(t, members[0], "room-1")
	var got map[string]map[string]json.RawMessage
	var all map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(members[0].get(t, "/metrics"), &all))
	got = make(map[string]map[string]json.RawMessage)
	for name, value := range all {
		var group map[string]json.RawMessage
		if json.Unmarshal(value, &group) == nil {
			got[name] = group
		}
	}
	for group, names := range map[string][]string{
		"renew":    {"sent_bytes", "refused", "dropped", "late_wakes"},
		"member":   {"store_unknown", "takeovers", "suspicions"},
		"lease":    {"leftNs"},
		"view":     {"frontier"},
		"owner":    {"gates"},
		"figures":  {"services"},
		"requests": {"classes", "refusals"},
		"memory":   {"heapBytes"},
	} {
		for _, name := range names {
			_, ok := got[group][name]
			assert.Assert(t, ok, "%s %s", group, name)
		}
	}
}

// A request that crashes servers is quarantined and refused. Every daemon must
// report its fingerprint to operators, for the affected business only.
func TestAdminAPIListsQuarantine(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	storeBundle(t, store)
	members, _ := startCrashingFleet(t, store, 4, false)
	waitAnswered(t, members[0], "room-1")
	waitQuarantined(t, members)
	client := mtadmin.NewClient(members[1].admin(t), "", nil)
	page, err := client.Quarantine(t.Context(), "ratins")
	assert.NilError(t, err)
	assert.Assert(t, len(page.Items) > 0)
	for _, d := range page.Items {
		assert.Equal(t, d.Service, dispatch.Service)
		assert.Equal(t, d.Fingerprint, page.Items[0].Fingerprint)
		assert.Assert(t, d.Refused > 0 && d.Until.After(time.Now()))
	}
	other, err := client.Quarantine(t.Context(), "bundesamt")
	assert.NilError(t, err)
	assert.Equal(t, len(other.Items), 0)
}
