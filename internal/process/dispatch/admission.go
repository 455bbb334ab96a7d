package dispatch

import (
	"math"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const (
	// maxWaitShare is the share of the time to its deadline that a job is
	// expected to wait at most.
	maxWaitShare = 0.5
	// minRetryAfter is the least time to come back that a refusal names.
	minRetryAfter = 50 * time.Millisecond
	// paceWindow is the time with a backlog over which starts are averaged.
	paceWindow = time.Second
	// minPaceAge is the least such time over which a rate is known.
	minPaceAge = 250 * time.Millisecond
)

// admit checks the tasks of one job. Its errors are NotRun.
func (d *Dispatcher) admit(tasks []*Task, now time.Time) *verdict.Error {
	if d.queue.len()+len(tasks) > d.opts.QueueLimit {
		err := verdict.NotRunError(apiv1.Reason_REASON_OVERLOAD, "%d tasks are waiting", d.queue.len())
		err.RetryAfter = max(minRetryAfter, d.expectedWait(tasks[0].Department, now))
		return err
	}
	if err := d.checkPossible(tasks); err != nil {
		return err
	}
	return d.checkWait(tasks[0], now)
}

// checkPossible refuses a job with a task that no target could ever run.
func (d *Dispatcher) checkPossible(tasks []*Task) *verdict.Error {
	snapshot := d.opts.Config.Load()
	checked := make(map[class]struct{}, 1)
	for _, t := range tasks {
		c := classOf(t)
		if _, ok := checked[c]; ok {
			continue
		}
		if !d.isPossible(t, snapshot) {
			return verdict.NotRunError(apiv1.Reason_REASON_NO_ELIGIBLE_TARGET, "no target could ever run task %d", t.Index)
		}
		checked[c] = struct{}{}
	}
	return nil
}

// checkWait refuses a job that would wait too long for its deadline.
func (d *Dispatcher) checkWait(t *Task, now time.Time) *verdict.Error {
	wait := d.expectedWait(t.Department, now)
	bound := time.Duration(maxWaitShare * float64(t.Deadline.Sub(now)))
	if wait == 0 || wait <= bound {
		return nil
	}
	err := verdict.NotRunError(apiv1.Reason_REASON_OVERLOAD, "a start is expected in %d ms, too late for the deadline", wait.Milliseconds())
	err.RetryAfter = max(minRetryAfter, wait-bound)
	return err
}

// expectedWait returns how long the queue of a department takes at the rate of
// starts that it has had while tasks waited. Without a backlog the rate is that at
// which tasks come, and says nothing of the targets.
func (d *Dispatcher) expectedWait(department string, now time.Time) time.Duration {
	waiting := d.queue.waiting(department)
	if waiting == 0 {
		return 0
	}
	rate := d.pace.rate(department, d.queue.busy(department, now))
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(waiting) / rate * float64(time.Second))
}

// pace averages the starts of each department over the time in which it had a
// backlog.
type pace struct {
	departments map[string]*average
}

// average is a rate of events that fades with paceWindow.
type average struct {
	perSecond float64
	// at is the time with a backlog at the latest event, since that before the
	// first.
	at    time.Duration
	since time.Duration
}

func (p *pace) add(department string, busy time.Duration) {
	a, ok := p.departments[department]
	if !ok {
		a = &average{at: busy, since: busy}
		p.departments[department] = a
	}
	a.perSecond = a.value(busy) + 1/paceWindow.Seconds()
	a.at = busy
}

// rate returns the starts a second of a department, or 0 while they have been
// watched for less than minPaceAge.
func (p *pace) rate(department string, busy time.Duration) float64 {
	a, ok := p.departments[department]
	if !ok {
		return 0
	}
	age := busy - a.since
	if age < minPaceAge {
		return 0
	}
	// What came before the first start is not known; it counts as the rest.
	return a.value(busy) / (1 - math.Exp(-age.Seconds()/paceWindow.Seconds()))
}

func (a *average) value(busy time.Duration) float64 {
	return a.perSecond * math.Exp(-(busy-a.at).Seconds()/paceWindow.Seconds())
}
