package mtmember

import (
	"errors"

	"magnoliaturn/core/mtstore"
)

// outcome is the result of a write to the store, as far as it is known.
type outcome int

const (
	succeeded  outcome = iota
	conflicted         // another write won: this one never takes effect
	notApplied         // the write did not reach the store, or the store rejected it
	unknown            // the write may have taken effect, or may still do so
)

// outcomeOf classifies the error of a Swap. An error of any other type proves
// nothing, so the outcome is unknown.
func outcomeOf(err error) outcome {
	var conflict *mtstore.ConflictError
	var unavailable *mtstore.UnavailableError
	var rejected *mtstore.RejectedError
	switch {
	case err == nil:
		return succeeded
	case errors.As(err, &conflict):
		return conflicted
	case errors.As(err, &unavailable), errors.As(err, &rejected):
		return notApplied
	}
	return unknown
}

// conflictingEntry returns the stored entry that a failed Swap conflicted with.
func conflictingEntry(err error) mtstore.Entry {
	var conflict *mtstore.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current
	}
	return mtstore.Entry{}
}

// isNotFound reports whether err is that the store has no value for a name.
func isNotFound(err error) bool {
	var m *mtstore.NotFoundError
	return errors.As(err, &m)
}
