package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment.
const (
	holdMax   = time.Second
	heartbeat = 1500 * time.Millisecond
	tick      = 2 * time.Millisecond
)

// run is one run of a task at a runner.
type run struct {
	task     string
	number   uint64
	job      *job
	step     int
	begun    time.Time
	ends     time.Time
	record   *runRecord
	hangs    bool
	willFail bool
}

// end is a row of the list of ended runs.
type end struct {
	n    uint64
	task string
	run  uint64
	how  string
}

// runner is a stand-in of a runner: one life after the other at one address.
type runner struct {
	world   *world
	name    string
	address string
	agent   string
	zone    string
	guards  bool

	mu       sync.Mutex
	id       string
	lives    int
	labels   []string
	capacity int64
	// shrunkAt is when the capacity was changed last, before the former one.
	shrunkAt time.Time
	before   int64
	up       bool
	dark     bool
	draining bool
	born     int64
	bornAt   time.Time
	token    uint64
	lease    time.Time
	running  map[string]*run
	highest  map[string]uint64
	ends     []end
	endCount uint64
	sequence uint64
	changed  chan struct{}
	server   *http.Server
	// lateShare of the orders gets no answer and is executed 2 to 12 s later.
	lateShare float64
	lateKinds string
	slow      bool
	failing   bool
	rejecting bool
	silentFor time.Time
	// drop is asked for each call: it returns true if the call is executed and not answered.
	drop func(path string) bool
	// delay is asked for each order: one that it returns true for gets no answer, and is executed
	// after the time returned.
	delay func(kind string, o orderBody) (time.Duration, bool)
	// log gets a line for each order, if it is set.
	log func(string)
}

// boot starts the next life under an id.
func (r *runner) boot(id string, labels []string) error {
	if err := r.listen(); err != nil {
		return err
	}
	r.mu.Lock()
	r.beginLocked(id, labels)
	r.mu.Unlock()
	go r.beat()
	return nil
}

func (r *runner) listen() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// beginLocked begins a life that knows nothing of the former one.
func (r *runner) beginLocked(id string, labels []string) {
	r.id, r.labels, r.lives = id, labels, r.lives+1
	r.up, r.draining = true, false
	r.bornAt = time.Now()
	r.born = r.bornAt.UnixMilli()
	r.token, r.lease, r.ends, r.endCount, r.sequence = 0, time.Time{}, nil, 0, 0
	r.running, r.highest = make(map[string]*run), make(map[string]uint64)
	r.changed = make(chan struct{})
}

// crash ends the life without notice.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	server := r.server
	for _, x := range r.running {
		r.finishLocked(x, "lost")
	}
	r.notifyLocked()
	r.mu.Unlock()
	_ = server.Close()
}

func (r *runner) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) clock() int64 { return time.Since(r.bornAt).Milliseconds() + 1000 }

// step ends the runs that are due and those whose lease has expired.
func (r *runner) step(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	expired := len(r.running) > 0 && now.After(r.lease)
	for _, x := range r.running {
		switch {
		case expired:
			r.endLocked(x, "lapsed")
		case !x.hangs && now.After(x.ends):
			how := "done"
			if x.willFail {
				how = "failed"
			}
			r.endLocked(x, how)
		}
	}
}

func (r *runner) endLocked(x *run, how string) {
	r.finishLocked(x, how)
	r.highest[x.task] = max(r.highest[x.task], x.number)
	r.endCount++
	r.ends = append(r.ends, end{r.endCount, x.task, x.number, how})
	r.notifyLocked()
}

func (r *runner) finishLocked(x *run, how string) {
	delete(r.running, runKey(x.task, x.number))
	r.world.ended(x.record, how)
}

func runKey(task string, number uint64) string { return fmt.Sprintf("%s#%d", task, number) }

