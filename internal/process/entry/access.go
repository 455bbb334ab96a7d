package entry

import (
	"sync"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/connection/caller"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// access holds the keys and the authorizer that authenticate peers and callers. Their
// contents can be reloaded while the entry runs.
type access struct {
	keys       *identity.Keys
	callerKeys *caller.Keys // nil without HTTPS
	authorizer *authorizer
	warnOnce   sync.Once // for the warning about the insecure mode
}

// newAccess loads the keys and callers named in the settings.
func newAccess(s *settings.Settings, counters *metrics.Counters) (*access, error) {
	refused := counters.Counter("handshakes_refused")
	keys, err := identity.Load(s.TLS.Files(), func(error) { refused.Inc(1) })
	if err != nil {
		return nil, err
	}
	a := &access{keys: keys}
	if t := s.Entry.CallerTLS; t != nil {
		a.callerKeys, err = caller.LoadKeys(t.Cert, t.Key)
		if err != nil {
			return nil, err
		}
	}
	a.authorizer, err = newAuthorizer(s.Entry.Callers, counters.CountRefusalError)
	return a, err
}

// Reload applies the keys and callers of new settings without disturbing open connections
// and requests in progress. Other settings need a restart.
func (e *Entry) Reload(s *settings.Settings) error {
	current := e.settings.Entry
	if s.Role != settings.RoleEntry || s.Entry.AcceptsWithoutToken() != current.AcceptsWithoutToken() || (s.Entry.CallerTLS == nil) != (current.CallerTLS == nil) {
		return eris.New("the role, and whether entry.callers and entry.caller_tls are set, can change only by a restart")
	}
	if err := e.access.keys.Reload(s.TLS.Files()); err != nil {
		return err
	}
	if t := s.Entry.CallerTLS; t != nil {
		if err := e.access.callerKeys.Reload(t.Cert, t.Key); err != nil {
			return err
		}
	}
	return e.access.authorizer.reload(s.Entry.Callers)
}

// listenCallers starts the server of the caller port.
func (e *Entry) listenCallers() (*caller.Server, error) {
	s := e.settings.Entry
	server, err := caller.Listen(caller.Options{
		Address:           s.CallerListen,
		Handler:           e.handler(),
		Keys:              e.access.callerKeys,
		RequestsPerSecond: s.CallerRate,
		IdleTimeout:       s.CallerIdle.Std(),
		MaxConnections:    s.CallerConnections,
		OnRefused:         e.counters.CountRefusal,
		OnClose: func(reason caller.CloseReason) {
			e.counters.Counter("caller_connections_cut_" + string(reason)).Inc(1)
		},
	})
	if err == nil && s.AcceptsWithoutToken() {
		e.access.warnOnce.Do(e.warnInsecure)
	}
	return server, err
}

func (e *Entry) warnInsecure() {
	e.log.Warn().Str("address", e.settings.Entry.CallerListen).
		Msg("INSECURE: entry.callers is empty, so every process on this machine has access as any department and as operator")
}

// handlerOptions returns the options shared by all services.
func (e *Entry) handlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithReadMaxBytes(caller.MaxBodyBytes),
		connect.WithInterceptors(e.access.authorizer.interceptor(), e.observeJobs()),
	)
}
