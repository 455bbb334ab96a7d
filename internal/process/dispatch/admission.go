package dispatch

import (
	"math"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const (
	// maxWaitShare is the largest share of the time to its deadline that an admitted
	// job may be expected to wait.
	maxWaitShare = 0.5
	// minRetryAfter is the shortest retry-after of a refusal.
	minRetryAfter = 50 * time.Millisecond
	// rateWindow is the time constant of the average start rate, in backlog time.
	rateWindow = time.Second
	// minRateAge is the backlog time from which the start rate is used.
	minRateAge = 250 * time.Millisecond
)

// admit checks whether the tasks of one job can be queued. Its errors are NotRun.
func (d *Dispatcher) admit(tasks []*Task, now time.Time) *verdict.Error {
	if d.queue.len()+len(tasks) > d.opts.QueueLimit {
		err := verdict.NotRunError(apiv1.Reason_REASON_OVERLOAD, "%d tasks are waiting", d.queue.len())
		err.RetryAfter = max(minRetryAfter, d.expectedWait(tasks[0].Department, now))
		return err
	}
	if err := d.checkFeasible(tasks); err != nil {
		return err
	}
	return d.checkWait(tasks[0], now)
}

// checkFeasible refuses a job that has a task which no known target could ever run.
func (d *Dispatcher) checkFeasible(tasks []*Task) *verdict.Error {
	snapshot := d.opts.Config.Load()
	checked := make(map[class]struct{}, 1)
	for _, t := range tasks {
		c := classOf(t)
		if _, ok := checked[c]; ok {
			continue
		}
		if !d.isFeasible(t, snapshot) {
			return verdict.NotRunError(apiv1.Reason_REASON_NO_ELIGIBLE_TARGET, "no target could ever run task %d", t.Index)
		}
		checked[c] = struct{}{}
	}
	return nil
}

// checkWait refuses a job whose expected wait exceeds maxWaitShare of the time to its
// deadline.
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

// expectedWait returns how long the queue of a department takes to drain at the start
// rate measured while it had a backlog. Without a backlog the start rate equals the
// arrival rate and does not show the capacity of the targets.
func (d *Dispatcher) expectedWait(department string, now time.Time) time.Duration {
	waiting := d.queue.waiting(department)
	if waiting == 0 {
		return 0
	}
	rate := d.startRates.rate(department, d.queue.backlogTime(department, now))
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(waiting) / rate * float64(time.Second))
}

// startRates holds the start rate of each department, averaged over its backlog time.
type startRates struct {
	departments map[string]*decayingRate
}

// decayingRate is an event rate that decays exponentially with rateWindow.
type decayingRate struct {
	perSecond float64
	// lastAt is the backlog time at the latest event, firstAt that at the first.
	lastAt  time.Duration
	firstAt time.Duration
}

func (r *startRates) add(department string, backlogTime time.Duration) {
	d, ok := r.departments[department]
	if !ok {
		d = &decayingRate{lastAt: backlogTime, firstAt: backlogTime}
		r.departments[department] = d
	}
	d.perSecond = d.decayed(backlogTime) + 1/rateWindow.Seconds()
	d.lastAt = backlogTime
}

// rate returns the starts per second of a department, or 0 while it has been measured
// for less than minRateAge.
func (r *startRates) rate(department string, backlogTime time.Duration) float64 {
	d, ok := r.departments[department]
	if !ok {
		return 0
	}
	age := backlogTime - d.firstAt
	if age < minRateAge {
		return 0
	}
	// The rate before the first start is unknown; it is taken as equal to the rate
	// measured since.
	return d.decayed(backlogTime) / (1 - math.Exp(-age.Seconds()/rateWindow.Seconds()))
}

func (d *decayingRate) decayed(backlogTime time.Duration) float64 {
	return d.perSecond * math.Exp(-(backlogTime-d.lastAt).Seconds()/rateWindow.Seconds())
}
