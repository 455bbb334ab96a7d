package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// errStoreOld reports a store that is older than what is known.
var errStoreOld = eris.New("store is older than the known configuration")

// startCallTimeout bounds the calls to the store for which peers can stand in.
const startCallTimeout = 3 * time.Second

// checkRevision refuses and counts an answer of the store that is older than
// what is known. Each change between an old and a present store is logged once.
func (e *Entry) checkRevision(known, answered uint64) bool {
	isOld := answered < known
	if e.storeOld.Swap(isOld) != isOld {
		e.log.Warn().Bool("old", isOld).Uint64("known", known).Uint64("answered", answered).Msg("store revision")
	}
	if isOld {
		e.counters.Counter("store_answers_old").Inc(1)
	}
	return !isOld
}

// listConfig reads the whole configuration from the store.
func (e *Entry) listConfig(ctx context.Context) error {
	sent := time.Now()
	update := &peerv1.ConfigUpdate{FromRevision: e.config.Load().Revision()}
	listing, err := e.store.List(ctx, configPrefix)
	if err != nil {
		return err
	}
	if !e.checkRevision(update.GetFromRevision(), listing.Revision) {
		return errStoreOld
	}
	for _, v := range listing.Values {
		e.addObject(update, v)
	}
	e.applyConfig(update)
	e.confirm(func(f *freshness) { f.noteStore(sent) })
	return nil
}

// learnFromPeers takes the configuration and roster of the peers in the
// settings, where they are newer.
func (e *Entry) learnFromPeers(ctx context.Context) {
	call := &peerv1.Call{Request: &peerv1.Call_GetRevision{GetRevision: &peerv1.GetRevision{PastVoters: true}}}
	for _, reply := range e.askPeers(ctx, call) {
		if r := reply.GetRevision(); r != nil {
			e.learn(r)
			e.voters.learn(r.GetPastVoters(), time.Now())
		}
	}
}

// askPeers calls the peers of the settings at once and returns their replies.
func (e *Entry) askPeers(ctx context.Context, call *peerv1.Call) []*peerv1.Reply {
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
