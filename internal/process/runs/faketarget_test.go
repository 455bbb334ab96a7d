package runs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

var errSilent = errors.New("no answer")

// fakeTarget behaves like a target towards orders: it rejects fenced ones, keeps a list
// of runs and numbers the ended ones. It can execute orders without an answer or much
// later.
type fakeTarget struct {
	mu      sync.Mutex
	token   uint64
	running map[task.Attempt]bool
	highest map[task.Key]uint64
	ended   []EndedRun
	number  uint64
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
}

func newFakeTarget() *fakeTarget {
	return &fakeTarget{running: make(map[task.Attempt]bool), highest: make(map[task.Key]uint64)}
}

func (f *fakeTarget) fencedLocked(token uint64) bool {
	if token < f.token {
		return true
	}
	f.token = token
	return false
}

func (f *fakeTarget) Start(_ context.Context, permit Permit, s peer.Start) (Answer, error) {
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
	if f.startsToLeaveUnanswered > 0 {
		f.startsToLeaveUnanswered--
		if f.delayStarts {
			f.delayedStarts = append(f.delayedStarts, func() { f.startLocked(permit.Token, s) })
		} else {
			f.startLocked(permit.Token, s)
		}
		return 0, errSilent
	}
	if f.rejectsStarts != AnswerDone {
		return f.rejectsStarts, nil
	}
	answer := f.startLocked(permit.Token, s)
	if f.startsByOther && answer == AnswerDone {
		return AnswerDoneByOtherIncarnation, nil
	}
	return answer, nil
}

func (f *fakeTarget) startLocked(token uint64, s peer.Start) Answer {
	if f.fencedLocked(token) {
		return AnswerFenced
	}
	if f.running[s.Attempt] {
		return AnswerDone
	}
	if f.highest[s.Attempt.Key] >= s.Attempt.Run {
		return AnswerStaleRun
	}
	f.highest[s.Attempt.Key] = s.Attempt.Run
	f.running[s.Attempt] = true
	f.starts = append(f.starts, s.Attempt)
	return AnswerDone
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
	if f.fencedLocked(token) {
		return AnswerFenced, nil
	}
	f.highest[a.Key] = max(f.highest[a.Key], a.Run)
	if f.running[a] {
		f.endLocked(a, peer.OutcomeStopped)
	}
	return AnswerDone, nil
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
	if f.fencedLocked(request.Token) {
		return Report{Answer: AnswerFenced}, nil
	}
	if f.pollsUnanswered {
		return Report{}, errSilent
	}
	if f.pollsByOther {
		return Report{Answer: AnswerDoneByOtherIncarnation}, nil
	}
	if request.Renew {
		f.renewals++
	}
	report := Report{}
	for a := range f.running {
		report.Running = append(report.Running, ActiveRun{Attempt: a, Percent: 50})
	}
	for _, e := range f.ended {
		if e.Number > request.LastSeen {
			report.Ended = append(report.Ended, e)
		}
	}
	return report, ctx.Err()
}

func (f *fakeTarget) Close() {}

func (f *fakeTarget) endLocked(a task.Attempt, outcome peer.Outcome) {
	delete(f.running, a)
	f.number++
	f.ended = append(f.ended, EndedRun{Number: f.number, Attempt: a, Outcome: outcome})
}

func (f *fakeTarget) end(a task.Attempt, outcome peer.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLocked(a, outcome)
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
