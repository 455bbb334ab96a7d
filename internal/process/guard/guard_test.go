package guard

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
)

func TestPanicEndsOnlyWhatItIsIn(t *testing.T) {
	var log bytes.Buffer
	counters := metrics.New()
	g := Guard{Log: zerolog.New(&log), Counters: counters}
	if g.Run("a link", func() { panic("malformed frame") }) {
		t.Error("a panic counts as a return")
	}
	if !g.Run("a link", func() {}) {
		t.Error("a return counts as a panic")
	}
	if line := log.String(); !strings.Contains(line, "malformed frame") || !strings.Contains(line, "guard_test.go") {
		t.Errorf("logged %s", line)
	}
	if n := counters.Counter("panics").Count(); n != 1 {
		t.Errorf("%d panics counted", n)
	}
}
