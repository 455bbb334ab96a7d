package scheduler

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
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
	info peer.Target
	// reportedFree is the free capacity in the latest frame, which does not count
	// starts that the agent had not received by then.
	reportedFree task.Resources
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
	// lastCrash is when a target of this agent crashed last, hasCrashed whether one did. It may
	// be before the start of this process.
	lastCrash  time.Duration
	hasCrashed bool
	// lastPool is the pool of the latest target described.
	lastPool string
	// unaccounted holds the attempts sent that reportedFree does not include yet.
	unaccounted []*attempt
	// startsSent counts the starts sent on the current link.
	startsSent uint64
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

// Connect attaches the link of an agent that has sent its Hello.
func (s *Scheduler) Connect(hello *peer.Hello, link *peer.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[hello.Name]
	if t == nil {
		t = &target{name: hello.Name, attempts: make(map[task.Attempt]*attempt)}
		s.targets[hello.Name] = t
		s.updateLastCrash(t, s.now())
	}
	s.opts.Log.Info().Str("agent", hello.Name).Uint64("incarnation", hello.Incarnation).
		Int("runs", len(hello.Runs)).Int("attempts", len(t.attempts)).Msg("agent linked")
	t.link, t.unaccounted, t.startsSent = link, nil, 0
	// A new process of the agent counts its clock from its own start.
	t.echo, t.sentEcho = 0, 0
	t.lastFrameAt = s.now()
	t.reportedFree = task.Resources{}
	t.sentDemand = nil
	s.updateOthersDemand(t, nil)
	t.lastResult = 0
	link.Send(peer.Frame{Policy: s.policy()})
}

