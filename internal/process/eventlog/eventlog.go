// Package eventlog writes log lines without ever blocking the process: lines
// wait in a bounded queue and are dropped, and counted, when it is full or when
// the budget of lines a second is used up.
package eventlog

import (
	"io"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that may wait for a slow reader.
	queueLines = 1024
	// linesPerSecond and burstLines bound the volume.
	linesPerSecond = 600
	burstLines     = 1200
)

// Writer is an io.Writer of whole lines. The budget is for lines of the level info
// and below; a request that failed or was refused has its line as a warning.
type Writer struct {
	lines   chan []byte
	budget  *rate.Limiter
	dropped gometrics.Counter
	drained chan struct{}
}

// New returns a writer that passes lines on to out and counts those dropped.
func New(out io.Writer, dropped gometrics.Counter) *Writer {
	w := &Writer{
		lines:   make(chan []byte, queueLines),
		budget:  rate.NewLimiter(linesPerSecond, burstLines),
		dropped: dropped,
		drained: make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write queues a line.
func (w *Writer) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel implements zerolog.LevelWriter.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level < zerolog.WarnLevel && !w.budget.Allow() {
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
		// A reader that has gone must not stop the process.
		_, _ = out.Write(line)
	}
}

// Close writes the lines that wait, for at most the time given. Nothing may be
// written after it.
func (w *Writer) Close(within time.Duration) {
	close(w.lines)
	select {
	case <-w.drained:
	case <-time.After(within):
	}
}
