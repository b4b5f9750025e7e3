package mtmember

import (
	"errors"

	"magnoliaturn/core/mtstore"
)

// outcome is what is known of a write.
type outcome int

const (
	landed   outcome = iota
	lost             // refused by a conflict: will never take effect
	refused          // the store never took it
	doubtful         // may have taken effect, or may yet
)

// outcomeOf reads the error of a Swap. An error of a kind that is not known
// proves nothing, and so counts as doubtful.
func outcomeOf(err error) outcome {
	var conflict *mtstore.ConflictError
	var unavailable *mtstore.UnavailableError
	var rejected *mtstore.RejectedError
	switch {
	case err == nil:
		return landed
	case errors.As(err, &conflict):
		return lost
	case errors.As(err, &unavailable), errors.As(err, &rejected):
		return refused
	}
	return doubtful
}

// currentOf returns the entry that won a conflict.
func currentOf(err error) mtstore.Entry {
	var conflict *mtstore.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current
	}
	return mtstore.Entry{}
}

// missing reports whether err says that a name has no value.
func missing(err error) bool {
	var m *mtstore.NotFoundError
	return errors.As(err, &m)
}
