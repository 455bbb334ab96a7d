package runs

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

const (
	// cancelRetention is how long an agent remembers that a job was cancelled. A request of the
	// job may still arrive at an entry some seconds after its response.
	cancelRetention = 30 * time.Second
	// maxCancelled bounds the cancelled jobs remembered.
	maxCancelled = 20_000
	// maxCancelledInHello bounds those listed in the first frame of a link, whose size is limited.
	maxCancelledInHello = 5000
)

// cancelJobsLocked cancels jobs on behalf of an entry, which may not hold them, and forwards those
// that it did not know to its other entries, which do the same: an agent has links to some of the
// entries only, and the one that holds a job may be another.
func (m *Manager) cancelJobsLocked(from *owner, jobs []string) {
	if len(jobs) == 0 {
		return
	}
	var added []string
	for _, job := range jobs {
		if m.cancelled.Add(job, m.clock()) {
			added = append(added, job)
			m.opts.Log.Info().Str("job", job).Str("entry", from.name).Msg("job cancelled")
		}
		m.cancelJobLocked(job)
	}
	for _, o := range m.owners {
		if o != from && o.link != nil && len(added) > 0 {
			o.link.Send(peer.Frame{CancelJobs: added})
		}
	}
	from.link.Send(peer.Frame{CancelsRecorded: jobs})
}

// cancelledForHelloLocked returns the jobs cancelled last.
func (m *Manager) cancelledForHelloLocked() []string {
	all := m.cancelled.All(m.clock())
	return all[max(len(all)-maxCancelledInHello, 0):]
}

// cancelJobLocked stops the runs of a job, whichever entry sent them.
func (m *Manager) cancelJobLocked(job string) {
	m.refuseHeldLocked(peer.RefusalCancelled, func(h *heldStart) bool { return h.start.Attempt.Key.Job == job })
	for key, r := range m.runs {
		if key.Job == job {
			m.stopLocked(r.attempt, "job cancelled")
		}
	}
}
