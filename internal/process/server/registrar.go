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
	// deregisterTimeout bounds the deletion of the key at a planned stop.
	deregisterTimeout = 2 * time.Second
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
	// lease is the ID of the lease of the key; 0 if there is none. A write without an answer may
	// still be executed as long as the lease lives.
	lease uint64
	// registered is set once a write under the lease has been answered; writtenRevision is the
	// revision of the latest one.
	registered      bool
	writtenRevision uint64
	// failing is set while registration fails.
	failing bool
}

// run maintains the registration until ctx ends, and then deletes it.
func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.ensureRegistered(ctx)
		if ctx.Err() != nil {
			break
		}
		r.logState(err)
		delay := renewInterval
		if err != nil {
			delay = renewRetryDelay
		}
		sleep(ctx, delay)
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	r.deregister(stopping)
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
	if err := r.ensureLease(ctx); err != nil {
		return err
	}
	if !r.registered {
		return r.write(ctx)
	}
	return r.restoreIfLost(ctx)
}

// ensureLease renews the lease, or obtains one if there is none.
func (r *registrar) ensureLease(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.RenewLease(ctx, r.lease)
		if !errors.Is(err, store.ErrLeaseLapsed) {
			return err
		}
		r.log.Warn().Uint64("lease", r.lease).Msg("lease of the registration has expired")
		r.lease, r.registered = 0, false
	}
	lease, err := r.store.GrantLease(ctx, registrationTTL)
	r.lease = lease
	return err
}

// write writes the key under the lease. One that is present is overwritten: it is that of an
// earlier process, or of an earlier write without an answer.
func (r *registrar) write(ctx context.Context) error {
	data, err := json.Marshal(r.value)
	if err != nil {
		return eris.Wrap(err, "encode registration")
	}
	writer := store.Writer{Store: r.store, Key: r.key, Revision: r.writtenRevision}
	if err := writer.Write(ctx, data, r.lease); err != nil {
		return err
	}
	r.registered, r.writtenRevision = true, writer.Revision
	r.log.Info().Str("key", r.key).Uint64("revision", writer.Revision).Uint64("lease", r.lease).Msg("entry registered")
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

// deregister ends the lease, and with it the registration at a planned stop. A write that is
// executed later is refused without its lease. It is repeated until it is answered or ctx ends.
func (r *registrar) deregister(ctx context.Context) {
	if r.lease == 0 {
		return
	}
	for {
		err := r.store.RevokeLease(ctx, r.lease)
		if err == nil {
			r.log.Info().Str("key", r.key).Uint64("lease", r.lease).Msg("entry deregistered")
			return
		}
		if !sleep(ctx, renewRetryDelay) {
			r.log.Warn().Err(err).Msg("cannot delete the registration; it expires with its lease")
			return
		}
	}
}
