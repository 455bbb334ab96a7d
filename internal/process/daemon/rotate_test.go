package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// Authorities, node keys, the key of the caller port and a token are replaced
// under load; no request is cut or refused.
func TestRotationCutsNoRequest(t *testing.T) {
	p := startPair(t)
	const callers = 8
	var sent, failed atomic.Int64
	ctx, stop := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for ctx.Err() == nil {
				sent.Add(1)
				if err := p.submit(t.Context(), "desk"); err != nil {
					failed.Add(1)
					t.Error(err)
				}
			}
		})
	}
	p.rotate()
	before := sent.Load()
	p.await("requests after the rotation", func() bool { return sent.Load() > before+callers })
	stop()
	wait.Wait()
	if failed.Load() > 0 {
		t.Errorf("%d of %d requests failed", failed.Load(), sent.Load())
	}
	t.Logf("%d requests", sent.Load())
}

// rotate goes the way of docs/operators/KEYS.md: trust both authorities, change
// the keys, trust the new one alone.
func (p *pair) rotate() {
	p.t.Helper()
	const pause = 200 * time.Millisecond
	oldCA := p.ca
	newCA := makePair(p.t, func() (identity.Pair, error) { return identity.NewCA("new") })
	entryS, agentS := p.entryS, p.agentS
	entrySection := *p.entryS.Entry
	entryS.Entry = &entrySection

	entryS.TLS.CA = oldCA.Cert + newCA.Cert
	agentS.TLS.CA = entryS.TLS.CA
	p.reload(entryS, agentS)
	time.Sleep(pause)

	trusted := entryS.TLS.CA
	entryS.TLS, agentS.TLS = p.nodeKeys(newCA, entryName, identity.RoleEntry), p.nodeKeys(newCA, agentName, identity.RoleAgent)
	entryS.TLS.CA, agentS.TLS.CA = trusted, trusted
	web := makePair(p.t, func() (identity.Pair, error) {
		return identity.NewServer(oldCA, "entry-2", []string{hostOf(entrySection.CallerListen)})
	})
	entrySection.CallerTLS = &settings.CallerTLS{Cert: web.Cert, Key: web.Key}
	entrySection.Callers = append([]settings.Caller{{TokenSHA256: hashOf("desk-2"), Department: "desk"}}, entrySection.Callers...)
	p.reload(entryS, agentS)
	time.Sleep(pause)
	if err := p.submit(p.t.Context(), "desk-2"); err != nil {
		p.t.Errorf("new token: %v", err)
	}

	entryS.TLS.CA, agentS.TLS.CA = newCA.Cert, newCA.Cert
	p.reload(entryS, agentS)
	if _, err := p.dialPeer(p.keys(oldCA, "late", identity.RoleAgent).Client()); err == nil {
		p.t.Error("keys of the old authority are let in after the rotation")
	}
}

func (p *pair) reload(entryS, agentS settings.Settings) {
	p.t.Helper()
	if err := p.entry.Reload(p.parse(entryS)); err != nil {
		p.t.Fatal(err)
	}
	if err := p.agent.Reload(p.parse(agentS)); err != nil {
		p.t.Fatal(err)
	}
}
