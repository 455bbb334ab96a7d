package replay_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/bench/replay"
	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
)

// maxFleets limits the fleets that run at once, so that their processes do not starve
// each other.
const maxFleets = 3

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == fleet.NodeCommand {
		os.Exit(daemon.Main(os.Args[2:], os.Stderr))
	}
	os.Exit(m.Run())
}

func TestTracesMeetExpectations(t *testing.T) {
	paths, err := filepath.Glob("../../../testdata/traces/*.jsonl")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	semaphore := make(chan struct{}, maxFleets)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			var out, errs bytes.Buffer
			if status := replay.File(context.Background(), path, &out, &errs); status != 0 {
				t.Errorf("status %d\n%s%s", status, out.String(), errs.String())
			}
		})
	}
}

// TestViolatedExpectationIsReported guards against checks that never fail: a trace with an
// expectation that cannot be met must be reported as violated.
func TestViolatedExpectationIsReported(t *testing.T) {
	data, err := os.ReadFile("../../../testdata/traces/plain.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	data = append(data, `{"expect":"no_starts","data_centre":"nbo1","from_ms":0,"to_ms":2000}`+"\n"...)
	path := filepath.Join(t.TempDir(), "false.jsonl")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if status := replay.File(context.Background(), path, &out, &errs); status != 1 {
		t.Errorf("status %d, want 1\n%s%s", status, out.String(), errs.String())
	}
	if !bytes.Contains(out.Bytes(), []byte("VIOLATION task ticket-1/")) {
		t.Errorf("output does not name the violation:\n%s", out.String())
	}
}

func TestInvalidTraceIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "broken.jsonl")
	if err := os.WriteFile(path, []byte("{\"trace\":\"t\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if status := replay.File(context.Background(), path, &out, &errs); status != 2 {
		t.Errorf("status %d, want 2", status)
	}
	if !bytes.Contains(errs.Bytes(), []byte("line 1")) {
		t.Errorf("error does not name the line: %s", errs.String())
	}
}
