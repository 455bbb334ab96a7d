package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxLease is the longest lease that a target accepts for its runs.
	maxLease = time.Second
	// stopTime is how long the stop of a run takes.
	stopTime = 10 * time.Millisecond
	// announceInterval is the time between two announcements.
	announceInterval  = 1500 * time.Millisecond
	leaseScanInterval = time.Millisecond
	targetCPU         = 32000
	// taskCPU is what each task needs, in thousandths of a core.
	taskCPU = 3100
)

// target is a sound target as the pages describe it.
type target struct {
	id, zone, address, agent string
	record                   *record
	boot                     time.Time

	mu       sync.Mutex
	sequence uint64
	token    uint64
	// until is the end of the lease of all runs, in time since boot.
	until time.Duration
	runs  map[string]*activeRun // by task
	// highest is the highest run of each task that was stopped or has ended here.
	highest map[string]uint64
	ends    []end
	lastEnd uint64
	// changed is closed and replaced at each end.
	changed chan struct{}
	// dark is set while the target is down and silent.
	dark bool
	// lateAt is not zero if the next start order is left without an answer and carried out at
	// that time.
	lateAt time.Time
}

type activeRun struct {
	*run
	total    time.Duration
	begun    time.Time
	stopping bool
	timer    *time.Timer
}

type end struct {
	number uint64
	task   string
	run    uint64
	how    string
}

func newTarget(id, zone, address, agent string, r *record) *target {
	return &target{
		id: id, zone: zone, address: address, agent: agent, record: r, boot: time.Now(),
		runs: make(map[string]*activeRun), highest: make(map[string]uint64), changed: make(chan struct{}),
	}
}

func (t *target) clockLocked() time.Duration { return time.Since(t.boot) }

// serve ends expired leases and sends announcements until done is closed.
func (t *target) serve(done <-chan struct{}) {
	scan, announce := time.NewTicker(leaseScanInterval), time.NewTicker(announceInterval)
	defer scan.Stop()
	defer announce.Stop()
	go t.announce()
	for {
		select {
		case <-done:
			return
		case <-scan.C:
			t.expire()
		case <-announce.C:
			go t.announce()
		}
	}
}

func (t *target) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clockLocked() < t.until {
		return
	}
	for task, r := range t.runs {
		t.endLocked(task, r, "lapsed")
	}
}

