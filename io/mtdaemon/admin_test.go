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

// get asks a daemon's administration API.
func (m *member) get(t *testing.T, path string) []byte {
	t.Helper()
	response, err := http.Get(m.admin(t) + path)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return body
}

// An operator asks any daemon where a bundle is in force, and takes another
// daemon out of service: its shards go, and callers notice nothing.
func TestOperatorsAskAnyDaemon(t *testing.T) {
	_, members := fleet(t)
	for _, key := range []string{"room-1", "room-2", "room-3"} {
		answers(t, members[0], key)
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
	leaver := members[3].daemon.Self()
	_, err := client.Drain(t.Context(), leaver.Daemon)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		page, err := client.Assignment(t.Context(), dispatch)
		if err != nil {
			return poll.Error(err)
		}
		for _, shard := range page.Items {
			if shard.Owner == leaver.Daemon {
				return poll.Continue("%s still owns", leaver)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	answers(t, members[3], "room-1")
}

// What an alarm goes by must be there under its name.
func TestMetricsOfEveryDuty(t *testing.T) {
	_, members := fleet(t)
	answers(t, members[0], "room-1")
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

// A request that crashes servers is quarantined, and its senders are refused.
// The operator asks any daemon which one it is.
func TestOperatorsSeeTheQuarantine(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	accept(t, store)
	members, _ := fragileFleet(t, store, 4, false)
	answers(t, members[0], "room-1")
	quarantined(t, members)
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
