package entry

import (
	"net"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/caller"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
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
	// intake bounds what callers make the process hold, those without a token included.
	intake *caller.Intake
}

// newAccess loads the keys and callers named in the settings.
func newAccess(s *settings.Settings, log zerolog.Logger, counters *metrics.Counters) (*access, error) {
	refused := counters.Counter("handshakes_refused")
	keys, err := identity.Load(s.TLS.Files(), func(error) { refused.Inc(1) })
	if err != nil {
		return nil, err
	}
	closures := eventlog.NewClosures(log, counters)
	a := &access{keys: keys, intake: caller.NewIntake(caller.IntakeOptions{
		Bytes:       s.Entry.RequestMemory(),
		Connections: s.Entry.CallerConnections,
		OnClose:     func(reason caller.IntakeReason, remote net.Addr) { closures.Record(string(reason), remote) },
	})}
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

// maxUnauthorizedBody is the longest body of a request without a known token. It is read so that the
// refusal has the error format and the verdict.
const maxUnauthorizedBody = 64 << 10

// requestLimits returns the limits of a request on the caller port, which depend on its token.
func (a *authorizer) requestLimits(r *http.Request) caller.MessageLimits {
	if r == nil || a.knows(r.Header) {
		return caller.MessageLimits{Body: caller.MaxReadBytes}
	}
	return caller.MessageLimits{Body: maxUnauthorizedBody, Unauthorized: true}
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
		Intake:            e.access.intake,
		Limits:            e.access.authorizer.requestLimits,
		HandlerBytes:      func(_, body []byte) int { return len(body) },
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
