package scheduler

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// State is the state of a job.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateComplete  State = "complete"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
	// StateAbandoned means that all callers have left.
	StateAbandoned State = "abandoned"
	// StateRefused means that nothing of the job has run or will run.
	StateRefused State = "refused"
	// StateUnfinished means that the job was given up; some of its tasks may have run.
	StateUnfinished State = "unfinished"
)

// Answer is the final result of a job.
type Answer struct {
	State      State
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Message    string
	RetryAfter time.Duration
}

// isFinal reports whether a repeated request gets the same answer. A job that was
// neither completed, failed nor cancelled is run again.
func (a Answer) isFinal() bool {
	return a.State == StateComplete || a.State == StateFailed || a.State == StateCancelled
}

const (
	// answerRetention is how long an answer is kept for repeated requests.
	answerRetention = 10 * time.Second
	// maxAnswers bounds the answers kept, of some 100 bytes each.
	maxAnswers = 20_000
)

// answerCache keeps the final answers of recent jobs for repeated requests.
type answerCache struct {
	byID  map[string]cachedAnswer
	order []string
}

type cachedAnswer struct {
	answer Answer
	at     time.Duration
}

func newAnswerCache() answerCache { return answerCache{byID: make(map[string]cachedAnswer)} }

func (a *answerCache) put(id string, answer Answer, now time.Duration) {
	if _, ok := a.byID[id]; !ok {
		a.order = append(a.order, id)
	}
	a.byID[id] = cachedAnswer{answer: answer, at: now}
	for len(a.order) > 0 && (len(a.order) > maxAnswers || now-a.byID[a.order[0]].at > answerRetention) {
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answerCache) get(id string, now time.Duration) (Answer, bool) {
	r, ok := a.byID[id]
	if !ok || now-r.at > answerRetention {
		return Answer{}, false
	}
	return r.answer, true
}

// has reports whether the answer of a job is kept.
func (a *answerCache) has(id string, now time.Duration) bool {
	_, ok := a.get(id, now)
	return ok
}
