// Package runtarget is a state machine of a target that runs tasks under a lease, for tests
// and stand-ins. It answers each order by the rules of the users' platform, also one that is
// repeated or late, and can execute a call without an answer or answer it badly.
package runtarget

import (
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// maxEndsInReport is the number of ended runs in one report; the others follow in later ones.
const maxEndsInReport = 500

// Options configure a target. The functions are optional. They are called while the target is
// locked, and must not call it.
type Options struct {
	// Capacity is what its runs may use together; a resource of 0 has no limit.
	Capacity task.Resources
	// MaxLease is the longest lease that the target grants; a longer one is shortened.
	MaxLease time.Duration
	// Drift is the fraction by which a lease lasts longer on the target's clock.
	Drift float64
	// AcceptsExpiredOrders lets a start whose own lease has expired run under the valid lease
	// of the other runs.
	AcceptsExpiredOrders bool

	Started func(peer.Start)
	Ended   func(task.Attempt, peer.Outcome)
	// Acknowledged is called once the agent has seen the end of a run.
	Acknowledged func(task.Attempt)
	// Renewed is called for each poll that renews the lease.
	Renewed func()
}

// Target is a target of which one incarnation after the other runs. It is safe for concurrent
// use.
type Target struct {
	options Options

	mu sync.Mutex
	id string
	// incarnation distinguishes the restarts, also those with the same ID.
	incarnation int64
	// up is set while an incarnation runs. While none does, refuses is set if the address
	// refuses connections, and calls get no answer otherwise.
	up, refuses bool
	bootedAt    time.Time
	// token is the highest fencing token seen.
	token uint64
	// leaseUntil is the end of the lease on all runs, on the target's clock.
	leaseUntil time.Duration
	expiry     *time.Timer
	running    map[task.Attempt]Run
	used       task.Resources
	// highest is the highest run of each task that was stopped or has ended.
	highest  map[task.Key]uint64
	ended    []End
	endCount uint64
	// changed is closed and replaced whenever a run or the incarnation ends.
	changed chan struct{}

	windows  []*window
	scripted map[Kind][]Fault
	calls    map[callKey]uint64
}

// Run is a run in progress.
type Run struct {
	Start peer.Start
	Began time.Time
}

// End is the end of a run.
type End struct {
	// Number counts the ended runs of an incarnation, starting at 1.
	Number  uint64
	Attempt task.Attempt
	Outcome peer.Outcome
}

// New returns a target that is down until Boot is called.
func New(o Options) *Target {
	return &Target{options: o, changed: make(chan struct{}), scripted: make(map[Kind][]Fault), calls: make(map[callKey]uint64)}
}

// Boot starts the next incarnation, after a crash of the present one if there is any. It knows
// nothing of earlier ones, and its clock begins anew.
func (t *Target) Boot(id string, incarnation int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashLocked()
	t.up, t.refuses, t.id, t.incarnation, t.bootedAt = true, false, id, incarnation, time.Now()
	t.token, t.leaseUntil, t.endCount, t.ended = 0, 0, 0, nil
	t.running, t.highest = make(map[task.Attempt]Run), make(map[task.Key]uint64)
}

// Crash ends the present incarnation and its runs without notice. If refuses is set, the
// address refuses connections until the next one boots; otherwise calls are not answered.
func (t *Target) Crash(refuses bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashLocked()
	t.refuses = refuses
}

func (t *Target) crashLocked() {
	for a := range t.running {
		t.removeLocked(a, peer.OutcomeLost)
	}
	t.up = false
	t.notifyLocked()
}

// IsRunning reports whether an attempt runs.
func (t *Target) IsRunning(a task.Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.running[a]
	return ok
}

// Runs returns the runs in progress.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runsLocked()
}

// Force starts a run whatever the rules say, under the longest lease.
func (t *Target) Force(s peer.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewLocked(t.clockLocked() + t.options.MaxLease)
	t.beginLocked(s)
}

// End ends a run, if it is in progress. It reports whether it was.
func (t *Target) End(a task.Attempt, outcome peer.Outcome) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endLocked(a, outcome)
}

// Clock returns the target's clock, which begins at 0 with each incarnation.
func (t *Target) Clock() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clockLocked()
}

func (t *Target) clockLocked() time.Duration {
	return time.Duration(float64(time.Since(t.bootedAt)) / (1 + t.options.Drift))
}

func (t *Target) runsLocked() []Run {
	var list []Run
	for _, r := range t.running {
		list = append(list, r)
	}
	return list
}

func (t *Target) endLocked(a task.Attempt, outcome peer.Outcome) bool {
	if !t.removeLocked(a, outcome) {
		return false
	}
	t.highest[a.Key] = max(t.highest[a.Key], a.Run)
	t.endCount++
	t.ended = append(t.ended, End{Number: t.endCount, Attempt: a, Outcome: outcome})
	t.notifyLocked()
	return true
}

func (t *Target) removeLocked(a task.Attempt, outcome peer.Outcome) bool {
	r, ok := t.running[a]
	if !ok {
		return false
	}
	delete(t.running, a)
	t.used = t.used.Sub(r.Start.Need)
	if t.options.Ended != nil {
		t.options.Ended(a, outcome)
	}
	return true
}

func (t *Target) notifyLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// renewLocked extends the lease on all runs. It is never shortened.
func (t *Target) renewLocked(until time.Duration) {
	until = min(until, t.clockLocked()+t.options.MaxLease)
	if until <= t.leaseUntil {
		return
	}
	t.leaseUntil = until
	t.watchLeaseLocked()
}

// watchLeaseLocked has expire called when the lease ends.
func (t *Target) watchLeaseLocked() {
	if t.expiry != nil {
		t.expiry.Stop()
	}
	left := t.leaseUntil - t.clockLocked()
	t.expiry = time.AfterFunc(time.Duration(float64(left)*(1+t.options.Drift))+1, t.expire)
}

// expire ends all runs if the lease has expired, or waits for its end.
func (t *Target) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clockLocked() < t.leaseUntil {
		t.watchLeaseLocked()
		return
	}
	for a := range t.running {
		t.endLocked(a, peer.OutcomeLost)
	}
}
