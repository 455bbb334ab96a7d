package server

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/platform"
	"github.com/rosemarybay/rosemarybay/platform/standin"
)

// An entry that is stopping must keep its registration until its jobs have ended, since agents
// start no tasks for one that is not registered, and must not leave it behind.
func TestStoppingEntryIsRegisteredUntilItsJobsHaveEnded(t *testing.T) {
	level := zerolog.GlobalLevel()
	t.Cleanup(func() { zerolog.SetGlobalLevel(level) })
	kv := standin.NewStore()
	server := httptest.NewServer(kv)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	p, err := New(&settings.Settings{
		Role: settings.RoleEntry, Name: "e", DataCentre: "z1", LogLevel: "error", StopTimeout: settings.Duration(6 * time.Second),
		Node: &settings.Node{IP: "127.0.0.1", CallerListen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", PeerAdvertise: "127.0.0.1:1",
			Store: address, TargetLease: settings.Duration(time.Second), MemoryMB: 1000},
	})
	if err != nil {
		t.Fatal(err)
	}
	client := platform.NewStore(address, "127.0.0.1")
	isRegistered := func() bool {
		v, err := client.Get(t.Context(), entryKeyPrefix+"e")
		return err == nil && v != nil
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		p.Run(stop)
	}()
	eventually(t, "the registration", isRegistered)
	close(stop)
	for begun := time.Now(); time.Since(begun) < acceptAfterStop-300*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		if !isRegistered() {
			t.Fatalf("not registered %v after the stop began", time.Since(begun))
		}
	}
	<-stopped
	if isRegistered() {
		t.Error("registered after the process has stopped")
	}
}
