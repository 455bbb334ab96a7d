package chaos_test

import (
	"bytes"
	"context"
	"os"
	"testing"

	"github.com/rosemarybay/rosemarybay/internal/bench/chaos"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
)

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == fleet.NodeCommand {
		os.Exit(daemon.Main(os.Args[2:], os.Stderr))
	}
	os.Exit(m.Run())
}

// Guards against lost or false answers and duplicate starts while nodes are killed, paused,
// restarted and partitioned.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	var out bytes.Buffer
	ok, err := chaos.Run(context.Background(), chaos.Options{Jobs: 1500, Seed: 7}, &out)
	if err != nil || !ok {
		t.Errorf("%v\n%s", err, out.String())
	}
}
