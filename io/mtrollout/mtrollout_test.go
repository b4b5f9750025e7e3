package mtrollout_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtrollout"
)

// fault is what happens to one swap.
type fault int

const (
	none    fault = iota
	landed        // takes effect, the answer is lost
	lost          // never takes effect, the answer is lost
	late          // takes effect only after the next call, the answer is lost
	refused       // the store does not take the call
)

// faulty is a store in memory whose swaps of one prefix meet faults in turn.
type faulty struct {
	mtstore.Store // the methods that rollouts don't call
	mu            sync.Mutex
	entries       map[string]mtstore.Entry
	prefix        string
	faults        []fault
	delayed       func()
	before        func() // runs once, between a call's read and its swap of prefix
}

func newFaulty() *faulty { return &faulty{entries: make(map[string]mtstore.Entry)} }

func (s *faulty) Get(_ context.Context, name string) (mtstore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[name]
	if !ok {
		return mtstore.Entry{}, &mtstore.NotFoundError{Name: name}
	}
	return entry, nil
}

func (s *faulty) Swap(_ context.Context, name string, expected mtid.Version, value []byte, _ mtstore.LeaseID) (mtid.Version, error) {
	if race := s.before; race != nil && strings.HasPrefix(name, s.prefix) {
		s.before = nil
		race()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayed != nil {
		defer s.delayed()
		s.delayed = nil
	}
	met := none
	if len(s.faults) > 0 && strings.HasPrefix(name, s.prefix) {
		met, s.faults = s.faults[0], s.faults[1:]
	}
	unknown := &mtstore.UnknownError{Op: "swap", Name: name, Err: context.DeadlineExceeded}
	switch met {
	case refused:
		return 0, &mtstore.UnavailableError{Op: "swap", Err: context.DeadlineExceeded}
	case lost:
		return 0, unknown
	case late:
		s.delayed = func() { _, _ = s.swap(name, expected, value) }
		return 0, unknown
	}
	version, err := s.swap(name, expected, value)
	if met == landed && err == nil {
		return 0, unknown
	}
	return version, err
}

func (s *faulty) swap(name string, expected mtid.Version, value []byte) (mtid.Version, error) {
	current := s.entries[name]
	if current.Version != expected {
		return 0, &mtstore.ConflictError{Name: name, Expected: expected, Current: current}
	}
	s.entries[name] = mtstore.Entry{Name: name, Value: value, Version: expected + 1}
	return expected + 1, nil
}

var now = time.UnixMilli(1_700_000_000_000).UTC()

func key(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

func text(version int, note string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n[bundle]\nbusiness = ratins\nversion = %d\n", note, version)
	for _, s := range []string{"ilze", "janis"} {
		fmt.Fprintf(&b, "[signer %s]\nkey = %s\n", s, base64.StdEncoding.EncodeToString(key(s).Public().(ed25519.PublicKey)))
	}
	b.WriteString("[service dispatch]\n[class dispatch send]\n")
	return []byte(b.String())
}

func open(store mtstore.Store) *mtrollout.Rollout {
	holder := mtid.Holder{Daemon: "d1", Incarnation: 1}
	return mtrollout.New(store, func() mtid.Holder { return holder }, nil)
}

// signed proposes and signs a bundle.
func signed(t *testing.T, r *mtrollout.Rollout, version int, note string) *mtbundle.Stored {
	t.Helper()
	draft, err := r.Propose(t.Context(), now, "ratins", "ilze", text(version, note))
	assert.NilError(t, err)
	sig := mtbundle.Sign("janis", key("janis"), draft.Digest())
	draft, err = r.Sign(t.Context(), "ratins", draft.Version, draft.Digest().String(), sig)
	assert.NilError(t, err)
	assert.Equal(t, len(draft.Signatures), 1)
	return draft
}

func accept(t *testing.T, r *mtrollout.Rollout, s *mtbundle.Stored) (*mtbundle.Stored, error) {
	t.Helper()
	return r.Accept(t.Context(), now, "ratins", s.Version, s.Digest().String(), "ilze")
}

// The operator's acceptance meets a store that loses answers. Whatever is
// said must be true: success only if the bundle is in force, an error other
// than doubt only if it isn't and can't become so.
func TestAcceptSettlesWritesInDoubt(t *testing.T) {
	tests := []struct {
		name    string
		faults  []fault
		inForce bool
		doubt   bool
	}{
		{"no fault", nil, true, false},
		{"landed, answer lost", []fault{landed}, true, false},
		{"never landed, answer lost", []fault{lost}, true, false},
		{"lands while it is tried again", []fault{late}, true, false},
		{"late, then answer lost", []fault{late, landed}, true, false},
		{"refused", []fault{refused}, false, false},
		{"lost for good", []fault{lost, lost, lost, lost, lost, lost, lost, lost}, false, true},
		{"lost, then refused for good", []fault{lost, refused, refused, refused, refused, refused, refused, refused}, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := newFaulty()
			r := open(store)
			draft := signed(t, r, 1, "first")
			store.prefix, store.faults = mtstore.BundlePrefix, test.faults
			_, err := accept(t, r, draft)
			var doubt *mtrollout.DoubtError
			assert.Equal(t, errors.As(err, &doubt), test.doubt, "%v", err)
			assert.Equal(t, err == nil, test.inForce, "%v", err)
			life, _, err := r.Life(t.Context(), "ratins")
			assert.NilError(t, err)
			assert.Equal(t, life.Version() == 1, test.inForce)
			// The store is well again: the repeated request settles it.
			got, err := accept(t, r, draft)
			assert.NilError(t, err)
			assert.Equal(t, got.Version, mtid.Version(1))
		})
	}
}

// An acceptance is lost on its way, and before it is tried again another
// operator's bundle takes the version. The first must be told who won, and its
// late write must not undo that.
func TestAcceptLearnsTheWinnerAfterALostAnswer(t *testing.T) {
	store := newFaulty()
	r, other := open(store), open(store)
	one, two := signed(t, r, 1, "one"), signed(t, r, 1, "two")
	store.prefix, store.faults = mtstore.BundlePrefix, []fault{late}
	store.delayed = nil
	done := make(chan error, 1)
	go func() {
		_, err := r.Accept(context.WithoutCancel(t.Context()), now, "ratins", 1, one.Digest().String(), "ilze")
		done <- err
	}()
	// The other operator tries until one of the two is in force.
	_, otherErr := accept(t, other, two)
	err := <-done
	life, _, readErr := r.Life(t.Context(), "ratins")
	assert.NilError(t, readErr)
	for digest, got := range map[string]error{one.Digest().String(): err, two.Digest().String(): otherErr} {
		if life.InForce.Digest().String() == digest {
			assert.NilError(t, got)
			continue
		}
		var conflict *mtbundle.ConflictError
		assert.Assert(t, errors.As(got, &conflict), "%v", got)
		assert.Equal(t, conflict.Digest, life.InForce.Digest())
	}
}

// Two acceptances read the same state, and the other's swap lands first. The
// loser's write is refused by the store; he must be told of the bundle that
// won, not of a version in the store.
func TestSwapLostToAnotherOperator(t *testing.T) {
	store := newFaulty()
	r, other := open(store), open(store)
	one, two := signed(t, r, 1, "one"), signed(t, r, 1, "two")
	store.prefix = mtstore.BundlePrefix
	store.before = func() {
		_, err := accept(t, other, two)
		assert.NilError(t, err)
	}
	_, err := accept(t, r, one)
	var conflict *mtbundle.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Digest, two.Digest())
}

