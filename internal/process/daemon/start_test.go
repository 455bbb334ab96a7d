package daemon

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// anyPort is a loopback address with a port chosen by the operating system.
const anyPort = "127.0.0.1:0"

func newSettings(t *testing.T, role settings.Role) *settings.Settings {
	t.Helper()
	ca, err := identity.NewCA("test")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := identity.NewNodeCertificate(ca, identity.Identity{Name: "n1", Role: string(role), DataCentre: "nbo1"})
	if err != nil {
		t.Fatal(err)
	}
	return &settings.Settings{
		Role:       role,
		Name:       "n1",
		DataCentre: "nbo1",
		TLS:        settings.TLS{CA: ca.Cert, Cert: pair.Cert, Key: pair.Key},
	}
}

func newEntry(t *testing.T, callers, peers string) *settings.Settings {
	s := newSettings(t, settings.RoleEntry)
	s.Entry = &settings.Entry{CallerListen: callers, PeerListen: peers, StoreURL: "http://127.0.0.1:1"}
	return s
}

func newAgent(t *testing.T, status string) *settings.Settings {
	s := newSettings(t, settings.RoleAgent)
	s.Agent = &settings.Agent{
		Entries:      []string{"127.0.0.1:1"},
		StatusListen: status,
		Target:       settings.Target{Name: "t1", Rack: "a", URL: "http://127.0.0.1:1", Slots: 1, CPUs: 1, MemoryMB: 1},
	}
	return s
}

// run starts the daemon with s and returns its exit status and its error output.
func run(t *testing.T, s *settings.Settings) (int, string) {
	t.Helper()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	var stderr bytes.Buffer
	return Main([]string{"-settings", path}, &stderr), stderr.String()
}

func TestPortInUseFailsStart(t *testing.T) {
	tcp, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = udp.Close() }()
	for name, s := range map[string]*settings.Settings{
		"callers": newEntry(t, tcp.Addr().String(), anyPort),
		"peers":   newEntry(t, anyPort, udp.LocalAddr().String()),
		"status":  newAgent(t, tcp.Addr().String()),
	} {
		t.Run(name, func(t *testing.T) {
			status, out := run(t, s)
			if status != exitStartFailed || strings.Count(out, "\n") != 1 || !strings.Contains(out, "address already in use") {
				t.Errorf("status %d, output %q", status, out)
			}
		})
	}
}

func TestUnreadableKeyFailsStart(t *testing.T) {
	s := newAgent(t, anyPort)
	s.TLS.Key = filepath.Join(t.TempDir(), "absent.key")
	status, out := run(t, s)
	if status != exitStartFailed || strings.Count(out, "\n") != 1 || !strings.Contains(out, "absent.key") {
		t.Errorf("status %d, output %q", status, out)
	}
}
