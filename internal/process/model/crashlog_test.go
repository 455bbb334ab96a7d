package model

import (
	"bytes"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// crashLog keeps the log lines of all processes that mention a crash, so that a violation that
// does not repeat can be traced.
type crashLog struct {
	epoch time.Time

	mu    sync.Mutex
	lines []string
}

// Write keeps a log line if it mentions a crash.
func (l *crashLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("crash")) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lines = append(l.lines, string(line))
	}
	return len(line), nil
}

// logger returns the logger of a process.
func (l *crashLog) logger(process string) zerolog.Logger {
	return zerolog.New(l).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Dur("at_ms", time.Since(l.epoch))
	})).With().Str("process", process).Logger()
}

// about returns the lines about a job and those about targets.
func (l *crashLog) about(job string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var about strings.Builder
	for _, line := range l.lines {
		if !strings.Contains(line, `"job":`) || strings.Contains(line, `"job":"`+job+`"`) {
			about.WriteString("\n" + strings.TrimSpace(line))
		}
	}
	return about.String()
}
