package server

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/version/entries"
)

const (
	// linkGrace is how long an agent keeps an entry that the store no longer lists:
	// its key may have lapsed while the store was away.
	linkGrace = 10 * time.Second
	// sourceTime is how long an agent follows one entry before it turns to another, in
	// case that one is cut off from the store.
	sourceTime = 30 * time.Second
)

// links decides which entries an agent links with, and from which of them it hears of
// the others. It opens and closes no connection itself.
type links struct {
	name, dataCentre string
	log              zerolog.Logger
	// dial keeps a link with an entry until its context ends.
	dial func(context.Context, *dialer)
	// retire lets a linked entry go once nothing of it runs; resume takes it back.
	retire, resume func(address string)

	mu       sync.Mutex
	set      *entries.Set
	revision uint64
	// dialers are the entries being called or linked, by address.
	dialers map[string]*dialer
	// open are the links, by address; source is the one that is followed, since when.
	open   map[string]*peer.Link
	source string
	since  time.Time
}

// dialer keeps a link with one entry.
type dialer struct {
	address string
	cancel  context.CancelFunc
	// incarnation is that of the entry's process as it was last told; news has a value
	// when it has changed.
	incarnation uint64
	news        chan struct{}
	// retiring is set while its link is let go.
	retiring bool
}

func newLinks(name, dataCentre string, log zerolog.Logger) *links {
	return &links{
		name:       name,
		dataCentre: dataCentre,
		log:        log,
		set:        entries.NewSet(linkGrace),
		dialers:    make(map[string]*dialer),
		open:       make(map[string]*peer.Link),
	}
}

// listed takes the entries that the store lists.
func (l *links) listed(ctx context.Context, all []peer.Entry, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.revision {
		return
	}
	l.revision = revision
	now := time.Now()
	l.set.Replace(all, now)
	l.set.Expire(now)
	l.updateLocked(ctx)
}

// told takes what a linked entry says of the others. What follows from an older state
// of the store than is known changes nothing, and another entry is followed.
func (l *links) told(ctx context.Context, from string, changes *peer.Entries) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from != l.source {
		return
	}
	if changes.Revision < l.revision {
		l.log.Warn().Str("from", from).Uint64("revision", changes.Revision).Uint64("known", l.revision).
			Msg("older list of entries ignored")
		l.followLocked(from)
		return
	}
	l.revision = changes.Revision
	for _, name := range changes.Gone {
		l.set.Drop(name)
	}
	now := time.Now()
	if changes.Whole {
		l.set.Replace(changes.Present, now)
		l.set.Expire(now)
	} else {
		for _, e := range changes.Present {
			l.set.Put(e)
		}
	}
	l.updateLocked(ctx)
}

// opened notes a link; the first one is followed.
func (l *links) opened(address string, link *peer.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[address] = link
	if d := l.dialers[address]; d != nil && d.retiring {
		l.retire(address)
	}
	if l.source == "" {
		l.followLocked("")
	}
}

// closed notes the end of a link.
func (l *links) closed(address string, link *peer.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[address] != link {
		return
	}
	delete(l.open, address)
	if l.source == address {
		l.followLocked("")
	}
}

// turn follows another entry than for the last sourceTime.
func (l *links) turn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.source != "" && time.Since(l.since) > sourceTime {
		l.followLocked(l.source)
	}
}

// followLocked follows a linked entry other than one, if there is such.
func (l *links) followLocked(other string) {
	l.source = ""
	// The order of a map is random.
	for address, link := range l.open {
		if l.source == "" || address != other {
			l.source = address
			if address != other {
				link.Send(peer.Frame{Follow: &peer.Follow{Revision: l.revision, Count: l.set.Len()}})
				break
			}
		}
	}
	l.since = time.Now()
}

// updateLocked calls the entries that are chosen and lets the others go.
func (l *links) updateLocked(ctx context.Context) {
	chosen := make(map[string]peer.Entry)
	for _, e := range entries.Choose(l.set.All(), l.name, l.dataCentre) {
		chosen[e.Address] = e
	}
	if len(chosen) == 0 {
		return // nobody to turn to
	}
	for address, e := range chosen {
		l.callLocked(ctx, address, e.Incarnation)
	}
	for address, d := range l.dialers {
		if _, ok := chosen[address]; !ok {
			l.letGoLocked(d)
		}
	}
}

// call begins to call entries of which only the addresses are known.
func (l *links) call(ctx context.Context, addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		l.callLocked(ctx, address, 0)
	}
}

func (l *links) callLocked(ctx context.Context, address string, incarnation uint64) {
	d := l.dialers[address]
	if d == nil {
		dialing, cancel := context.WithCancel(ctx)
		d = &dialer{address: address, cancel: cancel, incarnation: incarnation, news: make(chan struct{}, 1)}
		l.dialers[address] = d
		go l.dial(dialing, d)
		return
	}
	if d.retiring {
		d.retiring = false
		l.resume(address)
	}
	if incarnation != d.incarnation {
		d.incarnation = incarnation
		select {
		case d.news <- struct{}{}:
		default:
		}
	}
}

// letGoLocked ends the calls of an entry; a link is retired first.
func (l *links) letGoLocked(d *dialer) {
	if l.open[d.address] == nil {
		d.cancel()
		delete(l.dialers, d.address)
		return
	}
	if !d.retiring {
		d.retiring = true
		l.log.Info().Str("entry", d.address).Msg("entry retired")
		l.retire(d.address)
	}
}

// retired ends the link of an entry of which nothing runs any more.
func (l *links) retired(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.dialers[address]; d != nil && d.retiring {
		d.cancel()
		delete(l.dialers, address)
	}
}

// count returns the number of links.
func (l *links) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
