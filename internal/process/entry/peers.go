package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/link"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// peerKeepAlive keeps the links between entries open.
const peerKeepAlive = time.Second

// peers holds the links this entry dialled to other entries, by address.
type peers struct {
	entry  *Entry
	dialer *link.Dialer

	mu    sync.Mutex
	links map[string]*peerLink
}

// peerLink is the link to one entry; its lock makes concurrent users share one
// dial.
type peerLink struct {
	mu          sync.Mutex
	link        *link.Link
	incarnation uint64
}

func newPeers(e *Entry) *peers {
	return &peers{
		entry: e,
		dialer: &link.Dialer{
			Transport: e.transport,
			TLS:       e.tls,
			Stats:     e.stats,
			KeepAlive: peerKeepAlive,
		},
		links: make(map[string]*peerLink),
	}
}

// call sends one request to the entry of an incarnation and waits for its reply.
func (p *peers) call(ctx context.Context, to *peerv1.RosterEntry, call *peerv1.Call) (*peerv1.Reply, error) {
	l, err := p.get(ctx, to)
	if err != nil {
		return nil, err
	}
	return l.Call(ctx, call)
}

func (p *peers) get(ctx context.Context, to *peerv1.RosterEntry) (*link.Link, error) {
	p.mu.Lock()
	pl, ok := p.links[to.GetPeerAddress()]
	if !ok {
		pl = &peerLink{}
		p.links[to.GetPeerAddress()] = pl
	}
	p.mu.Unlock()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.isOpen() && pl.incarnation == to.GetIncarnation() {
		return pl.link, nil
	}
	if err := p.open(ctx, pl, to); err != nil {
		return nil, err
	}
	return pl.link, nil
}

func (pl *peerLink) isOpen() bool {
	if pl.link == nil {
		return false
	}
	select {
	case <-pl.link.Done():
		return false
	default:
		return true
	}
}

func (p *peers) open(ctx context.Context, pl *peerLink, to *peerv1.RosterEntry) error {
	l, err := p.dialer.Dial(ctx, to.GetPeerAddress())
	if err != nil {
		return err
	}
	e := p.entry
	_ = l.Send(&peerv1.Frame{Body: &peerv1.Frame_Hello{Hello: &peerv1.Hello{
		Name:           e.settings.Name,
		DataCentre:     e.settings.DataCentre,
		Incarnation:    e.incarnation,
		ConfigRevision: e.config.Load().Revision(),
	}}})
	f, err := l.Receive()
	if err != nil {
		return err
	}
	if got := f.GetWelcome().GetIncarnation(); got != to.GetIncarnation() || l.Remote().Role != "entry" {
		l.Close()
		return eris.Errorf("peer at %s is not the incarnation asked for", to.GetPeerAddress())
	}
	pl.link, pl.incarnation = l, to.GetIncarnation()
	return nil
}

// handleCall answers the calls of other entries.
func (e *Entry) handleCall(ctx context.Context, call *peerv1.Call) *peerv1.Reply {
	if err := e.checkReady(); err != nil {
		return &peerv1.Reply{Failure: err.Failure()}
	}
	var answer *apiv1.Answer
	var err *verdict.Error
	switch r := call.GetRequest().(type) {
	case *peerv1.Call_Submit:
		answer, err = e.submitHere(ctx, r.Submit)
	case *peerv1.Call_GetJob:
		answer, err = e.getHere(ctx, r.GetJob)
	case *peerv1.Call_CancelJob:
		answer, err = e.cancelHere(ctx, r.CancelJob)
	case *peerv1.Call_AcquireSlots:
		got := e.broker.Acquire(ctx, r.AcquireSlots)
		return &peerv1.Reply{Response: &peerv1.Reply_AcquiredSlots{AcquiredSlots: got}}
	case *peerv1.Call_ReturnSlots:
		e.broker.Return(r.ReturnSlots)
		return &peerv1.Reply{Response: &peerv1.Reply_ReturnedSlots{ReturnedSlots: &peerv1.ReturnedSlots{}}}
	default:
		err = verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, "unknown call")
	}
	if err != nil {
		return &peerv1.Reply{Failure: err.Failure()}
	}
	return &peerv1.Reply{Response: &peerv1.Reply_Answer{Answer: answer}}
}
