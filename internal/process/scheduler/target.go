package scheduler

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// maxClockDriftPercent is how much slower than this entry's clock a target's may run.
const maxClockDriftPercent = 2

// expiryMargin allows for the delay of the stop order and of the agent itself.
const expiryMargin = 150 * time.Millisecond

// target is a target as described by its agent.
type target struct {
	name string
	link *peer.Link
	// agentIncarnation is that of the agent's process on the latest link.
	agentIncarnation uint64
	// reconciled is set once the attempts here have been compared with the runs that the agent
	// lists in the first frame of its link. A start that is sent earlier would be missing there
	// and count as lost. reconciledAt is when that was done last.
	reconciled   bool
	reconciledAt time.Duration
	info         peer.Target
	// reportedFree is the free capacity in the latest frame, which does not count
	// starts that the agent had not received by then.
	reportedFree task.Resources
	// full is set if that frame said that no start is accepted, whatever it needs.
	full bool
	// probation and probe are the values from the latest frame.
	probation, probe bool
	// shared and isolated are what the latest frame said about isolated runs.
	shared, isolated bool
	// exclusiveJob is the job that keeps out all others according to that frame, until
	// exclusiveUntil or, if that is 0, until a frame says otherwise.
	exclusiveJob   string
	exclusiveUntil time.Duration
	// setApart is set while the target is kept for isolated jobs.
	setApart bool
	// crashed is set while the incarnation described has crashed.
	crashed bool
	// queues are those of which runs were at the target in the latest frame.
	queues []string
	// refusedUntil is when the target may be given work again after a refusal.
	refusedUntil time.Duration
	// lastCrash is when a target of this agent crashed last, hasCrashed whether one did. It may
	// be before the start of this process.
	lastCrash  time.Duration
	hasCrashed bool
	// lastPool is the pool of the latest target described.
	lastPool string
	// unaccounted holds the attempts sent that reportedFree does not include yet.
	unaccounted []*attempt
	// window counts the starts sent on the current link that are not answered.
	window startWindow
	// startsSent counts the starts sent on the current link.
	startsSent uint64
	// slowdown is how much longer runs take there than on the average target; see
	// Scheduler.updateSpeeds. slowdownAt is when the agent recorded the latest run for it.
	slowdown   float64
	slowdownAt time.Duration
	// attempts holds the attempts sent there that are not resolved.
	attempts map[task.Attempt]*attempt
	// lastFrameAt is when the latest frame arrived.
	lastFrameAt time.Duration
	// echo is the latest Sent value of the agent, lastResult the number of its latest
	// result.
	echo       int64
	lastResult uint64
	// sentEcho is the echo in the latest frame sent, lastSentAt the time it was sent.
	sentEcho   int64
	lastSentAt time.Duration
	// demand is what the waiting tasks of this entry need of the target, sentDemand that in
	// the latest frame sent, othersDemand that of the other entries in the latest frame
	// received.
	demand, sentDemand, othersDemand task.Demand
}

func (t *target) send(f peer.Frame) {
	if t.link != nil {
		t.link.Send(f)
	}
}

// usable reports whether the target may be given work.
func (t *target) usable(now time.Duration) bool {
	return t.link != nil && t.info.Available && !t.crashed && now-t.lastFrameAt < peer.SuspectAfter
}

// isExclusive reports whether a job other than j keeps out all others.
func (t *target) isExclusive(j *job, now time.Duration) bool {
	if t.exclusiveJob == "" || t.exclusiveJob == j.spec.ID {
		return false
	}
	return t.exclusiveUntil == 0 || now < t.exclusiveUntil
}

// free returns the free capacity less that of starts still in transit.
func (t *target) free() task.Resources {
	free := t.reportedFree
	for _, at := range t.unaccounted {
		free = free.Sub(at.item.step.Need)
	}
	return free
}

func (t *target) candidate() load.Candidate {
	return load.Candidate{
		Free:       t.free(),
		Capacity:   t.info.Capacity,
		DataCentre: t.info.DataCentre,
		Labels:     t.info.Labels,
	}
}

// attemptsOfStep counts the unresolved attempts of the same step there.
func (t *target) attemptsOfStep(it *item) int {
	n := 0
	for id := range t.attempts {
		if id.Key.Job == it.key.Job && id.Key.Step == it.key.Step {
			n++
		}
	}
	return n
}

// addAttempt records an attempt that is being sent.
func (t *target) addAttempt(at *attempt) {
	t.startsSent++
	at.startNumber = t.startsSent
	t.attempts[at.id] = at
	t.unaccounted = append(t.unaccounted, at)
	t.window.add(at)
	t.probe = false
}

// dropAccepted removes the starts up to number from unaccounted, since reportedFree now
// includes them.
func (t *target) dropAccepted(number uint64) {
	n := 0
	for n < len(t.unaccounted) && t.unaccounted[n].startNumber <= number {
		n++
	}
	t.unaccounted = t.unaccounted[n:]
}

// HasTargets reports whether any target may be given work.
func (s *Scheduler) HasTargets() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		if t.usable(s.now()) {
			return true
		}
	}
	return false
}

// attemptExpiry returns the time after an agent's last frame by which its attempts must
// have ended: an agent stops the attempts of an entry that is silent, and if the agent
// fails, the target ends them when their lease expires.
func (s *Scheduler) attemptExpiry() time.Duration {
	return peer.OwnerLease + s.opts.TargetLease*(100+maxClockDriftPercent)/100 + expiryMargin
}

// sweepTarget resolves the attempts at a target whose agent has been silent for longer
// than attemptExpiry, and removes the target if its agent stays disconnected. Attempts that may
// start late wait for the next process of the agent, or until they no longer may.
func (s *Scheduler) sweepTarget(t *target, now time.Duration) {
	silent := now - t.lastFrameAt
	for _, at := range t.attempts {
		switch {
		case !at.reportedLost && silent < s.attemptExpiry():
		case at.mayStartLate(now):
			s.recordKept(at, now)
		default:
			s.resolve(at, peer.OutcomeLost, peer.RefusalNone)
		}
	}
	if t.link == nil && silent > targetRetention && len(t.attempts) == 0 {
		delete(s.targets, t.name)
	}
}

// targetRetention is how long a target without a link is kept after its latest frame.
const targetRetention = 10 * time.Second
