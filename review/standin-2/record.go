package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the seconds since the start.
type record struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{begun: time.Now(), file: file}, err
}

// at returns a time as it is written in the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.begun).Seconds()) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%s "+format+"\n", append([]any{r.at(time.Now())}, args...)...)
}
