package mtmesh_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtspread"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtmesh"
)

// delayedPeers is how long each daemon takes to answer a pull, by address; others don't answer.
type delayedPeers map[string]time.Duration

// PullChanges returns an entry with the address as its value.
func (p delayedPeers) PullChanges(ctx context.Context, address string, q mtforward.ChangesRequest) (reply mtforward.ChangesReply, err error) {
	after, ok := p[address]
	if !ok {
		after = time.Hour
	}
	select {
	case <-ctx.Done():
		return reply, ctx.Err()
	case <-time.After(after):
	}
	if q.Configuration {
		reply.Changes.Entries = []mtstore.Entry{{Name: "op/routes", Value: []byte(address)}}
	}
	return reply, nil
}

// Guards against a daemon that starts late because unresponsive ones are asked before those that answer, and
// against answers that fill its link because all are asked at once.
func TestSilentDaemonsDoNotDelaySearchForConfiguration(t *testing.T) {
	sources := []mtspread.Node{node("a", "zone"), node("b", "zone"), node("c", "zone"), node("d", "zone")}
	peers := delayedPeers{sources[1].Address: 300 * time.Millisecond, sources[3].Address: 20 * time.Millisecond}
	for name, tt := range map[string]struct {
		enough mtid.Daemon // its answer ends the search
		first  bool        // d is asked first
		want   []string
	}{
		"all are waited for":         {want: []string{"450ms b ok", "470ms d ok", "3s silent", "3s silent"}},
		"the search ends with d":     {enough: "d", want: []string{"450ms b ok", "470ms d ok"}},
		"the older one isn't enough": {enough: "b", want: []string{"450ms b ok"}},
		"one answers at once":        {first: true, enough: "d", want: []string{"20ms d ok"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got []string
				asked := slices.Clone(sources)
				if tt.first {
					slices.Reverse(asked)
				}
				started := time.Now()
				mtmesh.AskForConfiguration(peers, asked, func(from mtid.Daemon, entries []mtstore.Entry, err error) bool {
					what := "silent"
					if err == nil {
						assert.Equal(t, len(entries), 1)
						what = string(from) + " ok"
					}
					got = append(got, fmt.Sprint(time.Since(started), " ", what))
					return from != tt.enough || err != nil
				})
				assert.DeepEqual(t, got, tt.want)
			})
		})
	}
}