// The same for two proposals: none may push the other out of the list.
func TestProposalLostToAnotherIsRepeated(t *testing.T) {
	store := newFaulty()
	r, other := open(store), open(store)
	store.prefix = mtstore.DraftPrefix
	store.before = func() {
		_, err := other.Propose(t.Context(), now, "ratins", "janis", text(1, "two"))
		assert.NilError(t, err)
	}
	_, err := r.Propose(t.Context(), now, "ratins", "ilze", text(1, "one"))
	assert.NilError(t, err)
	life, _, err := r.Life(t.Context(), "ratins")
	assert.NilError(t, err)
	assert.Equal(t, len(life.Drafts), 2)
}

// Many operators race for one version through different daemons: exactly one
// wins, the others are told which.
func TestRaceHasOneWinner(t *testing.T) {
	const operators = 8
	store := newFaulty()
	r := open(store)
	var drafts []*mtbundle.Stored
	for i := range operators {
		drafts = append(drafts, signed(t, r, 1, fmt.Sprint("draft ", i)))
	}
	errs := make([]error, operators)
	var wait sync.WaitGroup
	for i, draft := range drafts {
		wait.Go(func() { _, errs[i] = accept(t, open(store), draft) })
	}
	wait.Wait()
	life, _, err := r.Life(t.Context(), "ratins")
	assert.NilError(t, err)
	won := 0
	for i, err := range errs {
		if err == nil {
			won++
			assert.Equal(t, life.InForce.Digest(), drafts[i].Digest())
			continue
		}
		var conflict *mtbundle.ConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Digest, life.InForce.Digest())
	}
	assert.Equal(t, won, 1)
}

func TestRepeatedRequestsChangeNothing(t *testing.T) {
	store := newFaulty()
	r := open(store)
	draft := signed(t, r, 1, "first")
	before := store.entries[mtstore.DraftName("ratins")].Version
	signed(t, r, 1, "first")
	assert.Equal(t, store.entries[mtstore.DraftName("ratins")].Version, before)
	_, err := accept(t, r, draft)
	assert.NilError(t, err)
	_, err = accept(t, r, draft)
	assert.NilError(t, err)
	signed(t, r, 1, "first") // late repeats of the earlier steps
	assert.Equal(t, store.entries[mtstore.BundleName("ratins")].Version, mtid.Version(1))
}

func TestHistory(t *testing.T) {
	store := newFaulty()
	r := open(store)
	const versions = mtstore.RetainedBundles + 6
	for v := 1; v <= versions; v++ {
		_, err := accept(t, r, signed(t, r, v, fmt.Sprint("version ", v)))
		assert.NilError(t, err)
	}
	var seen []mtid.Version
	var next mtid.Version
	for {
		page, after, err := r.History(t.Context(), "ratins", next, 10)
		assert.NilError(t, err)
		for _, s := range page {
			seen = append(seen, s.Version)
			assert.Assert(t, strings.HasPrefix(string(s.Text), fmt.Sprintf("# version %d\n", s.Version)))
		}
		if after == 0 {
			break
		}
		next = after
	}
	assert.Equal(t, len(seen), mtstore.RetainedBundles)
	for i, v := range seen {
		assert.Equal(t, v, mtid.Version(versions-i))
	}
	old, err := r.Version(t.Context(), "ratins", versions-1)
	assert.NilError(t, err)
	// A rollback is the old text under a new number.
	again := mtbundle.Renumber(old.Text, versions+1)
	draft, err := r.Propose(t.Context(), now, "ratins", "ilze", again)
	assert.NilError(t, err)
	assert.Equal(t, draft.Version, mtid.Version(versions+1))
	_, err = r.Version(t.Context(), "ratins", 2)
	var page *mtrollout.PageError
	assert.Assert(t, errors.As(err, &page), "%v", err)
}
