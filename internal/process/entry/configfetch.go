package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// errStoreOld reports a store whose revision is below a known one.
var errStoreOld = eris.New("store is older than the known configuration")

// peerFallbackTimeout bounds a store call before the peers are called instead.
const peerFallbackTimeout = 3 * time.Second

// checkStoreRevision reports whether an answer of the store is at least at a known
// revision. Older answers are counted; each change between old and current is logged once.
func (e *Entry) checkStoreRevision(known, answered uint64) bool {
	isOld := answered < known
	if e.storeOld.Swap(isOld) != isOld {
		e.log.Warn().Bool("old", isOld).Uint64("known", known).Uint64("answered", answered).Msg("store revision")
	}
	if isOld {
		e.counters.Counter("store_answers_old").Inc(1)
	}
	return !isOld
}

// listConfig reads the whole configuration from the store and applies it.
func (e *Entry) listConfig(ctx context.Context) error {
	sent := time.Now()
	update := &peerv1.ConfigUpdate{FromRevision: e.config.Load().Revision()}
	listing, err := e.store.List(ctx, configPrefix)
	if err != nil {
		return err
	}
	if !e.checkStoreRevision(update.GetFromRevision(), listing.Revision) {
		return errStoreOld
	}
	for _, v := range listing.Values {
		e.appendObject(update, v)
	}
	e.applyConfig(update)
	e.recordContact(func(f *freshness) { f.recordStore(sent) })
	return nil
}

// fetchFromPeers requests configuration, roster and past voter sets from the peers in the
// settings, and applies what is newer.
func (e *Entry) fetchFromPeers(ctx context.Context) {
	call := &peerv1.Call{Request: &peerv1.Call_GetRevision{GetRevision: &peerv1.GetRevision{PastVoters: true}}}
	for _, reply := range e.callPeers(ctx, call) {
		if r := reply.GetRevision(); r != nil {
			e.applyRevision(r)
			e.voters.merge(r.GetPastVoters(), time.Now())
		}
	}
}

// callPeers calls the peers in the settings in parallel and returns their replies.
func (e *Entry) callPeers(ctx context.Context, call *peerv1.Call) []*peerv1.Reply {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	var mu sync.Mutex
	var replies []*peerv1.Reply
	var waits sync.WaitGroup
	for _, address := range e.settings.Entry.Peers {
		waits.Go(func() {
			reply, err := e.peers.call(ctx, &peerv1.RosterEntry{PeerAddress: address}, call)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	waits.Wait()
	return replies
}
