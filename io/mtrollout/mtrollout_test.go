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

// fault is a failure of one swap.
type fault int

const (
	noFault     fault = iota
	answerLost        // applied, but the response is lost
	requestLost       // never applied, and no response
	appliedLate       // applied only after the next call, and the response is lost
	rejected          // the store is unavailable
)

// faultyStore is an in-memory store that injects faults, in order, into the swaps of
// names with one prefix.
type faultyStore struct {
	mtstore.Store // nil: methods that a Rollout does not call
	mu            sync.Mutex
	entries       map[string]mtstore.Entry
	prefix        string
	faults        []fault
	delayed       func()
	beforeSwap    func() // runs once, after the read and before the next swap of a name with prefix
}

func newFaultyStore() *faultyStore { return &faultyStore{entries: make(map[string]mtstore.Entry)} }

func (s *faultyStore) Get(_ context.Context, name string) (mtstore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[name]
	if !ok {
		return mtstore.Entry{}, &mtstore.NotFoundError{Name: name}
	}
	return entry, nil
}

func (s *faultyStore) Swap(_ context.Context, name string, expected mtid.Version, value []byte, _ mtstore.LeaseID) (mtid.Version, error) {
	if hook := s.beforeSwap; hook != nil && strings.HasPrefix(name, s.prefix) {
		s.beforeSwap = nil
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayed != nil {
		defer s.delayed()
		s.delayed = nil
	}
	injected := noFault
	if len(s.faults) > 0 && strings.HasPrefix(name, s.prefix) {
		injected, s.faults = s.faults[0], s.faults[1:]
	}
	unknown := &mtstore.UnknownError{Op: "swap", Name: name, Err: context.DeadlineExceeded}
	switch injected {
	case rejected:
		return 0, &mtstore.UnavailableError{Op: "swap", Err: context.DeadlineExceeded}
	case requestLost:
		return 0, unknown
	case appliedLate:
		s.delayed = func() { _, _ = s.swap(name, expected, value) }
		return 0, unknown
	}
	version, err := s.swap(name, expected, value)
	if injected == answerLost && err == nil {
		return 0, unknown
	}
	return version, err
}

func (s *faultyStore) swap(name string, expected mtid.Version, value []byte) (mtid.Version, error) {
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

// proposeAndSign proposes a bundle and adds a signature.
func proposeAndSign(t *testing.T, r *mtrollout.Rollout, version int, note string) *mtbundle.Stored {
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

// The store loses responses while an operator accepts a bundle. Accept may succeed
// only if the bundle is in force, and may return an error other than an unknown
// outcome only if the bundle is not in force and cannot become so later.
func TestAcceptReportsTrueOutcomeOfWrites(t *testing.T) {
	tests := []struct {
		name    string
		faults  []fault
		inForce bool
		unknown bool
	}{
		{"no fault", nil, true, false},
		{"applied, response lost", []fault{answerLost}, true, false},
		{"never applied, no response", []fault{requestLost}, true, false},
		{"applied during the retry", []fault{appliedLate}, true, false},
		{"applied late, then response lost", []fault{appliedLate, answerLost}, true, false},
		{"store unavailable", []fault{rejected}, false, false},
		{"no attempt applied", []fault{requestLost, requestLost, requestLost, requestLost, requestLost, requestLost, requestLost, requestLost}, false, true},
		{"never applied, then store unavailable", []fault{requestLost, rejected, rejected, rejected, rejected, rejected, rejected, rejected}, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := newFaultyStore()
			r := open(store)
			draft := proposeAndSign(t, r, 1, "first")
			store.prefix, store.faults = mtstore.BundlePrefix, test.faults
			_, err := accept(t, r, draft)
			var unknown *mtrollout.OutcomeUnknownError
			assert.Equal(t, errors.As(err, &unknown), test.unknown, "%v", err)
			assert.Equal(t, err == nil, test.inForce, "%v", err)
			lifecycle, _, err := r.Lifecycle(t.Context(), "ratins")
			assert.NilError(t, err)
			assert.Equal(t, lifecycle.Version() == 1, test.inForce)
			// Without further faults, the repeated request determines the outcome.
			got, err := accept(t, r, draft)
			assert.NilError(t, err)
			assert.Equal(t, got.Version, mtid.Version(1))
		})
	}
}

// The write of an acceptance is delayed, and another operator accepts a bundle of the
// same version before the retry. The call that loses must return an error that
// identifies the bundle in force, and the delayed write must not replace it.
func TestAcceptAfterLostAnswerReportsConflictingBundle(t *testing.T) {
	store := newFaultyStore()
	r, other := open(store), open(store)
	one, two := proposeAndSign(t, r, 1, "one"), proposeAndSign(t, r, 1, "two")
	store.prefix, store.faults = mtstore.BundlePrefix, []fault{appliedLate}
	store.delayed = nil
	done := make(chan error, 1)
	go func() {
		_, err := r.Accept(context.WithoutCancel(t.Context()), now, "ratins", 1, one.Digest().String(), "ilze")
		done <- err
	}()
	// The other operator retries until one of the two bundles is in force.
	_, otherErr := accept(t, other, two)
	err := <-done
	lifecycle, _, readErr := r.Lifecycle(t.Context(), "ratins")
	assert.NilError(t, readErr)
	for digest, got := range map[string]error{one.Digest().String(): err, two.Digest().String(): otherErr} {
		if lifecycle.InForce.Digest().String() == digest {
			assert.NilError(t, got)
			continue
		}
		var conflict *mtbundle.ConflictError
		assert.Assert(t, errors.As(got, &conflict), "%v", got)
		assert.Equal(t, conflict.Digest, lifecycle.InForce.Digest())
	}
}

// Two acceptances read the same state, and the other one is written first. The store
// rejects the second write with a version conflict, but Accept must report the bundle
// that is in force instead.
func TestLostSwapReportsConflictingBundle(t *testing.T) {
	store := newFaultyStore()
	r, other := open(store), open(store)
	one, two := proposeAndSign(t, r, 1, "one"), proposeAndSign(t, r, 1, "two")
	store.prefix = mtstore.BundlePrefix
	store.beforeSwap = func() {
		_, err := accept(t, other, two)
		assert.NilError(t, err)
	}
	_, err := accept(t, r, one)
	var conflict *mtbundle.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Digest, two.Digest())
}

// Two proposals are written concurrently. Neither may overwrite the other in the
// list of open proposals.
func TestConcurrentProposalsAreBothStored(t *testing.T) {
	store := newFaultyStore()
	r, other := open(store), open(store)
	store.prefix = mtstore.DraftPrefix
	store.beforeSwap = func() {
		_, err := other.Propose(t.Context(), now, "ratins", "janis", text(1, "two"))
		assert.NilError(t, err)
	}
	_, err := r.Propose(t.Context(), now, "ratins", "ilze", text(1, "one"))
	assert.NilError(t, err)
	lifecycle, _, err := r.Lifecycle(t.Context(), "ratins")
	assert.NilError(t, err)
	assert.Equal(t, len(lifecycle.Drafts), 2)
}

// Many operators accept different bundles of the same version concurrently, each
// with its own Rollout. Exactly one succeeds, and the others receive an error that
// identifies the bundle in force.
func TestConcurrentAcceptsHaveOneWinner(t *testing.T) {
	const operators = 8
	store := newFaultyStore()
	r := open(store)
	var drafts []*mtbundle.Stored
	for i := range operators {
		drafts = append(drafts, proposeAndSign(t, r, 1, fmt.Sprint("draft ", i)))
	}
	errs := make([]error, operators)
	var wait sync.WaitGroup
	for i, draft := range drafts {
		wait.Go(func() { _, errs[i] = accept(t, open(store), draft) })
	}
	wait.Wait()
	lifecycle, _, err := r.Lifecycle(t.Context(), "ratins")
	assert.NilError(t, err)
	won := 0
	for i, err := range errs {
		if err == nil {
			won++
			assert.Equal(t, lifecycle.InForce.Digest(), drafts[i].Digest())
			continue
		}
		var conflict *mtbundle.ConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Digest, lifecycle.InForce.Digest())
	}
	assert.Equal(t, won, 1)
}

