package eventlog

import (
	"bytes"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// stuck is a reader that never reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestLogNeverBlocks(t *testing.T) {
	s := stuck{release: make(chan struct{})}
	defer close(s.release)
	dropped := gometrics.NewCounter()
	w := New(s, dropped)
	log := zerolog.New(w)
	done := make(chan struct{})
	go func() {
		for range 10 * queueLines {
			log.Error().Msg("x")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("blocked by a reader that does not read")
	}
	if dropped.Count() == 0 {
		t.Error("no dropped line was counted")
	}
}

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func TestLogKeepsToItsBudget(t *testing.T) {
	var out buffer
	dropped := gometrics.NewCounter()
	w := New(&out, dropped)
	log := zerolog.New(w)
	for i := range 4 * burstLines {
		log.Info().Int("i", i).Msg("x")
		if i%(queueLines/2) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	w.Close(time.Second)
	lines := int64(bytes.Count(out.b.Bytes(), []byte("\n")))
	if lines+dropped.Count() != 4*burstLines {
		t.Errorf("%d lines written and %d dropped, of %d", lines, dropped.Count(), 4*burstLines)
	}
	if lines > 2*burstLines {
		t.Errorf("%d lines written, the budget is about %d", lines, burstLines)
	}
}