// announce sends one announcement to the agent. A failed one is ignored: the next follows.
func (t *target) announce() {
	t.mu.Lock()
	if t.dark {
		t.mu.Unlock()
		return
	}
	t.sequence++
	body, err := json.Marshal(map[string]any{
		"service": "desk", "address": t.address, "zone": t.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": targetCPU, "mem_mb": 131072, "gpu": 0},
		"labels": []string{"a", "r1"}, "clock_ms": t.clockLocked().Milliseconds(), "sequence": t.sequence, "born": t.boot.UnixMilli(),
	})
	t.mu.Unlock()
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+t.agent+fmt.Sprintf(wire.AnnouncePath, t.id), "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

type targetRequest struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run_id"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// ServeHTTP handles one call of the agent.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request targetRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if t.leavesUnanswered(r.URL.Path, request) {
		<-r.Context().Done()
		return
	}
	if id := r.Header.Get(wire.ExpectedIncarnationHeader); id != "" && id != t.id {
		t.reply(w, http.StatusMisdirectedRequest, nil)
		return
	}
	if !t.accepts(request.Token) {
		t.refuse(w, "fence")
		return
	}
	switch r.URL.Path {
	case wire.StartPath:
		t.start(w, request)
	case wire.StopPath:
		t.stop(w, request)
	case wire.PollPath:
		t.poll(w, r, request)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// leavesUnanswered reports whether a call gets no answer, since the target is down or the order
// is carried out late.
func (t *target) leavesUnanswered(path string, request targetRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dark {
		return true
	}
	if t.lateAt.IsZero() || path != wire.StartPath {
		return false
	}
	t.record.addf("%s leaves the order to start task %s, run %d without an answer", t.id, request.Task, request.Run)
	time.AfterFunc(time.Until(t.lateAt), func() { t.carryOutLate(request) })
	t.lateAt = time.Time{}
	return true
}

// carryOutLate carries out a start order at the incarnation that is up now: both have the same ID.
func (t *target) carryOutLate(request targetRequest) {
	reason := "fence"
	if t.accepts(request.Token) {
		reason = t.startRefusal(request)
	}
	if reason == "" {
		reason = "done"
	}
	t.record.addf("%s carries out the late order for task %s, run %d: %s", t.id, request.Task, request.Run, reason)
}

// crash ends all runs and lets the target be silent for a time. It is then up again under the
// same ID, without state, and announces itself.
func (t *target) crash(dark time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dark = true
	t.record.addf("%s crashes", t.id)
	for task, r := range t.runs {
		t.endLocked(task, r, "crashed")
	}
	time.AfterFunc(dark, t.restart)
}

func (t *target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.boot, t.dark = time.Now(), false
	t.sequence, t.token, t.until, t.lastEnd = 0, 0, 0, 0
	t.runs, t.highest, t.ends = make(map[string]*activeRun), make(map[string]uint64), nil
	t.record.addf("%s is up again", t.id)
	go t.announce()
}

// accepts reports whether a fencing token is not lower than the highest one seen.
func (t *target) accepts(token uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if token < t.token {
		return false
	}
	t.token = token
	return true
}

func (t *target) reply(w http.ResponseWriter, status int, fields map[string]any) {
	t.mu.Lock()
	body := map[string]any{"clock_ms": t.clockLocked().Milliseconds(), "born": t.boot.UnixMilli()}
	t.mu.Unlock()
	for name, value := range fields {
		body[name] = value
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (t *target) refuse(w http.ResponseWriter, reason string) {
	t.reply(w, http.StatusConflict, map[string]any{"reason": reason})
}

// renewLocked extends the lease of all runs. It is never shortened.
func (t *target) renewLocked(untilMS int64) {
	until := time.Duration(untilMS) * time.Millisecond
	t.until = max(t.until, min(until, t.clockLocked()+maxLease))
}

func (t *target) start(w http.ResponseWriter, request targetRequest) {
	if reason := t.startRefusal(request); reason != "" {
		t.refuse(w, reason)
		return
	}
	t.reply(w, http.StatusOK, nil)
}

// startRefusal starts a run, or returns the reason why it does not.
func (t *target) startRefusal(request targetRequest) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Duration(request.UntilMS)*time.Millisecond <= t.clockLocked() {
		return "late"
	}
	t.renewLocked(request.UntilMS)
	present := t.runs[request.Task]
	switch {
	case present != nil && present.number == request.Run:
		return ""
	case request.Run <= t.highest[request.Task], present != nil && request.Run < present.number:
		return "old"
	case present != nil, (len(t.runs)+1)*taskCPU > targetCPU:
		return "room"
	}
	ms, err := strconv.Atoi(request.Spec)
	if err != nil {
		ms = 100
	}
	started := &activeRun{
		run:   t.record.started(request.Task, request.Run, t.id),
		total: time.Duration(ms) * time.Millisecond,
		begun: time.Now(),
	}
	started.timer = time.AfterFunc(started.total, func() { t.end(request.Task, started, "done") })
	t.runs[request.Task] = started
	return ""
}

func (t *target) stop(w http.ResponseWriter, request targetRequest) {
	t.mu.Lock()
	t.highest[request.Task] = max(t.highest[request.Task], request.Run)
	present := t.runs[request.Task]
	if present != nil && present.number == request.Run && !present.stopping {
		present.stopping = true
		time.AfterFunc(stopTime, func() { t.end(request.Task, present, "stopped") })
	}
	t.mu.Unlock()
	t.reply(w, http.StatusOK, nil)
}

func (t *target) end(task string, r *activeRun, how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endLocked(task, r, how)
}

func (t *target) endLocked(task string, r *activeRun, how string) {
	if t.runs[task] != r {
		return
	}
	r.timer.Stop()
	delete(t.runs, task)
	t.highest[task] = max(t.highest[task], r.number)
	t.lastEnd++
	t.ends = append(t.ends, end{number: t.lastEnd, task: task, run: r.number, how: how})
	t.record.ended(r.run, how)
	close(t.changed)
	t.changed = make(chan struct{})
}

// poll renews the lease, forgets the ends that the agent has processed, and lists the others
// and the active runs. It waits for an end if there is none.
func (t *target) poll(w http.ResponseWriter, r *http.Request, request targetRequest) {
	t.mu.Lock()
	if request.UntilMS > 0 {
		t.renewLocked(request.UntilMS)
	}
	for len(t.ends) > 0 && t.ends[0].number <= request.LastSeen {
		t.ends = t.ends[1:]
	}
	waiting, changed, boot := len(t.ends) == 0, t.changed, t.boot
	t.mu.Unlock()
	if waiting && request.WaitMS > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(request.WaitMS) * time.Millisecond):
		}
	}
	if !t.isUp(boot) {
		<-r.Context().Done() // the target crashed while the call was waiting
		return
	}
	t.reply(w, http.StatusOK, t.lists())
}

// isUp reports whether the incarnation that booted at a time is still up.
func (t *target) isUp(boot time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.dark && t.boot.Equal(boot)
}

func (t *target) lists() map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for task, r := range t.runs {
		percent := min(99, int(100*time.Since(r.begun)/r.total))
		running = append(running, []any{task, r.number, "", percent, taskCPU})
	}
	for _, e := range t.ends {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"running": running, "finished": finished}
}
