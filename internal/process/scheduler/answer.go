package scheduler

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// State is the state of a job.
type State string

// The states.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateComplete  State = "complete"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
	// StateAbandoned: its callers have left.
	StateAbandoned State = "abandoned"
	// StateRefused: nothing of the job has run, and nothing will.
	StateRefused State = "refused"
	// StateUnfinished: given up before its end; some of it may have run.
	StateUnfinished State = "unfinished"
)

// Answer is the final word on a job.
type Answer struct {
	State      State
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Message    string
	RetryAfter time.Duration
}

// isFinal reports whether a request that is sent again gets the same answer. A
// job that was not completed is run anew.
func (a Answer) isFinal() bool {
	return a.State == StateComplete || a.State == StateFailed || a.State == StateCancelled
}

const (
	// answerMemory is how long an answer is remembered for a request that is
	// sent again.
	answerMemory = 10 * time.Second
	// answerLimit bounds the answers remembered, some 100 bytes each.
	answerLimit = 20_000
)

// answers remembers the answers of jobs that have run.
type answers struct {
	byID  map[string]remembered
	order []string
}

type remembered struct {
	answer Answer
	at     time.Duration
}

func newAnswers() answers { return answers{byID: make(map[string]remembered)} }

func (a *answers) put(id string, answer Answer, now time.Duration) {
	if _, ok := a.byID[id]; !ok {
		a.order = append(a.order, id)
	}
	a.byID[id] = remembered{answer: answer, at: now}
	for len(a.order) > 0 && (len(a.order) > answerLimit || now-a.byID[a.order[0]].at > answerMemory) {
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answers) get(id string, now time.Duration) (Answer, bool) {
	r, ok := a.byID[id]
	if !ok || now-r.at > answerMemory {
		return Answer{}, false
	}
	return r.answer, true
}

// cancel reports whether a job that has ended is remembered.
func (a *answers) cancel(id string, now time.Duration) bool {
	_, ok := a.get(id, now)
	return ok
}