func TestRepeatedRequestsChangeNothing(t *testing.T) {
	store := newFaultyStore()
	r := open(store)
	draft := proposeAndSign(t, r, 1, "first")
	before := store.entries[mtstore.DraftName("ratins")].Version
	proposeAndSign(t, r, 1, "first")
	assert.Equal(t, store.entries[mtstore.DraftName("ratins")].Version, before)
	_, err := accept(t, r, draft)
	assert.NilError(t, err)
	_, err = accept(t, r, draft)
	assert.NilError(t, err)
	proposeAndSign(t, r, 1, "first") // a late repetition of the first steps
	assert.Equal(t, store.entries[mtstore.BundleName("ratins")].Version, mtid.Version(1))
}

func TestHistory(t *testing.T) {
	store := newFaultyStore()
	r := open(store)
	const versions = mtstore.RetainedBundles + 6
	for v := 1; v <= versions; v++ {
		_, err := accept(t, r, proposeAndSign(t, r, v, fmt.Sprint("version ", v)))
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
	// A rollback proposes the old text with a new version.
	again := mtbundle.Renumber(old.Text, versions+1)
	draft, err := r.Propose(t.Context(), now, "ratins", "ilze", again)
	assert.NilError(t, err)
	assert.Equal(t, draft.Version, mtid.Version(versions+1))
	_, err = r.Version(t.Context(), "ratins", 2)
	var notRetained *mtrollout.NotRetainedError
	assert.Assert(t, errors.As(err, &notRetained), "%v", err)
}
