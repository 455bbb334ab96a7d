package server

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
)

const (
	// firstReadInterval is the time between reads until the first one is answered: the reads of
	// some hundred entries stay far below the rate of the store. firstReadTimeout leaves a slow
	// store time to answer.
	firstReadInterval = 80 * time.Millisecond
	firstReadTimeout  = time.Second
)

// lister is the part of the platform's store that awaitListing uses.
type lister interface {
	List(ctx context.Context, prefix string) (store.Listing, error)
}

// firstListing is the answer to a read that was sent at a time.
type firstListing struct {
	listing store.Listing
	sent    time.Time
}

// awaitListing reads the values under a prefix until an answer arrives. It starts a new read every
// firstReadInterval beside those without an answer. It is for what an entry needs before it can serve
// any caller: after a loss of power a call that began while the store was away may wait for a second,
// until TCP repeats its first packet.
func awaitListing(ctx context.Context, s lister, prefix string, log zerolog.Logger) (firstListing, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan firstListing, 1)
	ticker := time.NewTicker(firstReadInterval)
	defer ticker.Stop()
	for tries := 1; ; tries++ {
		go tryListing(ctx, s, prefix, answers)
		select {
		case <-ctx.Done():
			return firstListing{}, ctx.Err()
		case first := <-answers:
			log.Info().Str("prefix", prefix).Int("reads", tries).Dur("took", time.Since(first.sent)).Msg("first read answered")
			return first, nil
		case <-ticker.C:
		}
		if tries == 1 {
			log.Warn().Str("prefix", prefix).Msg("store does not answer the first read")
		}
	}
}

// tryListing reads once, and sends the answer unless there is one already.
func tryListing(ctx context.Context, s lister, prefix string, answers chan<- firstListing) {
	ctx, cancel := context.WithTimeout(ctx, firstReadTimeout)
	defer cancel()
	sent := time.Now()
	listing, err := s.List(ctx, prefix)
	if err != nil {
		return
	}
	select {
	case answers <- firstListing{listing: listing, sent: sent}:
	default:
	}
}
