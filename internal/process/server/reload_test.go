package server

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// SIGHUP logged that the settings were reloaded and applied none of them.
func TestReloadAppliesWhatCanChange(t *testing.T) {
	var log bytes.Buffer
	running := &settings.Settings{
		Role:        settings.RoleAgent,
		LogLevel:    "info",
		StopTimeout: settings.Duration(6 * time.Second),
		Node:        &settings.Node{IP: "127.0.0.1", MemoryMB: 100, Seeds: "10.0.0.1:1"},
	}
	p := &Server{settings: running, node: running.Node, live: liveSettingsOf(running), log: zerolog.New(&log)}
	defer zerolog.SetGlobalLevel(zerolog.GlobalLevel())
	changed := *running
	node := *running.Node
	changed.Node = &node
	changed.LogLevel, changed.StopTimeout, node.Seeds = "debug", settings.Duration(9*time.Second), "10.0.0.2:1"
	applied, err := p.apply(&changed)
	if err != nil || !slices.Equal(applied, []string{"log_level", "stop_timeout"}) {
		t.Errorf("applied %v, error %v", applied, err)
	}
	if got := p.stopTimeout().Std(); got != 9*time.Second || zerolog.GlobalLevel() != zerolog.DebugLevel {
		t.Errorf("stop timeout %v, log level %v", got, zerolog.GlobalLevel())
	}
	if pending := p.pendingChanges(&changed); !slices.Equal(pending, []string{"node.seeds"}) {
		t.Errorf("pending changes %v", pending)
	}
	if err := p.Reload(&changed); err != nil || !bytes.Contains(log.Bytes(), []byte(`"at_next_start":["node.seeds"]`)) {
		t.Errorf("error %v, log %s", err, &log)
	}
	node.IP = "127.0.0.2"
	if err := p.Reload(&changed); err == nil {
		t.Error("a change of the address was accepted")
	}
}
