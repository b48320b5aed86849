package configuration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
)

// ObjectKey is the key of the platform's object that holds the state in force.
const ObjectKey = "slipwick/configuration"

// Repository reads and replaces the state in the platform. Set Store before use.
type Repository struct {
	Store slipwick.Store
}

// Current reads the state in force and its version. If none was ever applied, it
// returns an empty state and version 0.
func (r *Repository) Current(ctx context.Context) (State, slipwick.Version, error) {
	object, err := r.Store.Get(ctx, ObjectKey)
	if slipwick.IsKind(err, slipwick.KindNotFound) {
		return State{}, 0, nil
	}
	if err != nil {
		return State{}, 0, errors.Wrap(err, "read configuration")
	}
	state, err := Decode(object.Value)
	return state, object.Version, err
}

// Apply atomically replaces the state that has the version with the new one, and
// returns the new version; version 0 stands for no state. The error is of
// KindConflict if another writer has replaced the state before. If the response to
// the write is lost, Apply reads the state back to find out whether it was applied;
// the error is of KindUnavailable if that fails as well.
func (r *Repository) Apply(ctx context.Context, state *State, version slipwick.Version) (slipwick.Version, error) {
	value, err := Encode(state)
	if err != nil {
		return 0, err
	}
	var written slipwick.Version
	if version == 0 {
		written, err = r.Store.Create(ctx, ObjectKey, value)
	} else {
		written, err = r.Store.Update(ctx, ObjectKey, value, version)
	}
	if slipwick.IsKind(err, slipwick.KindUnavailable) {
		return r.readBack(ctx, value, version, err)
	}
	if err != nil {
		return 0, errors.Wrap(err, "apply configuration")
	}
	return written, nil
}

// readBack finds out whether a write whose response was lost took effect.
func (r *Repository) readBack(
	ctx context.Context, value []byte, version slipwick.Version, cause error,
) (slipwick.Version, error) {
	object, err := r.Store.Get(ctx, ObjectKey)
	switch {
	case err == nil && object.Version > version && bytes.Equal(object.Value, value):
		return object.Version, nil
	case err == nil && object.Version > version:
		return 0, &slipwick.Error{
			Kind:    slipwick.KindConflict,
			Message: "another configuration was applied at the same time",
			Remedy:  "compare with diff and apply again",
			Cause:   cause,
		}
	case err == nil || slipwick.IsKind(err, slipwick.KindNotFound):
		return 0, errors.Wrap(cause, "the configuration was not applied")
	default:
		return 0, &slipwick.Error{
			Kind:    slipwick.KindUnavailable,
			Message: "the platform did not respond; the configuration may have been applied",
			Remedy:  "run diff when the platform responds again",
			Cause:   cause,
		}
	}
}

// Encode returns the state as the platform stores it. The error is of
// KindInvalidConfiguration if it exceeds slipwick.MaxObjectBytes.
func Encode(state *State) ([]byte, error) {
	value, err := json.Marshal(state)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(value) > slipwick.MaxObjectBytes {
		return nil, &slipwick.Error{
			Kind:    slipwick.KindInvalidConfiguration,
			Message: fmt.Sprintf("the configuration has %d bytes; the limit is %d", len(value), slipwick.MaxObjectBytes),
			Remedy:  "remove entries that are no longer used",
		}
	}
	return value, nil
}

// Decode decodes a stored state. It ignores fields that a newer release
// added, so that routers of both releases can run side by side.
func Decode(value []byte) (State, error) {
	var state State
	if err := json.Unmarshal(value, &state); err != nil {
		return State{}, errors.Wrap(err, "decode configuration")
	}
	return state, nil
}
