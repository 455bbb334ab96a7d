package scheduler

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// Connect attaches the link of an agent that has sent its Hello.
func (s *Scheduler) Connect(hello *peer.Hello, link *peer.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[hello.Name]
	if t == nil {
		t = &target{name: hello.Name, slowdown: 1, attempts: make(map[task.Attempt]*attempt)}
		s.targets[hello.Name] = t
		s.updateLastCrash(t, s.now())
	}
	s.opts.Log.Info().Str("agent", hello.Name).Uint64("incarnation", hello.Incarnation).
		Int("runs", len(hello.Runs)).Int("attempts", len(t.attempts)).Msg("agent linked")
	t.link, t.unaccounted, t.startsSent = link, nil, 0
	t.resetWindow()
	t.agentIncarnation = hello.Incarnation
	t.reconciled = false
	// A new process of the agent counts its clock from its own start.
	t.echo, t.sentEcho = 0, 0
	t.lastFrameAt = s.now()
	t.reportedFree = task.Resources{}
	t.sentDemand = nil
	s.updateOthersDemand(t, nil)
	t.lastResult = 0
	// The agent may not have been linked when they were cancelled.
	link.Send(peer.Frame{Policy: s.policy(), CancelJobs: s.cancelled.All(s.now())})
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

// receivePolicy applies a policy of an agent if it is newer, and sends it to all other agents: the
// store may turn them and the other entries away.
func (s *Scheduler) receivePolicy(from *target, received *peer.Policy) {
	if received == nil || received.Revision <= s.opts.View.Outages().Revision {
		return
	}
	s.opts.OnNewerPolicy(received)
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
		s.updateRoom(t, f.Room)
	}
	s.receiveInterference(t, f.Interference)
	t.recordLateOrders(f.LateOrders, s.now())
	for _, r := range f.Results {
		s.handleResult(t, r)
		t.lastResult = max(t.lastResult, r.Number)
	}
	if f.Hello != nil {
		s.reconcile(t, f.Hello)
	}
	s.receiveCancels(t, f.CancelJobs)
	s.recordCancels(t, f.CancelsRecorded)
	s.receivePolicy(t, f.Policy)
	for _, p := range f.Progress {
		s.handleProgress(t, p)
	}
	s.placeQueued()
	if t.sentEcho != t.echo && s.now()-t.lastSentAt >= peer.EchoInterval {
		t.lastSentAt = s.now()
		t.send(peer.Frame{})
	}
}

// updateRoom applies the free capacity and health of a target.
func (s *Scheduler) updateRoom(t *target, room *peer.Room) {
	t.reportedFree, t.full = room.Free, room.Full
	t.probation, t.probe = room.Probation, room.Probe
	t.shared, t.isolated = room.Shared, room.Isolated
	t.queues = room.Queues
	t.exclusiveJob, t.exclusiveUntil = room.ExclusiveJob, 0
	if room.ExclusiveFor > 0 {
		t.exclusiveUntil = s.now() + room.ExclusiveFor
	}
	s.updateOthersDemand(t, room.Demand)
}

func (s *Scheduler) describe(t *target, info *peer.Target) {
	s.opts.Log.Info().Str("agent", t.name).Str("target", info.ID).Int64("incarnation", info.Incarnation).
		Bool("available", info.Available).Int64("cpu", info.Capacity.CPU).Str("data_centre", info.DataCentre).
		Msg("target described")
	if info.ID != t.info.ID || info.Incarnation != t.info.Incarnation {
		t.crashed = false
	}
	restarted := t.isDown(s.now())
	s.recordSlowdown(t, info)
	t.info = *info
	if info.Pool != "" {
		t.lastPool = info.Pool
	}
	if restarted && t.usable(s.now()) {
		s.recordRestart(t, s.now())
	}
	s.updateSpeeds(s.now())
	s.resolveFenced(t)
	s.assignTargetsApart(s.now())
}

// reconcile compares the attempts sent to an agent with those that the agent lists after
// reconnecting. An attempt that the agent neither runs nor has reported never reached
// the agent, or ended with an earlier process of it. A new process links only after its target
// has answered a poll with a higher token than those of earlier processes, so that an attempt
// that it has never known cannot start late either.
func (s *Scheduler) reconcile(t *target, hello *peer.Hello) {
	present := make(map[task.Attempt]bool, len(hello.Runs))
	claims := &peer.Claims{}
	for _, id := range hello.Runs {
		present[id] = true
		if at := t.attempts[id]; at != nil {
			at.knownBy, at.reportedLost = hello.Incarnation, false
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
		switch {
		case present[id]:
		case at.knownBy == hello.Incarnation:
			s.handleLost(at)
		default:
			s.resolve(at, peer.OutcomeLost, peer.RefusalNone)
		}
	}
	t.reconciled, t.reconciledAt = true, s.now()
}
