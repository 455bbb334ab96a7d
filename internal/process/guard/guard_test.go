package guard

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
)

func TestRunRecoversLogsAndCountsPanic(t *testing.T) {
	var log bytes.Buffer
	counters := metrics.New()
	g := Guard{Log: zerolog.New(&log), Counters: counters}
	if g.Run("a link", func() { panic("malformed frame") }) {
		t.Error("Run returned true after a panic")
	}
	if !g.Run("a link", func() {}) {
		t.Error("Run returned false without a panic")
	}
	if line := log.String(); !strings.Contains(line, "malformed frame") || !strings.Contains(line, "guard_test.go") {
		t.Errorf("log lacks the cause or the stack trace: %s", line)
	}
	if n := counters.Counter("panics").Count(); n != 1 {
		t.Errorf("counter panics is %d, want 1", n)
	}
}
