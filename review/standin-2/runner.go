package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/platform/standin"
)

// Delay of an order that is carried out late, as the kind applied_late has it at least, and
// the longest one used here; that kind goes up to 12 s.
const (
	minLateness = 2 * time.Second
	maxLateness = 3 * time.Second
)

// maxHeldTasks is the number of tasks whose start orders are held back.
const maxHeldTasks = 2

// runner is the project's stand-in for a runner, in front of which orders may be held back
// without an answer, and which may lose power.
type runner struct {
	*standin.Target
	fleet *fleet
	id    string

	mu sync.Mutex
	// holdsBack is set while the start orders of some tasks get no answer and are carried out
	// late; heldTasks are these tasks, the first ones that are ordered meanwhile.
	holdsBack bool
	heldTasks map[string]bool
	// dark is set while the runner has no power.
	dark bool
	// starts counts the start orders, heldBack those of them that were held back.
	starts, heldBack int
}

func newRunner(f *fleet, i int) (*runner, error) {
	address := f.address(sideNet, i, appPort)
	r := &runner{fleet: f, id: fmt.Sprintf("i-%d", i+1), heldTasks: make(map[string]bool)}
	r.Target = standin.NewTarget(standin.TargetOptions{
		ID: r.id, Zone: zone(i), Service: service, Address: address, CPU: runnerCPU, Ledger: f.ledger,
		Agent: f.address(sideNet, i, controlPort),
	})
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, r) }()
	go r.Run(f.done)
	return r, nil
}

// ServeHTTP answers a call, holds it back, or leaves it without an answer.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	isStart := strings.HasSuffix(q.URL.Path, "start")
	r.mu.Lock()
	dark, late := r.dark, isStart && r.holdsBackLocked(body)
	if isStart {
		r.starts++
	}
	if late {
		r.heldBack++
	}
	r.mu.Unlock()
	switch {
	case dark:
	case late:
		go r.carryOutLate(q.Clone(context.Background()), body)
	default:
		q.Body = io.NopCloser(bytes.NewReader(body))
		r.Target.ServeHTTP(w, q)
		return
	}
	<-q.Context().Done()
	panic(http.ErrAbortHandler)
}

// holdsBackLocked reports whether a start order is held back. Of the first maxHeldTasks tasks, all
// orders are.
func (r *runner) holdsBackLocked(body []byte) bool {
	var order struct {
		Task string `json:"task"`
	}
	if !r.holdsBack || json.Unmarshal(body, &order) != nil {
		return false
	}
	if len(r.heldTasks) < maxHeldTasks {
		r.heldTasks[order.Task] = true
	}
	return r.heldTasks[order.Task]
}

// carryOutLate carries an order out some seconds later, if the runner has power then. Nobody
// gets the answer.
func (r *runner) carryOutLate(q *http.Request, body []byte) {
	time.Sleep(minLateness + rand.N(maxLateness-minLateness))
	r.mu.Lock()
	dark := r.dark
	r.mu.Unlock()
	if dark {
		r.fleet.add("runner %s: late order lost, no power", r.id)
		return
	}
	q.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	r.Target.ServeHTTP(answer, q)
	r.fleet.add("runner %s: late order carried out: %s -> %d %s", r.id, body, answer.Code, strings.TrimSpace(answer.Body.String()))
}

func (r *runner) setHoldsBack(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdsBack = on
}

// losePower ends all runs; nothing answers until regainPower.
func (r *runner) losePower() {
	r.mu.Lock()
	r.dark = true
	r.mu.Unlock()
	r.SetFault(standin.TargetSilent)
	r.Restart()
}

// regainPower begins a new lifetime under the same ID, which knows nothing of before.
func (r *runner) regainPower() {
	r.Restart()
	r.SetFault(standin.TargetHealthy)
	r.mu.Lock()
	r.dark = false
	r.mu.Unlock()
}
