// Package target simulates a back end: it sleeps for a task's run time, records each start
// and injects faults.
package target

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Payload is the payload of a task for a simulated target.
type Payload struct {
	// Task is the task's name, unique in the whole benchmark run.
	Task string `json:"task"`
	// RunMS is the actual run time in milliseconds.
	RunMS int `json:"run_ms"`
}

// Mode is an injected fault of a target, or OK.
type Mode string

// The modes. Hang keeps each request open without a response.
const (
	OK      Mode = ""
	FailAll Mode = "fail_all"
	Slow    Mode = "slow"
	Hang    Mode = "hang"
)

// Start records one start of a task.
type Start struct {
	Task       string
	Target     string
	DataCentre string
	Department string
	Owner      string
	At         time.Time
	// Finished is set when the target has sent the task's complete response.
	Finished bool
}

// Ledger records the starts at all simulated targets of a benchmark run.
type Ledger struct {
	mu     sync.Mutex
	starts []*Start
}

// add records a start that begins now.
func (l *Ledger) add(s *Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.At = time.Now()
	l.starts = append(l.starts, s)
}

func (l *Ledger) finish(s *Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Finished = true
}

// Starts returns a copy of all starts so far.
func (l *Ledger) Starts() []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Start, len(l.starts))
	for i, s := range l.starts {
		out[i] = *s
	}
	return out
}

// Target is one simulated target. It is an http.Handler.
type Target struct {
	name       string
	dataCentre string
	ledger     *Ledger

	mu        sync.Mutex
	mode      Mode
	factor    float64
	callFault func() CallFault
}

// New returns a target that records its starts in ledger.
func New(name, dataCentre string, ledger *Ledger) *Target {
	return &Target{name: name, dataCentre: dataCentre, ledger: ledger}
}

// SetFault sets the fault. In mode Slow, run times are multiplied by factor.
func (t *Target) SetFault(mode Mode, factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode, t.factor = mode, factor
}

func (t *Target) fault() (Mode, float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mode, t.factor
}

// ServeHTTP runs one task. The response contains the payload's task name, so that a caller
// can check that it received the response of its own task.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "read body", http.StatusBadRequest)
		return
	}
	var payload Payload
	if err := json.Unmarshal(body, &payload); err != nil {
		http.Error(w, "payload is not JSON", http.StatusBadRequest)
		return
	}
	start := &Start{
		Task:       payload.Task,
		Target:     t.name,
		DataCentre: t.dataCentre,
		Department: r.Header.Get("Rosemarybay-Department"),
		Owner:      r.Header.Get("Rosemarybay-Owner"),
	}
	if fault := t.nextCallFault(); fault != Answered {
		t.serveFaulty(w, r, start, fault)
		return
	}
	t.ledger.add(start)
	run := time.Duration(payload.RunMS) * time.Millisecond
	switch mode, factor := t.fault(); mode {
	case FailAll:
		http.Error(w, "task failed", http.StatusInternalServerError)
		return
	case Hang:
		<-r.Context().Done()
		return
	case Slow:
		run = time.Duration(float64(run) * factor)
	}
	select {
	case <-time.After(run):
	case <-r.Context().Done():
		return
	}
	if _, err := w.Write([]byte(payload.Task)); err == nil {
		t.ledger.finish(start)
	}
}
