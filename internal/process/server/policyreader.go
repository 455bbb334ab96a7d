package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/platform"
)

const (
	// maxPolicyAge is the age of an agent's policy above which the agent reads the store itself.
	// Linked entries that follow the store keep it below.
	maxPolicyAge = 2500 * time.Millisecond
	// policyCheckInterval is the time between checks of that age.
	policyCheckInterval = 250 * time.Millisecond
	// policyRetryInterval is the time after a read that failed: the store may be down, and the
	// agents that it serves inform the others.
	policyRetryInterval = 1500 * time.Millisecond
)

// policyHolder holds the data centres out of service that an agent enforces.
type policyHolder interface {
	PolicyAge() time.Duration
	ApplyStoredPolicy(revision uint64, out []string, sent time.Time)
	Links() int
}

// policyReader reads the data centres out of service from the store while no linked entry
// follows it. The store may turn all entries away and serve the agents.
type policyReader struct {
	store   store.Store
	log     zerolog.Logger
	invalid *eventlog.InvalidValues
	holder  policyHolder
	// readAt is when the latest successful read was sent, zero once an entry has confirmed the
	// policy later.
	readAt time.Time
}

// run checks the age of the policy until ctx ends.
func (r *policyReader) run(ctx context.Context) {
	wait := policyCheckInterval
	for sleep(ctx, wait) {
		wait = r.check(ctx)
	}
}

// check reads the store if the policy is too old, and returns the time until the next check.
func (r *policyReader) check(ctx context.Context) time.Duration {
	age := r.holder.PolicyAge()
	// Nothing is started for entries that are not linked.
	if age <= maxPolicyAge || r.holder.Links() == 0 {
		r.noteEntries(age)
		return policyCheckInterval
	}
	if err := r.read(ctx); err != nil {
		r.log.Debug().Err(err).Dur("policy_age", age).Msg("cannot read the data centres out of service")
		return jitter(policyRetryInterval)
	}
	return policyCheckInterval
}

// jitter spreads the reads of agents whose entries lost the store at the same time.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

func (r *policyReader) read(ctx context.Context) error {
	sent := time.Now()
	listing, err := r.store.List(ctx, platform.OutOfServicePrefix)
	if err != nil {
		return err
	}
	recordUnreadable(r.invalid, platform.OutOfServicePrefix, listing)
	// The keys name the data centres; no value is decoded.
	decoded, err := platform.DecodeOperatorConfig(listing.Values)
	if err != nil {
		return err
	}
	if r.readAt.IsZero() {
		r.log.Warn().Dur("policy_age", r.holder.PolicyAge()).Uint64("revision", listing.Revision).Strs("out", decoded.OutOfService).
			Msg("no linked entry follows the store; data centres out of service are read from it")
	}
	r.readAt = sent
	r.holder.ApplyStoredPolicy(listing.Revision, decoded.OutOfService, sent)
	return nil
}

// noteEntries logs that a linked entry has confirmed the policy after the latest read.
func (r *policyReader) noteEntries(age time.Duration) {
	if r.readAt.IsZero() || age >= time.Since(r.readAt) {
		return
	}
	r.readAt = time.Time{}
	r.log.Info().Dur("policy_age", age).Msg("linked entries follow the store again")
}
