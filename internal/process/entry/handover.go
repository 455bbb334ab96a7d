package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const (
	// handOverTimeout bounds the hand-over, which is not part of the stop timeout.
	handOverTimeout = 5 * time.Second
	// maxHandOverBytes limits the total size of the answers in one part of a hand-over.
	maxHandOverBytes = 1 << 20
	// closeDelay is the time before links are closed, for answers in transit.
	closeDelay = 50 * time.Millisecond
)

// drain finishes the jobs in progress, hands the tickets over and leaves the roster. Jobs
// still running after the stop timeout are answered with MayHaveRun.
func (e *Entry) drain(ctx context.Context) {
	e.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, e.settings.StopTimeout.Std())
	defer cancel()
	if e.ready.Load() {
		e.announceDraining(ctx)
		e.jobs.Close()
		e.finishJobs(ctx)
		e.handOver()
	}
	close(e.handedOver)
	idleCtx, cancelIdle := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancelIdle()
	e.waitIdle(idleCtx)
	e.unregister()
	time.Sleep(closeDelay)
	e.server.Close(idleCtx)
}

func (e *Entry) finishJobs(ctx context.Context) {
	for e.jobs.Running()+e.adoptions.runningJobs() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	const message = "the entry stopped before the job ended; submit it again"
	e.jobs.Abandon(apiv1.Reason_REASON_STOPPING, message)
	e.adoptions.abandon(apiv1.Reason_REASON_STOPPING, message)
}

// waitIdle waits until no calls are in progress or ctx ends.
func (e *Entry) waitIdle(ctx context.Context) {
	for e.callsInProgress.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}

// handOver records a successor for this entry's tickets in the store and sends it the
// remembered answers. If that fails, the tickets are adopted like those of a lost entry.
func (e *Entry) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	successor := e.chooseSuccessor()
	if successor == nil {
		return
	}
	if err := e.recordSuccessor(ctx, successor.GetIncarnation()); err != nil {
		e.log.Warn().Err(err).Msg("could not record a successor for the tickets")
		return
	}
	if err := e.sendAnswers(ctx, successor); err != nil {
		e.log.Warn().Err(err).Msg("could not hand over the remembered answers")
		return
	}
	e.log.Info().Str("successor", successor.GetName()).Msg("tickets handed over")
}

// chooseSuccessor returns a random entry that is not draining, preferably in the same data
// centre, or nil.
func (e *Entry) chooseSuccessor() *peerv1.RosterEntry {
	var candidates, others []*peerv1.RosterEntry
	for _, r := range e.roster.Load().Entries {
		switch {
		case r.GetIncarnation() == e.incarnation || r.GetDraining():
		case r.GetDataCentre() == e.settings.DataCentre:
			candidates = append(candidates, r)
		default:
			others = append(others, r)
		}
	}
	if len(candidates) == 0 {
		candidates = others
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[rand.IntN(len(candidates))]
}

// recordSuccessor stores the successor of this entry's tickets, unless they have an adopter. A
// write without an answer is repeated until ctx ends.
func (e *Entry) recordSuccessor(ctx context.Context, successor uint64) error {
	m := &peerv1.Adoption{Incarnation: e.incarnation, Adopter: successor, Generation: 1}
	data, err := proto.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "encode adoption")
	}
	change := store.SwapRequest{Key: adoptedKey(e.incarnation), Data: data}
	for {
		result, err := e.store.CompareAndSwap(ctx, change)
		switch store.ProofOf(change, result, err) {
		case verdict.ProvesExecuted:
			e.adoptions.applyStored(store.Value{Key: change.Key, Data: data})
			return nil
		case verdict.ProvesRejected:
			return eris.New("the tickets already have an adopter")
		}
		sleep(ctx, storeBackoff)
		if ctx.Err() != nil {
			return err
		}
	}
}

func (e *Entry) sendAnswers(ctx context.Context, successor *peerv1.RosterEntry) error {
	part, size := &peerv1.HandOver{Incarnation: e.incarnation}, 0
	for _, a := range e.jobs.Answers() {
		if size += proto.Size(a); size > maxHandOverBytes {
			if err := e.sendPart(ctx, successor, part); err != nil {
				return err
			}
			part, size = &peerv1.HandOver{Incarnation: e.incarnation}, proto.Size(a)
		}
		part.Answers = append(part.Answers, a)
	}
	part.Complete = true
	return e.sendPart(ctx, successor, part)
}

func (e *Entry) sendPart(ctx context.Context, successor *peerv1.RosterEntry, part *peerv1.HandOver) error {
	reply, err := e.peers.call(ctx, successor, &peerv1.Call{Request: &peerv1.Call_HandOver{HandOver: part}})
	if err != nil {
		return err
	}
	if reply.GetHandOver() == nil {
		return eris.New("successor refused the remembered answers")
	}
	return nil
}

// handleHandOver receives one part of a stopping entry's answers. After the last part this
// entry adopts the tickets.
func (e *Entry) handleHandOver(m *peerv1.HandOver) *peerv1.Reply {
	if e.draining.Load() {
		return &peerv1.Reply{Failure: errHomeLost("entry is stopping").Failure()}
	}
	answers := e.collectAnswers(m)
	if m.GetComplete() {
		e.adoptHandedOver(m.GetIncarnation(), answers)
	}
	return &peerv1.Reply{Response: &peerv1.Reply_HandOver{HandOver: &peerv1.HandOverAck{}}}
}

// collectAnswers adds a part to those received before and returns all answers so far.
func (e *Entry) collectAnswers(m *peerv1.HandOver) []*peerv1.RememberedAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.handedOverParts == nil {
		e.handedOverParts = make(map[uint64][]*peerv1.RememberedAnswer)
	}
	home := m.GetIncarnation()
	e.handedOverParts[home] = append(e.handedOverParts[home], m.GetAnswers()...)
	all := e.handedOverParts[home]
	if m.GetComplete() {
		delete(e.handedOverParts, home)
	}
	return all
}

func (e *Entry) adoptHandedOver(home uint64, answers []*peerv1.RememberedAnswer) {
	if e.adoptions.get(home) != nil {
		return
	}
	a := e.newAdoption(home, jobs.Adopted{Generation: 1, Records: jobs.NewAttemptRecords(home), HandedOver: true})
	a.table.Restore(answers)
	e.counters.Counter("homes_taken_over").Inc(1)
	e.log.Info().Uint64("incarnation", home).Int("answers", len(answers)).Msg("tickets taken over")
	e.startAdoption(a, false)
}
