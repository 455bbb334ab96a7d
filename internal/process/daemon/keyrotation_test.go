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

// The authorities, the node keys, the key of the caller port and a token are replaced under
// load. No request may fail.
func TestKeyRotationFailsNoRequest(t *testing.T) {
	p := startFixture(t)
	const clients = 8
	var sent, failed atomic.Int64
	ctx, stop := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for range clients {
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
	p.await("requests after the rotation", func() bool { return sent.Load() > before+clients })
	stop()
	wait.Wait()
	if failed.Load() > 0 {
		t.Errorf("%d of %d requests failed", failed.Load(), sent.Load())
	}
	t.Logf("%d requests", sent.Load())
}

// rotate follows docs/operators/KEYS.md: trust both authorities, replace the keys, then trust
// only the new authority.
func (p *fixture) rotate() {
	p.t.Helper()
	const pause = 200 * time.Millisecond
	oldCA := p.ca
	newCA := mustPair(p.t, func() (identity.KeyPair, error) { return identity.NewCA("new") })
	entrySettings, agentSettings := p.entrySettings, p.agentSettings
	entrySection := *p.entrySettings.Entry
	entrySettings.Entry = &entrySection

	entrySettings.TLS.CA = oldCA.Cert + newCA.Cert
	agentSettings.TLS.CA = entrySettings.TLS.CA
	p.reload(entrySettings, agentSettings)
	time.Sleep(pause)

	trusted := entrySettings.TLS.CA
	entrySettings.TLS, agentSettings.TLS = p.nodeKeys(newCA, entryName, identity.RoleEntry), p.nodeKeys(newCA, agentName, identity.RoleAgent)
	entrySettings.TLS.CA, agentSettings.TLS.CA = trusted, trusted
	callerPair := mustPair(p.t, func() (identity.KeyPair, error) {
		return identity.NewServerCertificate(oldCA, "entry-2", []string{hostOf(entrySection.CallerListen)})
	})
	entrySection.CallerTLS = &settings.CallerTLS{Cert: callerPair.Cert, Key: callerPair.Key}
	entrySection.Callers = append([]settings.Caller{{TokenSHA256: hashOf("desk-2"), Department: "desk"}}, entrySection.Callers...)
	p.reload(entrySettings, agentSettings)
	time.Sleep(pause)
	if err := p.submit(p.t.Context(), "desk-2"); err != nil {
		p.t.Errorf("new token: %v", err)
	}

	entrySettings.TLS.CA, agentSettings.TLS.CA = newCA.Cert, newCA.Cert
	p.reload(entrySettings, agentSettings)
	if _, err := p.dialPeer(p.keys(oldCA, "late", identity.RoleAgent).ClientConfig()); err == nil {
		p.t.Error("keys of the old authority are accepted after the rotation")
	}
}

func (p *fixture) reload(entrySettings, agentSettings settings.Settings) {
	p.t.Helper()
	if err := p.entry.Reload(p.parse(entrySettings)); err != nil {
		p.t.Fatal(err)
	}
	if err := p.agent.Reload(p.parse(agentSettings)); err != nil {
		p.t.Fatal(err)
	}
}
