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

// loadTicketKey reads the signing key of tickets from the store, or from a peer
// while the store does not answer.
func (e *Entry) loadTicketKey(ctx context.Context) error {
	data, err := e.readTicketKey(ctx)
	if err != nil {
		data = e.askTicketKey(ctx)
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
	e.jobs.SetMemory(e.memory)
	go e.jobs.Expire(ctx.Done())
	return nil
}

// readTicketKey reads the key from the store, or makes it.
func (e *Entry) readTicketKey(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, startCallTimeout)
	defer cancel()
	value, err := e.store.Get(ctx, ticketKeyName)
	if err != nil {
		return nil, err
	}
	if value != nil {
		return value.Data, nil
	}
	fresh := make([]byte, ticket.KeySize)
	_, _ = rand.Read(fresh)
	if _, err := e.store.CompareAndSwap(ctx, store.Change{Key: ticketKeyName, Data: fresh}); err != nil {
		return nil, err
	}
	return nil, eris.New("ticket key was just made")
}

// askTicketKey asks the peers of the settings for the key; nil when none has it.
func (e *Entry) askTicketKey(ctx context.Context) []byte {
	call := &peerv1.Call{Request: &peerv1.Call_GetTicketKey{GetTicketKey: &peerv1.GetTicketKey{}}}
	for _, reply := range e.askPeers(ctx, call) {
		if key := reply.GetTicketKey().GetKey(); key != nil {
			return key
		}
	}
	return nil
}

// replyTicketKey answers GetTicketKey. Only entries reach it: the link's TLS
// identity was checked.
func (e *Entry) replyTicketKey() *peerv1.Reply {
	key := e.ticketKey.Load()
	if key == nil {
		err := verdict.NotRunError(apiv1.Reason_REASON_STORE_UNAVAILABLE, "entry has no ticket key yet")
		return &peerv1.Reply{Failure: err.Failure()}
	}
	return &peerv1.Reply{Response: &peerv1.Reply_TicketKey{TicketKey: &peerv1.TicketKey{Key: key[:]}}}
}
