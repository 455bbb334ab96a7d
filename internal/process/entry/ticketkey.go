package entry

import (
	"context"
	"crypto/rand"

	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// loadTicketKey reads the signing key of tickets from the store, or from a peer if the
// store does not answer, and creates the job table.
func (e *Entry) loadTicketKey(ctx context.Context) error {
	data, err := e.readOrCreateTicketKey(ctx)
	if err != nil {
		data = e.fetchTicketKeyFromPeers(ctx)
	}
	if data == nil {
		return err
	}
	if len(data) != ticket.KeySize {
		return eris.Errorf("ticket key has %d bytes", len(data))
	}
	key := ticket.Key(data)
	e.ticketKey.Store(&key)
	e.jobs = jobs.NewTable(e.incarnation, key, e.settings.Entry.TicketLifetime.Std(), e.dispatcher, e.counters)
	e.jobs.SetMemoryLimit(e.answerMemory)
	go e.jobs.Expire(ctx.Done())
	return nil
}

// readOrCreateTicketKey reads the key from the store. If there is none, or one that cannot be
// used, it stores that of a peer or a new one and returns an error, so that the key is read
// again: another entry may have won.
func (e *Entry) readOrCreateTicketKey(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerFallbackTimeout)
	defer cancel()
	value, err := e.store.Get(ctx, ticketKeyName)
	if err != nil {
		return nil, err
	}
	change := store.SwapRequest{Key: ticketKeyName}
	if value != nil {
		if len(value.Data) == ticket.KeySize {
			return value.Data, nil
		}
		e.log.Error().Int("bytes", len(value.Data)).Uint64("revision", value.Revision).Msg("stored ticket key is invalid; replacing it")
		change.ExpectedRevision = value.Revision
		change.Data = e.fetchTicketKeyFromPeers(ctx)
	}
	if change.Data == nil {
		change.Data = make([]byte, ticket.KeySize)
		_, _ = rand.Read(change.Data)
	}
	if _, err := e.store.CompareAndSwap(ctx, change); err != nil {
		return nil, err
	}
	return nil, eris.New("ticket key was just created; reading it again")
}

// fetchTicketKeyFromPeers requests the key from the peers in the settings; it returns nil if
// none has a valid one.
func (e *Entry) fetchTicketKeyFromPeers(ctx context.Context) []byte {
	call := &peerv1.Call{Request: &peerv1.Call_GetTicketKey{GetTicketKey: &peerv1.GetTicketKey{}}}
	for _, reply := range e.callPeers(ctx, call) {
		if key := reply.GetTicketKey().GetKey(); len(key) == ticket.KeySize {
			return key
		}
	}
	return nil
}

// handleGetTicketKey answers GetTicketKey. Only entries can call it: the TLS identity of
// the link has been checked.
func (e *Entry) handleGetTicketKey() *peerv1.Reply {
	key := e.ticketKey.Load()
	if key == nil {
		err := verdict.NotRunError(apiv1.Reason_REASON_STORE_UNAVAILABLE, "entry has no ticket key yet")
		return &peerv1.Reply{Failure: err.Failure()}
	}
	return &peerv1.Reply{Response: &peerv1.Reply_TicketKey{TicketKey: &peerv1.TicketKey{Key: key[:]}}}
}
