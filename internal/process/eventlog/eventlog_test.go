package eventlog

import (
	"bytes"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

func (s blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	s := blockedOutput{release: make(chan struct{})}
	defer close(s.release)
	dropped := gometrics.NewCounter()
	w := New(s, dropped)
	log := zerolog.New(w)
	done := make(chan struct{})
	go func() {
		for range 10 * maxQueuedLines {
			log.Error().Msg("x")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("log calls were blocked by an output that accepts no lines")
	}
	if dropped.Count() == 0 {
		t.Error("no dropped line was counted")
	}
}

// lockedBuffer is an output that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func TestLogLinesAreRateLimited(t *testing.T) {
	var out lockedBuffer
	dropped := gometrics.NewCounter()
	w := New(&out, dropped)
	log := zerolog.New(w)
	for i := range 4 * burstLines {
		log.Info().Int("i", i).Msg("x")
		if i%(maxQueuedLines/2) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	w.Close(time.Second)
	lines := int64(bytes.Count(out.b.Bytes(), []byte("\n")))
	if lines+dropped.Count() != 4*burstLines {
		t.Errorf("%d lines written and %d dropped, of %d", lines, dropped.Count(), 4*burstLines)
	}
	if lines > 2*burstLines {
		t.Errorf("%d lines written, the rate limit allows about %d", lines, burstLines)
	}
}
