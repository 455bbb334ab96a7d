// Package eventlog writes log lines without blocking the process. Lines wait in a bounded
// queue. They are dropped and counted when the queue is full or the rate limit is exceeded.
package eventlog

import (
	"io"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the largest number of lines that wait for a slow output.
	maxQueuedLines = 1024
	// linesPerSecond and burstLines are the rate limit.
	linesPerSecond = 600
	burstLines     = 1200
)

// Writer is an io.Writer that expects one whole line per call. Only lines of level info and
// below are rate-limited, so that the lines of failed and refused requests, which are
// warnings, are kept.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped gometrics.Counter
	drained chan struct{}
}

// New returns a writer to out. It counts dropped lines in dropped.
func New(out io.Writer, dropped gometrics.Counter) *Writer {
	w := &Writer{
		lines:   make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		dropped: dropped,
		drained: make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write queues a line at level info.
func (w *Writer) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel implements zerolog.LevelWriter.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level < zerolog.WarnLevel && !w.limiter.Allow() {
		w.dropped.Inc(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Inc(1)
	}
	return len(line), nil
}

func (w *Writer) run(out io.Writer) {
	defer close(w.drained)
	for line := range w.lines {
		// A closed output must not stop the process.
		_, _ = out.Write(line)
	}
}

// Close writes the queued lines, for at most the time given. No line may be written after
// Close is called.
func (w *Writer) Close(within time.Duration) {
	close(w.lines)
	select {
	case <-w.drained:
	case <-time.After(within):
	}
}