type orderBody struct {
	Task     string `json:"task"`
	RunID    uint64 `json:"run_id"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	var o orderBody
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expect := q.Header.Get(wire.Incarnation)
	r.mu.Lock()
	rejecting, dark, share := r.rejecting, r.dark || time.Now().Before(r.silentFor), r.lateShare
	kinds := r.lateKinds
	r.mu.Unlock()
	kind := strings.TrimPrefix(q.URL.Path, "/v1/")
	switch {
	case dark:
		<-q.Context().Done()
		return
	case rejecting:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case share > 0 && (kinds == "" || strings.Contains(kinds, kind)) && rand.Float64() < share:
		time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() { r.execute(kind, expect, o, true) })
		<-q.Context().Done()
		return
	}
	if r.delay != nil {
		if after, ok := r.delay(kind, o); ok {
			time.AfterFunc(after, func() { r.execute(kind, expect, o, true) })
			<-q.Context().Done()
			return
		}
	}
	if kind == wire.Poll {
		r.hold(w, q, expect, o)
		return
	}
	status, reason := r.execute(kind, expect, o, false)
	if r.drop != nil && r.drop(kind) {
		<-q.Context().Done()
		return
	}
	r.reply(w, status, reason, nil)
}

func (r *runner) reply(w http.ResponseWriter, status int, reason string, more map[string]any) {
	if status == http.StatusMisdirectedRequest {
		w.WriteHeader(status)
		return
	}
	answer := map[string]any{"clock_ms": r.clock(), "born": r.born}
	if reason != "" {
		answer["reason"] = reason
	}
	for k, v := range more {
		answer[k] = v
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// execute executes an order, and returns the answer.
func (r *runner) execute(kind, expect string, o orderBody, late bool) (int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	status, reason := r.executeLocked(kind, expect, o, late)
	if r.log != nil && kind != wire.Poll {
		r.log(fmt.Sprintf("%s %s run %d token %d until %d at %d late %v: %d %s", kind, o.Task, o.RunID, o.Token, o.UntilMS, r.clock(), late, status, reason))
	}
	return status, reason
}

func (r *runner) executeLocked(kind, expect string, o orderBody, late bool) (int, string) {
	if !r.up || expect != r.id {
		return http.StatusMisdirectedRequest, ""
	}
	if o.Token < r.token {
		return http.StatusConflict, "fence"
	}
	r.token = o.Token
	switch kind {
	case wire.Start:
		return r.startLocked(o, late)
	case wire.Stop:
		r.highest[o.Task] = max(r.highest[o.Task], o.RunID)
		if x := r.running[runKey(o.Task, o.RunID)]; x != nil {
			r.endLocked(x, "stopped")
		}
	case wire.Poll:
		r.renewLocked(o.UntilMS)
		n := 0
		for n < len(r.ends) && r.ends[n].n <= o.LastSeen {
			n++
		}
		r.ends = r.ends[n:]
	}
	return http.StatusOK, ""
}

func (r *runner) renewLocked(untilMS int64) {
	if untilMS == 0 {
		return
	}
	now := time.Now()
	until := now.Add(time.Duration(untilMS-r.clock()) * time.Millisecond)
	if limit := now.Add(holdMax); until.After(limit) {
		until = limit
	}
	if until.After(r.lease) {
		r.lease = until
	}
}

func (r *runner) startLocked(o orderBody, late bool) (int, string) {
	r.renewLocked(o.UntilMS)
	j, step := r.world.taskOf(o.Task)
	switch {
	case r.running[runKey(o.Task, o.RunID)] != nil:
		return http.StatusOK, ""
	case r.highest[o.Task] >= o.RunID:
		return http.StatusConflict, "old"
	case o.UntilMS <= r.clock():
		return http.StatusConflict, "late"
	}
	var need int64
	runTime, fails := 50*time.Millisecond, false
	if j != nil {
		need, runTime = j.steps[step].CPU, j.steps[step].runTime
		fails = r.failing
	}
	if r.slow {
		runTime *= 5
	}
	if r.guards && r.usedLocked()+need > r.capacity {
		return http.StatusConflict, "room"
	}
	now := time.Now()
	x := &run{task: o.Task, number: o.RunID, job: j, step: step, begun: now, ends: now.Add(runTime), willFail: fails}
	r.running[runKey(o.Task, o.RunID)] = x
	x.record = r.world.started(r, x, o.Spec, late)
	return http.StatusOK, ""
}

// roomLocked returns the capacity that counts now: one that has shrunk does after some time.
func (r *runner) roomLocked() int64 {
	if time.Since(r.shrunkAt) < roomBound {
		return max(r.before, r.capacity)
	}
	return r.capacity
}

// resize changes the capacity, which the next status report says.
func (r *runner) resize(capacity int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.before, r.capacity, r.shrunkAt = r.roomLocked(), capacity, time.Now()
}

func (r *runner) usedLocked() int64 {
	var used int64
	for _, x := range r.running {
		if x.job != nil {
			used += x.job.steps[x.step].CPU
		}
	}
	return used
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request, expect string, o orderBody) {
	status, reason := r.execute(wire.Poll, expect, o, false)
	if status != http.StatusOK {
		r.reply(w, status, reason, nil)
		return
	}
	wait := time.After(min(time.Duration(o.WaitMS)*time.Millisecond, 2*time.Second))
	r.mu.Lock()
	for waiting := o.WaitMS > 0; waiting && len(r.ends) == 0 && r.up; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-wait:
			waiting = false
		case <-q.Context().Done():
			waiting = false
		}
		r.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.running {
		total := x.ends.Sub(x.begun)
		percent := int(min(100*time.Since(x.begun)/max(total, 1), 99))
		running = append(running, []any{x.task, x.number, "", percent, 1000})
	}
	for _, e := range r.ends[:min(len(r.ends), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	up := r.up
	r.mu.Unlock()
	if !up {
		return
	}
	if r.drop != nil && r.drop(wire.Poll) {
		<-q.Context().Done()
		return
	}
	r.reply(w, http.StatusOK, "", map[string]any{"running": running, "finished": ended})
}

// beat sends status reports until the life ends.
func (r *runner) beat() {
	r.mu.Lock()
	life := r.lives
	r.mu.Unlock()
	for {
		r.mu.Lock()
		if r.lives != life || !r.up {
			r.mu.Unlock()
			return
		}
		r.sequence++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		dark := r.dark
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": state,
			"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": r.capacity, "mem_mb": 131072, "gpu": 0},
			"labels": r.labels, "clock_ms": r.clock(), "sequence": r.sequence, "born": r.born,
		})
		id := r.id
		r.mu.Unlock()
		acked := false
		if !dark {
			client := http.Client{Timeout: time.Second}
			if response, err := client.Post("http://"+r.agent+"/v1/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body)); err == nil {
				acked = response.StatusCode == http.StatusOK
				_ = response.Body.Close()
			}
		}
		if acked {
			time.Sleep(heartbeat)
		} else {
			time.Sleep(200 * time.Millisecond)
		}
	}
}
