package scheduler

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// clockDrift is how much slower than ours a target's clock may run, in percent.
const clockDrift = 2

// endMargin covers the order to stop and the agent's own delays.
const endMargin = 150 * time.Millisecond

// target is a target as its agent describes it.
type target struct {
	name string
	link *peer.Link
	info peer.Target
	// reported is the room in the latest frame, before the starts that the
	// agent had not seen then.
	reported task.Resources
	// probation and probe are those of the latest frame.
	probation, probe bool
	// unseen are the attempts sent and not yet accounted for in reported.
	unseen []*attempt
	// sent counts the starts of the present link.
	sent uint64
	// attempts are those sent there and not resolved.
	attempts map[task.Attempt]*attempt
	// heard is when the latest frame arrived.
	heard time.Duration
	// echo is the latest Sent of the agent; taken its latest result.
	echo  int64
	taken uint64
	// answered is the echo of the latest frame sent, at the time stamped.
	answered int64
	stamped  time.Duration
}

func (t *target) send(f peer.Frame) {
	if t.link != nil {
		t.link.Send(f)
	}
}

// usable reports whether the target may be given work.
func (t *target) usable(now time.Duration) bool {
	return t.link != nil && t.info.Available && now-t.heard < peer.SuspectAfter
}

// free returns the room left, less what is on its way.
func (t *target) free() task.Resources {
	free := t.reported
	for _, at := range t.unseen {
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

// ofStep counts the attempts of the same step there.
func (t *target) ofStep(it *item) int {
	n := 0
	for id := range t.attempts {
		if id.Key.Job == it.key.Job && id.Key.Step == it.key.Step {
			n++
		}
	}
	return n
}

// begin notes an attempt that is sent.
func (t *target) begin(at *attempt) {
	t.sent++
	at.number = t.sent
	t.attempts[at.id] = at
	t.unseen = append(t.unseen, at)
	t.probe = false
}

// accepted drops the starts that the agent's room now counts.
func (t *target) accepted(number uint64) {
	n := 0
	for n < len(t.unseen) && t.unseen[n].number <= number {
		n++
	}
	t.unseen = t.unseen[n:]
}

// Connect attaches the link of an agent that has said Hello.
func (s *Scheduler) Connect(hello *peer.Hello, link *peer.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[hello.Name]
	if t == nil {
		t = &target{name: hello.Name, attempts: make(map[task.Attempt]*attempt)}
		s.targets[hello.Name] = t
	}
	s.opts.Log.Info().Str("agent", hello.Name).Uint64("incarnation", hello.Incarnation).
		Int("runs", len(hello.Runs)).Int("attempts", len(t.attempts)).Msg("agent linked")
	t.link, t.unseen, t.sent = link, nil, 0
	t.heard = s.now()
	t.reported = task.Resources{}
	t.taken = 0
	link.Send(peer.Frame{Policy: s.policy()})
}

// Disconnect detaches a link that has broken. The attempts there stay until the
// agent says what became of them, or until they are surely over.
func (s *Scheduler) Disconnect(name string, link *peer.Link, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil || t.link != link {
		return
	}
	t.link = nil
	s.opts.Log.Info().Err(err).Str("agent", name).Int("attempts", len(t.attempts)).
		Dur("silent", s.now()-t.heard).Msg("agent lost")
	s.pump()
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

// Stamp completes a frame to an agent in the instant of sending.
func (s *Scheduler) Stamp(name string, f *peer.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil {
		return
	}
	f.Echo, f.Taken = t.echo, t.taken
	f.Sent = int64(s.now())
	t.answered, t.stamped = t.echo, s.now()
}

// Receive handles a frame of an agent.
func (s *Scheduler) Receive(name string, link *peer.Link, f *peer.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil || t.link != link {
		return
	}
	t.heard = s.now()
	t.echo = max(t.echo, f.Sent)
	if f.Target != nil {
		s.describe(t, f.Target)
	}
	t.accepted(f.Accepted)
	if f.Room != nil {
		t.reported = f.Room.Free
		t.probation, t.probe = f.Room.Probation, f.Room.Probe
	}
	for _, r := range f.Results {
		s.result(t, r)
		t.taken = max(t.taken, r.Number)
	}
	if f.Hello != nil {
		s.reconcile(t, f.Hello)
	}
	for _, id := range f.CancelJobs {
		s.cancelHere(id)
	}
	if f.Policy != nil && f.Policy.Revision > s.opts.View.Outages().Revision {
		s.opts.Behind(f.Policy)
	}
	for _, p := range f.Progress {
		s.progress(t, p)
	}
	s.pump()
	if t.answered != t.echo && s.now()-t.stamped >= peer.EchoInterval {
		t.stamped = s.now()
		t.send(peer.Frame{})
	}
}

func (s *Scheduler) describe(t *target, info *peer.Target) {
	s.opts.Log.Info().Str("agent", t.name).Str("target", info.ID).Int64("incarnation", info.Incarnation).
		Bool("available", info.Available).Int64("cpu", info.Capacity.CPU).Str("data_centre", info.DataCentre).
		Msg("target described")
	t.info = *info
}

// reconcile compares the attempts sent to an agent with what it has after a new
// link: those that it neither runs nor has reported never reached it, or ended
// with an earlier process of it.
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

// surelyOver is how long after the last word of an agent its attempts are over:
// it stops those of an entry it does not hear, and when it dies the target's own
// lease ends them.
func (s *Scheduler) surelyOver() time.Duration {
	return peer.OwnerLease + s.opts.TargetLease*(100+clockDrift)/100 + endMargin
}

// sweepTarget ends the attempts of an agent that has been silent for so long
// that they are over, and forgets one that stays away.
func (s *Scheduler) sweepTarget(t *target, now time.Duration) {
	silent := now - t.heard
	if silent < s.surelyOver() {
		return
	}
	for _, at := range t.attempts {
		s.resolve(at, peer.OutcomeLost, peer.RefusalNone)
	}
	if t.link == nil && silent > targetMemory {
		delete(s.targets, t.name)
	}
}

// targetMemory is how long an agent without a link is remembered.
const targetMemory = 10 * time.Second
