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

const (
	// peerKeepAlive is the keep-alive interval of links between entries.
	peerKeepAlive = time.Second
	// peerDialTimeout bounds dialling an entry, which may be gone.
	peerDialTimeout = time.Second
)

// peers holds the links that this entry has dialled to other entries.
type peers struct {
	entry  *Entry
	dialer *link.Dialer

	mu    sync.Mutex
	links map[string]*peerLink // by address
}

// peerLink is the link to one entry. Its mutex makes concurrent callers share one dial.
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
			TLS:       e.access.keys.ClientConfig(),
			Stats:     e.stats,
			KeepAlive: peerKeepAlive,
		},
		links: make(map[string]*peerLink),
	}
}

// call sends one request to an entry and waits for its reply. It dials the entry if there
// is no open link to this incarnation. link.ErrNotSent means that the entry never gets the
// request; after any other error it may have executed it.
func (p *peers) call(ctx context.Context, to *peerv1.RosterEntry, call *peerv1.Call) (*peerv1.Reply, error) {
	l, err := p.linkTo(ctx, to)
	if err != nil {
		return nil, eris.Wrap(link.ErrNotSent, err.Error())
	}
	return l.Call(ctx, call)
}

func (p *peers) linkTo(ctx context.Context, to *peerv1.RosterEntry) (*link.Link, error) {
	p.mu.Lock()
	pl, ok := p.links[to.GetPeerAddress()]
	if !ok {
		pl = &peerLink{}
		p.links[to.GetPeerAddress()] = pl
	}
	p.mu.Unlock()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.isOpen() && matchesIncarnation(to, pl.incarnation) {
		return pl.link, nil
	}
	// Calls that waited for a dial that failed do not each dial again once the entry
	// has left the roster.
	if to.GetIncarnation() != 0 && !p.entry.isRegistered(to.GetIncarnation()) {
		return nil, eris.Errorf("entry %s has left the roster", to.GetName())
	}
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	if err := p.dial(ctx, pl, to); err != nil {
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

func (p *peers) dial(ctx context.Context, pl *peerLink, to *peerv1.RosterEntry) error {
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
	f, err := l.ReceiveWithin(ctx)
	if err != nil {
		return err
	}
	got := f.GetWelcome().GetIncarnation()
	if !matchesIncarnation(to, got) || l.Remote().Role != "entry" {
		l.Close()
		return eris.Errorf("peer at %s is not the incarnation asked for", to.GetPeerAddress())
	}
	pl.link, pl.incarnation = l, got
	return nil
}

// matchesIncarnation reports whether an incarnation is the one in a roster entry. One
// built from a peer address in the settings has none and matches any.
func matchesIncarnation(to *peerv1.RosterEntry, incarnation uint64) bool {
	return to.GetIncarnation() == 0 || to.GetIncarnation() == incarnation
}

// handleCall answers the calls of other entries.
func (e *Entry) handleCall(ctx context.Context, call *peerv1.Call) *peerv1.Reply {
	if reply := e.handleConfigCall(call); reply != nil {
		return reply
	}
	if err := e.checkReadyForTicket(); err != nil {
		return &peerv1.Reply{Failure: err.Failure()}
	}
	switch r := call.GetRequest().(type) {
	case *peerv1.Call_HandOver:
		return e.handleHandOver(r.HandOver)
	case *peerv1.Call_AcquireSlots:
		got := e.broker.Acquire(ctx, r.AcquireSlots)
		return &peerv1.Reply{Response: &peerv1.Reply_AcquiredSlots{AcquiredSlots: got}}
	case *peerv1.Call_ReturnSlots:
		e.broker.Return(r.ReturnSlots)
		return &peerv1.Reply{Response: &peerv1.Reply_ReturnedSlots{ReturnedSlots: &peerv1.ReturnedSlots{}}}
	}
	answer, err := e.handleTicketCall(ctx, call)
	if err != nil {
		return &peerv1.Reply{Failure: err.Failure()}
	}
	return &peerv1.Reply{Response: &peerv1.Reply_Answer{Answer: answer}}
}

func (e *Entry) handleTicketCall(ctx context.Context, call *peerv1.Call) (*apiv1.Answer, *verdict.Error) {
	m := ticketRequestOf(call)
	if m == nil {
		return nil, verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, "unknown call")
	}
	t, err := e.decodeUnexpired(m)
	if err != nil {
		return nil, err
	}
	answer, err, ok := e.answerLocally(ctx, t.Home, call)
	if ok {
		return answer, err
	}
	if e.adoptions.adopter(t.Home) == e.incarnation {
		// The store names this entry as the adopter, but the adoption is not set up yet.
		return e.adoptAndAnswer(ctx, t.Home, call)
	}
	return nil, errHomeLost("ticket belongs to another incarnation")
}

func (e *Entry) adoptAndAnswer(ctx context.Context, home uint64, call *peerv1.Call) (*apiv1.Answer, *verdict.Error) {
	if err := e.adopt(ctx, home); err != nil {
		return nil, errHomeLost("the entry that issued the ticket is lost: %v", err)
	}
	answer, err, ok := e.answerLocally(ctx, home, call)
	if !ok {
		return nil, errHomeLost("ticket belongs to another incarnation")
	}
	return answer, err
}