// Disconnect detaches a broken link. The attempts there stay unresolved until the agent
// reports on them, or until they must have ended.
func (s *Scheduler) Disconnect(name string, link *peer.Link, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil || t.link != link {
		return
	}
	t.link = nil
	s.updateOthersDemand(t, nil)
	s.opts.Log.Info().Err(err).Str("agent", name).Int("attempts", len(t.attempts)).
		Dur("silent", s.now()-t.lastFrameAt).Msg("agent lost")
	s.placeQueued()
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

// Stamp sets the clock fields and the latest result number in a frame to an agent, just
// before the frame is encoded.
func (s *Scheduler) Stamp(name string, f *peer.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil {
		return
	}
	f.Echo, f.AckedResults = t.echo, t.lastResult
	f.Sent = int64(s.now())
	f.Demand = t.demand
	f.PolicyAge = s.reportedPolicyAge()
	t.sentDemand = t.demand
	t.sentEcho, t.lastSentAt = t.echo, s.now()
}

// reportedPolicyAge returns the age of the policy for a frame, 0 while it is fresh.
func (s *Scheduler) reportedPolicyAge() time.Duration {
	if s.opts.PolicyAge == nil {
		return 0
	}
	age := s.opts.PolicyAge()
	if age <= peer.FreshPolicyAge {
		return 0
	}
	return bounds.RunTime.Clamp(age)
}

// forwardPolicy sends a policy that one agent has brought to all others: the store may turn them
// and the other entries away.
func (s *Scheduler) forwardPolicy(from *target) {
	p := s.policy()
	for _, t := range s.targets {
		if t != from {
			t.send(peer.Frame{Policy: p})
		}
	}
}

// Receive handles a frame of an agent.
func (s *Scheduler) Receive(name string, link *peer.Link, f *peer.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil || t.link != link {
		return
	}
	t.lastFrameAt = s.now()
	t.echo = max(t.echo, f.Sent)
	s.receiveCrashes(t, f.Crashes)
	s.receiveReleases(f.Released)
	if f.Target != nil {
		s.describe(t, f.Target)
	}
	t.dropAccepted(f.Accepted)
	if f.Room != nil {
		t.reportedFree = f.Room.Free
		t.probation, t.probe = f.Room.Probation, f.Room.Probe
		t.shared, t.isolated = f.Room.Shared, f.Room.Isolated
		t.exclusiveJob, t.exclusiveUntil = f.Room.ExclusiveJob, 0
		if f.Room.ExclusiveFor > 0 {
			t.exclusiveUntil = s.now() + f.Room.ExclusiveFor
		}
		s.updateOthersDemand(t, f.Room.Demand)
	}
	for _, r := range f.Results {
		s.handleResult(t, r)
		t.lastResult = max(t.lastResult, r.Number)
	}
	if f.Hello != nil {
		s.reconcile(t, f.Hello)
	}
	for _, id := range f.CancelJobs {
		s.cancelLocal(id)
	}
	s.recordCancels(t, f.CancelsRecorded)
	if f.Policy != nil && f.Policy.Revision > s.opts.View.Outages().Revision {
		s.opts.OnNewerPolicy(f.Policy)
		s.forwardPolicy(t)
	}
	for _, p := range f.Progress {
		s.handleProgress(t, p)
	}
	s.placeQueued()
	if t.sentEcho != t.echo && s.now()-t.lastSentAt >= peer.EchoInterval {
		t.lastSentAt = s.now()
		t.send(peer.Frame{})
	}
}

func (s *Scheduler) describe(t *target, info *peer.Target) {
	s.opts.Log.Info().Str("agent", t.name).Str("target", info.ID).Int64("incarnation", info.Incarnation).
		Bool("available", info.Available).Int64("cpu", info.Capacity.CPU).Str("data_centre", info.DataCentre).
		Msg("target described")
	if info.ID != t.info.ID || info.Incarnation != t.info.Incarnation {
		t.crashed = false
	}
	restarted := t.isDown(s.now())
	t.info = *info
	if info.Pool != "" {
		t.lastPool = info.Pool
	}
	if restarted && t.usable(s.now()) {
		s.recordRestart(t, s.now())
	}
	s.assignTargetsApart(s.now())
}

// reconcile compares the attempts sent to an agent with those that the agent lists after
// reconnecting. An attempt that the agent neither runs nor has reported never reached
// the agent, or ended with an earlier process of it.
func (s *Scheduler) reconcile(t *target, hello *peer.Hello) {
	present := make(map[task.Attempt]bool, len(hello.Runs))
	claims := &peer.Claims{}
	for _, id := range hello.Runs {
		present[id] = true
		if at := t.attempts[id]; at != nil {
			claims.Attempts = append(claims.Attempts, peer.Claim{Attempt: id, Need: at.item.step.Need})
			if at.stopping {
				t.send(peer.Frame{Stops: []task.Attempt{id}})
			}
		}
	}
	if len(claims.Attempts) > 0 {
		t.send(peer.Frame{Claims: claims})
	}
	for id, at := range t.attempts {
		if !present[id] {
			s.resolve(at, peer.OutcomeLost, peer.RefusalNone)
		}
	}
}

// attemptExpiry returns the time after an agent's last frame by which its attempts must
// have ended: an agent stops the attempts of an entry that is silent, and if the agent
// fails, the target ends them when their lease expires.
func (s *Scheduler) attemptExpiry() time.Duration {
	return peer.OwnerLease + s.opts.TargetLease*(100+maxClockDriftPercent)/100 + expiryMargin
}

// sweepTarget resolves the attempts at a target whose agent has been silent for longer
// than attemptExpiry, and removes the target if its agent stays disconnected.
func (s *Scheduler) sweepTarget(t *target, now time.Duration) {
	silent := now - t.lastFrameAt
	if silent < s.attemptExpiry() {
		return
	}
	for _, at := range t.attempts {
		s.resolve(at, peer.OutcomeLost, peer.RefusalNone)
	}
	if t.link == nil && silent > targetRetention {
		delete(s.targets, t.name)
	}
}

// targetRetention is how long a target without a link is kept after its latest frame.
const targetRetention = 10 * time.Second
