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
	// rosterPrefix holds a key for each entry.
	rosterPrefix = "rosemarybay/entries/"
	// registrationLease is the time to live of an entry's key. The loss of an
	// entry shows on its links long before.
	registrationLease = 6 * time.Second
	// registerInterval is the time between renewals. A key that lapsed while the
	// store was away is back within it.
	registerInterval = 1500 * time.Millisecond
	// registerRetry is the pause after a call that failed.
	registerRetry = 300 * time.Millisecond
)

// rosterStore is what the roster needs of the platform's store.
type rosterStore interface {
	store.Store
	// ListStale may return what was there seconds ago.
	ListStale(ctx context.Context, prefix string) (store.Listing, error)
}

// registration is the value of an entry's key.
type registration struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
}

// registrar keeps the key of one entry in the store.
type registrar struct {
	store rosterStore
	log   zerolog.Logger
	key   string
	value registration
	lease uint64
	// written is the revision of the key.
	written uint64
	lost    bool
}

func (r *registrar) run(ctx context.Context) {
	for {
		err := r.keep(ctx)
		if ctx.Err() != nil {
			return
		}
		r.note(err)
		pause := registerInterval
		if err != nil {
			pause = registerRetry
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// note logs the loss of the store and its return.
func (r *registrar) note(err error) {
	switch {
	case err != nil && !r.lost:
		r.log.Warn().Err(err).Msg("entry not registered")
	case err == nil && r.lost:
		r.log.Info().Msg("entry registered again")
	}
	r.lost = err != nil
}

// keep renews the registration, and writes it where it is missing: a lease may
// lapse, and a key may be taken away while its lease lives.
func (r *registrar) keep(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.RenewLease(ctx, r.lease)
		if errors.Is(err, store.ErrLeaseLapsed) {
			r.log.Warn().Uint64("lease", r.lease).Msg("registration lapsed")
			r.lease = 0
		} else if err != nil {
			return err
		}
	}
	if r.lease == 0 {
		return r.write(ctx)
	}
	return r.check(ctx)
}

func (r *registrar) write(ctx context.Context) error {
	lease, err := r.store.GrantLease(ctx, registrationLease)
	if err != nil {
		return err
	}
	data, err := json.Marshal(r.value)
	if err != nil {
		return eris.Wrap(err, "encode registration")
	}
	change := store.Change{Key: r.key, Data: data, LeaseID: lease}
	result, err := r.store.CompareAndSwap(ctx, change)
	if err == nil && !result.Swapped {
		change.Expected = result.Revision
		result, err = r.store.CompareAndSwap(ctx, change)
	}
	if err != nil {
		return err
	}
	if !result.Swapped {
		return eris.New("registration was changed by another process")
	}
	r.lease, r.written = lease, result.Revision
	r.log.Info().Str("key", r.key).Uint64("revision", result.Revision).Uint64("lease", lease).Msg("entry registered")
	return nil
}

// check looks for the key in a listing that is newer than it. The listing holds
// little else: keys that begin as this one does.
func (r *registrar) check(ctx context.Context) error {
	listing, err := r.store.ListStale(ctx, r.key)
	if err != nil {
		return err
	}
	present := slices.ContainsFunc(listing.Values, func(v store.Value) bool { return v.Key == r.key })
	if present || listing.Revision < r.written {
		return nil
	}
	r.log.Warn().Uint64("revision", listing.Revision).Uint64("written", r.written).Msg("registration is gone")
	return r.write(ctx)
}

// withdraw removes the registration at a planned stop.
func (r *registrar) withdraw(ctx context.Context) {
	if r.lease == 0 {
		return
	}
	if err := r.store.RevokeLease(ctx, r.lease); err != nil {
		r.log.Warn().Err(err).Msg("registration not withdrawn; it lapses by itself")
	}
}
