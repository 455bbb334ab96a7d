package jobs

import (
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/dispatch"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Adopted describes the adoption of another incarnation, whose tickets a table answers
// for.
type Adopted struct {
	Generation uint32
	// Records holds the attempts that agents keep.
	Records *AttemptRecords
	// HandedOver is set if the home stopped as planned and handed over a list of its
	// jobs. A ticket that is not on the list was never submitted.
	HandedOver bool
}

// NewAdopted returns a table for the tickets of a lost or stopped home. The table issues
// no tickets.
func (t *Table) NewAdopted(home uint64, a Adopted) *Table {
	table := NewTable(home, t.key, t.lifetime, t.dispatcher, t.counters)
	table.memory = t.memory
	table.adopted = &a
	return table
}

// lostResult returns the failure that replaces a result which an agent no longer keeps.
func lostResult(id *peerv1.AttemptID) *peerv1.Result {
	return &peerv1.Result{
		Id:      id,
		Failure: verdict.New(verdict.Ran, apiv1.Reason_REASON_HOME_LOST, "the result is no longer kept").Failure(),
	}
}

// lostAttempt returns the failure of an attempt that was running when its agent was lost.
func lostAttempt(id *peerv1.AttemptID) *peerv1.Result {
	return &peerv1.Result{
		Id:      id,
		Failure: verdict.New(verdict.Ran, apiv1.Reason_REASON_AGENT_LOST, "the agent was lost while the task ran").Failure(),
	}
}

// resume takes over the tasks of an adopted job. If no agent keeps an attempt of a task
// that is not repeatable, the job fails and nothing is started.
func (j *Job) resume(a *Adopted, tasks []*dispatch.Task) *verdict.Error {
	kept := make([]dispatch.AdoptedAttempt, len(tasks))
	worst := verdict.MayHaveRun
	missing := -1
	for i, t := range tasks {
		kept[i] = a.Records.Find(j.id.Sequence, t.Index)
		if kept[i].Attempt != 0 {
			worst = verdict.Ran
		} else if !t.Spec.GetRepeatable() {
			missing = i
		}
	}
	if missing >= 0 {
		return verdict.New(worst, apiv1.Reason_REASON_HOME_LOST, "the home of the job is lost and no agent keeps an attempt of task %d", missing)
	}
	j.dispatcher.Resume(tasks, kept, a.Generation)
	j.deliverMissedResults(a, tasks, kept)
	return nil
}

// deliverMissedResults passes on the results that arrived after the records were read
// and before Resume.
func (j *Job) deliverMissedResults(a *Adopted, tasks []*dispatch.Task, kept []dispatch.AdoptedAttempt) {
	for i, t := range tasks {
		now := a.Records.Find(j.id.Sequence, t.Index)
		if kept[i].Attempt != 0 && kept[i].Result == nil && now.Result != nil {
			j.dispatcher.HandleResult(now.Target, now.Result)
		}
	}
}

// Answers returns the remembered answers of the table for the entry that takes over its
// tickets.
func (t *Table) Answers() []*peerv1.RememberedAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*peerv1.RememberedAnswer, 0, len(t.jobs))
	for id, j := range t.jobs {
		answer := j.Answer()
		if answer.GetState() == apiv1.JobState_JOB_STATE_RUNNING {
			continue
		}
		list = append(list, &peerv1.RememberedAnswer{
			Sequence:    id.Sequence,
			Answer:      answer,
			ExpiresMs:   uint32(max(0, time.Until(j.expires).Milliseconds())),
			Fingerprint: j.fingerprint,
		})
	}
	return list
}

// Restore adds the remembered answers of a stopped home.
func (t *Table) Restore(answers []*peerv1.RememberedAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range answers {
		id := ticket.ID{Home: t.home, Sequence: a.GetSequence()}
		j := newJob(id, a.GetFingerprint(), t.dispatcher)
		j.expires = time.Now().Add(time.Duration(a.GetExpiresMs()) * time.Millisecond)
		j.answer = a.GetAnswer()
		close(j.done)
		t.insert(j)
		t.chargeMemory(j)
	}
}
