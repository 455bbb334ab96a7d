package server

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
)

const (
	// entryKeyPrefix is the prefix of the keys of entries, one key for each entry.
	entryKeyPrefix = "rosemarybay/entries/"
	// registrationTTL is the time to live of an entry's key. Agents detect the loss of
	// an entry on their links long before.
	registrationTTL = 6 * time.Second
	// renewInterval is the time between renewals. A key that expired during an outage
	// of the store is written again within this time after it.
	renewInterval = 1500 * time.Millisecond
	// renewRetryDelay is the delay after a failed call of the store.
	renewRetryDelay = 300 * time.Millisecond
)

// registryStore is the part of the platform's store that registrations need.
type registryStore interface {
	store.Store
	// ListStale may return a state that is some seconds old.
	ListStale(ctx context.Context, prefix string) (store.Listing, error)
}

// registration is the value of an entry's key, as JSON.
type registration struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
}

// registrar maintains the registration of one entry in the store.
type registrar struct {
	store registryStore
	log   zerolog.Logger
	key   string
	value registration
	// lease is the ID of the key's lease; 0 if there is none.
	lease uint64
	// writtenRevision is the revision of the key's last write.
	writtenRevision uint64
	// failing is set while registration fails.
	failing bool
}

func (r *registrar) run(ctx context.Context) {
	for {
		err := r.ensureRegistered(ctx)
		if ctx.Err() != nil {
			return
		}
		r.logState(err)
		delay := renewInterval
		if err != nil {
			delay = renewRetryDelay
		}
		if !sleep(ctx, delay) {
			return
		}
	}
}

// logState logs when registration begins to fail and when it succeeds again.
func (r *registrar) logState(err error) {
	switch {
	case err != nil && !r.failing:
		r.log.Warn().Err(err).Msg("cannot register the entry in the store")
	case err == nil && r.failing:
		r.log.Info().Msg("entry registered again")
	}
	r.failing = err != nil
}

// ensureRegistered renews the lease of the registration, and writes the key if it is
// lost: the lease may have expired, or the key may have been deleted or overwritten while the
// lease is valid.
func (r *registrar) ensureRegistered(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.RenewLease(ctx, r.lease)
		if errors.Is(err, store.ErrLeaseLapsed) {
			r.log.Warn().Uint64("lease", r.lease).Msg("lease of the registration has expired")
			r.lease = 0
		} else if err != nil {
			return err
		}
	}
	if r.lease == 0 {
		return r.write(ctx)
	}
	return r.restoreIfLost(ctx)
}

func (r *registrar) write(ctx context.Context) error {
	lease, err := r.store.GrantLease(ctx, registrationTTL)
	if err != nil {
		return err
	}
	data, err := json.Marshal(r.value)
	if err != nil {
		return eris.Wrap(err, "encode registration")
	}
	change := store.SwapRequest{Key: r.key, Data: data, LeaseID: lease}
	result, err := r.store.CompareAndSwap(ctx, change)
	if err == nil && !result.Swapped {
		change.ExpectedRevision = result.Revision
		result, err = r.store.CompareAndSwap(ctx, change)
	}
	if err != nil {
		return err
	}
	if !result.Swapped {
		return eris.New("registration was changed by another process")
	}
	r.lease, r.writtenRevision = lease, result.Revision
	r.log.Info().Str("key", r.key).Uint64("revision", result.Revision).Uint64("lease", lease).Msg("entry registered")
	return nil
}

// restoreIfLost writes the key again if it is missing or invalid in a listing that is newer
// than the last write. The prefix of the listing is the whole key, so that it returns few
// other keys. A valid registration is left alone, also that of another process.
func (r *registrar) restoreIfLost(ctx context.Context) error {
	listing, err := r.store.ListStale(ctx, r.key)
	if err != nil || listing.Revision < r.writtenRevision {
		return err
	}
	if slices.ContainsFunc(listing.Values, r.isRegistered) {
		return nil
	}
	r.log.Warn().Uint64("revision", listing.Revision).Uint64("written", r.writtenRevision).
		Msg("registration is missing or invalid in the store")
	return r.write(ctx)
}

// isRegistered reports whether v is a valid registration under the key.
func (r *registrar) isRegistered(v store.Value) bool {
	_, err := decodeEntry(v)
	return v.Key == r.key && err == nil
}

// deregister deletes the registration at a planned stop.
func (r *registrar) deregister(ctx context.Context) {
	if r.lease == 0 {
		return
	}
	if err := r.store.RevokeLease(ctx, r.lease); err != nil {
		r.log.Warn().Err(err).Msg("cannot delete the registration; it expires with its lease")
	}
}
