package server

import (
	"reflect"
	"runtime/debug"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// Reload applies the settings that can change while the process runs: log_level,
// stop_timeout and node.memory_mb. It logs the names of those that it has applied, and of
// changed ones that take effect at the next start.
func (p *Server) Reload(s *settings.Settings) error {
	if s.Node == nil || s.Role != p.settings.Role || s.Node.IP != p.node.IP {
		return eris.New("role and addresses cannot change without a restart")
	}
	applied, err := p.apply(s)
	if err != nil {
		return err
	}
	p.log.Info().Strs("applied", applied).Strs("at_next_start", p.pendingChanges(s)).Msg("settings reloaded")
	return nil
}

// apply puts the settings that can change into force and returns the names of those that
// have changed.
func (p *Server) apply(s *settings.Settings) (applied []string, err error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "parse log level")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.LogLevel != p.live.LogLevel {
		zerolog.SetGlobalLevel(level)
		applied = append(applied, "log_level")
	}
	if s.StopTimeout != p.live.StopTimeout {
		applied = append(applied, "stop_timeout")
	}
	if s.Node.MemoryMB != p.live.MemoryMB {
		debug.SetMemoryLimit(settings.HeapLimit(s.Node.MemoryMB))
		applied = append(applied, "node.memory_mb")
	}
	p.live = liveSettingsOf(s)
	return applied, nil
}

// liveSettings are the settings that can change while the process runs.
type liveSettings struct {
	LogLevel    string
	StopTimeout settings.Duration
	MemoryMB    int
}

func liveSettingsOf(s *settings.Settings) liveSettings {
	return liveSettings{LogLevel: s.LogLevel, StopTimeout: s.StopTimeout, MemoryMB: s.Node.MemoryMB}
}

// stopTimeout returns the time of a planned stop that is in force.
func (p *Server) stopTimeout() settings.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.live.StopTimeout
}

// pendingChanges returns the names of the node's settings that differ from those at the
// start and that Reload does not apply.
func (p *Server) pendingChanges(s *settings.Settings) []string {
	var names []string
	running, changed := reflect.ValueOf(*p.node), reflect.ValueOf(*s.Node)
	for i := range running.NumField() {
		name, _, _ := strings.Cut(running.Type().Field(i).Tag.Get("json"), ",")
		if name != "memory_mb" && !running.Field(i).Equal(changed.Field(i)) {
			names = append(names, "node."+name)
		}
	}
	return names
}
