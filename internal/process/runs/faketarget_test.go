package runs

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/standin/runtarget"
)

var errSilent = errors.New("no answer")

// fakeTarget is a target whose calls a test makes fail one by one.
type fakeTarget struct {
	// startDelay is how long each start order takes, in nanoseconds.
	startDelay atomic.Int64
	// machine answers the calls that reach it. Tests end and place runs there.
	machine *runtarget.Target
	mu      sync.Mutex
	// unresponsive drops all orders and polls without an answer. startsToLeaveUnanswered is the
	// number of next starts without an answer; they are executed at once, or put into
	// delayedStarts if delayStarts is set.
	unresponsive bool
	// pollsUnanswered drops the answers of polls.
	pollsUnanswered bool
	// refuses is set while nothing listens at the target's address.
	refuses                 bool
	startsToLeaveUnanswered int
	delayStarts             bool
	delayedStarts           []func()
	// ignoresTokens lets delayed starts pass the fence.
	ignoresTokens bool
	// rejectsStarts, unless AnswerDone, answers each start order that is answered at all; the
	// order is not executed.
	rejectsStarts Answer
	// stopsToReject is the number of next stop orders that are rejected as unhealthy.
	stopsToReject int
	starts        []task.Attempt
	renewals      int
	// beforeStart, if set, is called before each start order is executed.
	beforeStart func()
	// calls counts the orders and polls received while unresponsive.
	calls int
	// pollsByOther is set while another incarnation than the intended one answers polls,
	// startsByOther while it executes starts.
	pollsByOther, startsByOther bool
	// unreadable is set while the rows of all active runs are unreadable; polls counts the
	// polls answered meanwhile.
	unreadable bool
	polls      int
}

const fakeTargetID = "t1"

func newFakeTarget() *fakeTarget {
	f := &fakeTarget{}
	f.machine = runtarget.New(runtarget.Options{
		Capacity: testCapacity,
		MaxLease: testLease,
		Drift:    maxClockDriftPercent / 100.,
		// So that late orders are rejected by their token or run only.
		AcceptsExpiredOrders: true,
		Started:              func(s peer.Start) { f.starts = append(f.starts, s.Attempt) },
		Renewed:              func() { f.renewals++ },
	})
	f.restart()
	return f
}

// answersOfTarget maps the answers of the machine.
var answersOfTarget = map[runtarget.Answer]Answer{
	runtarget.Done:         AnswerDone,
	runtarget.Fenced:       AnswerFenced,
	runtarget.StaleRun:     AnswerStaleRun,
	runtarget.LeaseExpired: AnswerLeaseExpired,
	runtarget.NoRoom:       AnswerNoRoom,
}

// leaseUntil returns the end of a lease that is issued at a time, on the target's clock.
func (f *fakeTarget) leaseUntil(issuedAt time.Time) time.Duration {
	return f.machine.Clock() - time.Since(issuedAt) + testLease
}

func (f *fakeTarget) Start(_ context.Context, permit Permit, s peer.Start) (Answer, error) {
	time.Sleep(time.Duration(f.startDelay.Load()))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.beforeStart != nil {
		f.beforeStart()
	}
	if f.refuses {
		return 0, ErrRefused
	}
	if f.unresponsive {
		f.calls++
		return 0, errSilent
	}
	call := runtarget.Call{Kind: runtarget.Start, Target: fakeTargetID, Token: permit.Token, Start: s, Until: f.leaseUntil(permit.LeaseFrom)}
	if f.startsToLeaveUnanswered > 0 {
		f.startsToLeaveUnanswered--
		if f.delayStarts {
			f.delayedStarts = append(f.delayedStarts, func() { f.deliverLocked(call) })
		} else {
			f.machine.Execute(call)
		}
		return 0, errSilent
	}
	if f.rejectsStarts != AnswerDone {
		return f.rejectsStarts, nil
	}
	answer := answersOfTarget[f.machine.Execute(call).Answer]
	if f.startsByOther && answer == AnswerDone {
		return AnswerDoneByOtherIncarnation, nil
	}
	return answer, nil
}

// deliverLocked executes a delayed start.
func (f *fakeTarget) deliverLocked(call runtarget.Call) {
	if f.ignoresTokens {
		call.Token = math.MaxUint64
	}
	f.machine.Execute(call)
}

func (f *fakeTarget) Stop(_ context.Context, token uint64, a task.Attempt) (Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuses {
		return 0, ErrRefused
	}
	if f.unresponsive {
		f.calls++
		return 0, errSilent
	}
	if f.stopsToReject > 0 {
		f.stopsToReject--
		return AnswerUnhealthy, nil
	}
	call := runtarget.Call{Kind: runtarget.Stop, Target: fakeTargetID, Token: token, Attempt: a}
	return answersOfTarget[f.machine.Execute(call).Answer], nil
}

func (f *fakeTarget) Poll(ctx context.Context, request PollRequest) (Report, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuses {
		return Report{}, ErrRefused
	}
	if f.unresponsive {
		f.calls++
		return Report{}, errSilent
	}
	call := runtarget.Call{Kind: runtarget.Poll, Target: fakeTargetID, Token: request.Token, LastSeen: request.LastSeen}
	if request.Renew {
		call.Until = f.leaseUntil(request.LeaseFrom)
	}
	reply := f.machine.Execute(call)
	answer := answersOfTarget[reply.Answer]
	switch {
	case answer != AnswerDone:
		return Report{Answer: answer}, nil
	case f.pollsUnanswered:
		return Report{}, errSilent
	case f.pollsByOther:
		return Report{Answer: AnswerDoneByOtherIncarnation}, nil
	}
	report := reportOfTarget(reply)
	if f.unreadable {
		f.polls++
		report.Running, report.Incomplete = nil, true
		report.RecordUnreadable(errors.New("no name"))
	}
	return report, ctx.Err()
}

func reportOfTarget(reply runtarget.Reply) Report {
	var report Report
	for _, r := range reply.Running {
		report.Running = append(report.Running, ActiveRun{Attempt: r.Start.Attempt, Percent: 50})
	}
	for _, e := range reply.Ended {
		report.Ended = append(report.Ended, EndedRun(e))
	}
	return report
}

func (f *fakeTarget) Close() {}

// end ends a run of the target.
func (f *fakeTarget) end(a task.Attempt, outcome peer.Outcome) { f.machine.End(a, outcome) }

func (f *fakeTarget) isRunning(a task.Attempt) bool { return f.machine.IsRunning(a) }

// running returns all attempts that run.
func (f *fakeTarget) running() []task.Attempt {
	var list []task.Attempt
	for _, r := range f.machine.Runs() {
		list = append(list, r.Start.Attempt)
	}
	return list
}

// place makes an attempt run that no order has started.
func (f *fakeTarget) place(a task.Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ordered := len(f.starts)
	f.machine.Force(peer.Start{Attempt: a})
	f.starts = f.starts[:ordered]
}

// restart makes the target forget its runs and tokens, as a new process does.
func (f *fakeTarget) restart() {
	f.machine.Boot(fakeTargetID, 1)
}

// seeToken makes the target see a fencing token.
func (f *fakeTarget) seeToken(token uint64) {
	f.machine.Execute(runtarget.Call{Kind: runtarget.Stop, Target: fakeTargetID, Token: token})
}

func (f *fakeTarget) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeTarget) startsOf(a task.Attempt) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.starts {
		if s == a {
			n++
		}
	}
	return n
}
