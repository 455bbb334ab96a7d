package scheduler

import (
	"slices"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/crash"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// maxForwards is how many other agents a new report of a crash is sent to, so that an entry
// that starts later learns it although the agent that reported it is lost.
const maxForwards = 3

const (
	messageCrashed       = "targets have crashed under one of its tasks"
	messageMayCrash      = "targets may have crashed under one of its tasks"
	messageNoTargetApart = "it must run apart from other jobs, and no target is free for that"
)

// receiveCrashes takes the reports of a frame into account, which has the latest crash first.
func (s *Scheduler) receiveCrashes(from *target, reports []crash.Report) {
	now := s.now()
	for _, r := range slices.Backward(reports) {
		if !s.crashes.Add(now, r) {
			continue
		}
		s.forwardCrash(from, r)
		s.suspects = load.NewSuspects(s.crashes.Reports(now))
		s.observeCrash(now, &r)
		s.applySuspicion(now)
	}
	s.judgeCrashes(now, load.SettleTime)
}

func (s *Scheduler) forwardCrash(from *target, r crash.Report) {
	sent := 0
	for _, t := range s.targets {
		if t == from || t.link == nil || t.name == r.Agent {
			continue
		}
		t.send(peer.Frame{Crashes: []crash.Report{r}})
		if sent++; sent == maxForwards {
			return
		}
	}
}

// observeCrash records which target has crashed.
func (s *Scheduler) observeCrash(now time.Duration, r *crash.Report) {
	s.opts.Counters.Counter("crashes_reported").Inc(1)
	s.opts.Log.Warn().Str("target", r.ID.Target).Int64("incarnation", r.ID.Incarnation).Str("agent", r.Agent).Dur("age", r.Age).
		Int("runs", len(r.Runs)).Bool("alone", r.IsAlone()).Bool("silent", r.Silent).Dur("uncertainty", r.Uncertainty).
		Bool("withdrawn", r.Withdrawn).Msg("crash of a target reported")
	if t := s.targets[r.Agent]; t != nil {
		s.updateLastCrash(t, now)
	}
	s.expectSuspects(now)
	if !r.Withdrawn {
		s.unjudged = append(s.unjudged, unjudgedCrash{id: r.ID, since: now})
	}
}

// unjudgedCrash is a crash that has been reported since a time and of which the cause is not
// estimated yet.
type unjudgedCrash struct {
	id    crash.ID
	since time.Duration
}

// judgeCrashes confines the queues that are to blame for the crashes that have been known for a
// time, or of which others of the same moment are known.
func (s *Scheduler) judgeCrashes(now, known time.Duration) {
	if len(s.unjudged) == 0 {
		return
	}
	reports := s.crashes.Reports(now)
	settled := make(map[crash.ID]bool)
	s.unjudged = slices.DeleteFunc(s.unjudged, func(c unjudgedCrash) bool {
		settled[c.id] = now-c.since >= known || load.IsOneOfSeveral(reports, c.id)
		return settled[c.id]
	})
	changed := false
	for i := range slices.Backward(reports) {
		if settled[reports[i].ID] {
			changed = s.judgeCrash(now, &reports[i], reports) || changed
		}
	}
	if changed {
		s.applySuspicion(now)
	}
}

// judgeCrash reports whether a crash has changed how far a queue is kept apart.
func (s *Scheduler) judgeCrash(now time.Duration, r *crash.Report, reports []crash.Report) bool {
	queue, cause, changed := s.confinement.Observe(now, r, reports, s.suspects, len(s.targets))
	s.opts.Log.Info().Str("target", r.ID.Target).Str("queue", queue).Float64("probability", cause.Probability).
		Int("explained", cause.Crashes).Msg("cause of crashes estimated")
	for _, name := range changed {
		s.logConfinement(name)
	}
	return len(changed) > 0
}

// updateLastCrash sets whether the present target of an agent has crashed, and when one crashed
// last, whatever its incarnation: all entries must agree on it, also those that have started since.
func (s *Scheduler) updateLastCrash(t *target, now time.Duration) {
	t.lastCrash, t.hasCrashed, t.crashed = 0, false, false
	for _, r := range s.crashes.Reports(now) {
		if r.Agent != t.name || r.Withdrawn {
			continue
		}
		if !t.hasCrashed {
			t.lastCrash, t.hasCrashed = now-r.Age, true
		}
		t.crashed = t.crashed || (r.ID.Target == t.info.ID && r.ID.Incarnation == t.info.Incarnation)
	}
}

// expectSuspects keeps a target set apart for the suspects of a crash until their runs have
// certainly ended and been started again.
func (s *Scheduler) expectSuspects(now time.Duration) {
	s.suspectsUntil = 0
	for _, r := range s.crashes.Reports(now) {
		if s.hasSuspects(&r) {
			s.suspectsUntil = max(s.suspectsUntil, now-r.Age+s.opts.TargetLease+2*isolationWait)
		}
	}
}

func (s *Scheduler) hasSuspects(r *crash.Report) bool {
	for _, run := range r.Runs {
		if suspicion := s.suspects[run.Task.Job]; suspicion.MustIsolate() || suspicion.MustKeepApart() {
			return true
		}
	}
	return false
}

func (s *Scheduler) logConfinement(queue string) {
	s.opts.Counters.Counter("queue_confinements").Inc(1)
	age, known := s.confinement.HarmlessAge(queue)
	s.opts.Log.Warn().Str("queue", queue).Stringer("separation", s.confinement.Separation(queue)).Dur("harmless_age", age).Bool("age_known", known).
		Int("waiting_apart", s.apartQueue.Len()).Msg("separation of a queue changed")
}

// applySuspicion gives up, isolates or releases the jobs in progress as the crashes reported
// so far require.
func (s *Scheduler) applySuspicion(now time.Duration) {
	s.assignTargetsApart(now)
	for _, j := range s.jobs {
		s.applySuspicionTo(j, now)
	}
}

func (s *Scheduler) applySuspicionTo(j *job, now time.Duration) {
	suspicion := s.suspects[j.spec.ID]
	if suspicion != j.suspicion {
		j.suspicion = suspicion
		s.opts.Log.Info().Str("job", j.spec.ID).Int("crashes", suspicion.Crashes).Int("certain_crashes", suspicion.CertainCrashes).
			Bool("alone", suspicion.Alone).Bool("proven", suspicion.Proven).Float64("share", suspicion.Share).Bool("isolate", suspicion.MustIsolate()).Msg("suspicion of a job changed")
	}
	switch {
	case suspicion.MustGiveUp():
		s.giveUpSuspect(j)
	case suspicion.Alone && j.begun && s.confinement.Separation(j.queue.Name) != load.Shared:
		// Its caller may return; until then the targets set apart serve others.
		s.giveUp(j, apiv1.Reason_REASON_TARGET_CRASHED, messageCrashed)
	default:
		s.setSeparation(j, s.separationOf(j), now)
	}
}

// suspectOnArrival applies what is known of earlier attempts of a job, at any entry, to a
// new request for it. A job that has crashed a target alone comes after all others.
func (s *Scheduler) suspectOnArrival(j *job) {
	if suspicion, ok := s.suspects[j.spec.ID]; ok {
		j.suspicion = suspicion
		j.ran = true
		j.overdue = j.overdue || suspicion.Alone
	}
	j.separation = s.separationOf(j)
}

// giveUpSuspect ends a job whose tasks may have crashed as many targets as is allowed.
func (s *Scheduler) giveUpSuspect(j *job) {
	s.opts.Counters.Counter("jobs_given_up_after_crashes").Inc(1)
	s.finish(j, crashedAnswer(j.suspicion))
}

// crashedAnswer is the answer to a job that must not be started again. While the crashes are not
// certain, it is not final.
func crashedAnswer(suspicion load.Suspicion) Answer {
	a := Answer{
		State:   StateFailed,
		Verdict: verdict.Ran,
		Reason:  apiv1.Reason_REASON_TARGET_CRASHED,
		Message: messageCrashed,
	}
	if !suspicion.MayFail() {
		a.State, a.Message = StateUnfinished, messageMayCrash
	}
	return a
}

// separationOf returns how far the tasks of a job that are not started yet are kept apart. A
// job that began before its queue was confined goes on, unless it has been at a crash.
func (s *Scheduler) separationOf(j *job) load.Separation {
	switch {
	case !s.canSetApart(j.queue.Pool):
		return load.Shared
	case j.suspicion.MustIsolate():
		return load.Isolated
	case j.suspicion.MustKeepApart():
		return max(load.Apart, s.confinement.Separation(j.queue.Name))
	case j.begun && j.separation == load.Shared && j.suspicion.Crashes == 0:
		return load.Shared
	}
	return s.confinement.Separation(j.queue.Name)
}

// setSeparation moves the waiting tasks of a job to the queue for its separation.
func (s *Scheduler) setSeparation(j *job, to load.Separation, now time.Duration) {
	if j.separation == to {
		return
	}
	var waiting []*item
	for i := range j.steps {
		for _, it := range j.steps[i].items {
			if it.position >= 0 {
				s.queueOf(j).Remove(it)
				waiting = append(waiting, it)
			}
		}
	}
	j.separation = to
	if to != load.Shared && j.begun {
		j.latestStart = max(j.latestStart, now+s.opts.TargetLease+isolationWait)
	}
	for _, it := range waiting {
		s.queueOf(j).Push(it)
	}
}

// releaseQueue lets the jobs of a queue run beside others again.
func (s *Scheduler) releaseQueue(queue string) {
	s.logConfinement(queue)
	s.applySuspicion(s.now())
}

// announceRelease makes the other entries release a queue as well: all must set the same
// targets apart.
func (s *Scheduler) announceRelease(queue string) {
	released := []crash.Release{{Queue: queue, Latest: s.confinement.LatestCrash(queue)}}
	sent := 0
	for _, t := range s.targets {
		if t.link == nil {
			continue
		}
		t.send(peer.Frame{Released: released})
		if sent++; sent == maxForwards {
			return
		}
	}
}

// receiveReleases ends confinements as other entries have done, after the crashes that were
// reported with the releases have been judged.
func (s *Scheduler) receiveReleases(released []crash.Release) {
	if len(released) > 0 {
		s.judgeCrashes(s.now(), 0)
	}
	for _, r := range released {
		if s.confinement.Release(s.now(), r.Queue, r.Latest) {
			s.releaseQueue(r.Queue)
		}
	}
}

// sweepConfinement begins and ends confinements and keeps the targets set apart up to date.
func (s *Scheduler) sweepConfinement(now time.Duration) {
	s.judgeCrashes(now, load.SettleTime)
	for _, queue := range s.confinement.Expire(now) {
		s.releaseQueue(queue)
	}
	s.assignTargetsApart(now)
}
