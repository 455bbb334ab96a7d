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
	maxCancelled = 2000
)

// cancelJobsLocked cancels jobs on behalf of an entry, which may not hold them, and forwards the
// list to the other entries: that entry may have no link to the one that holds a job.
func (m *Manager) cancelJobsLocked(from *owner, jobs []string) {
	if len(jobs) == 0 {
		return
	}
	for _, o := range m.owners {
		if o != from && o.link != nil {
			o.link.Send(peer.Frame{CancelJobs: jobs})
		}
	}
	for _, job := range jobs {
		if m.cancelled.Add(job, m.clock()) {
			m.opts.Log.Info().Str("job", job).Str("entry", from.name).Msg("job cancelled")
		}
		m.cancelJobLocked(job)
	}
	from.link.Send(peer.Frame{CancelsRecorded: jobs})
}

// cancelJobLocked stops the runs of a job, whichever entry sent them.
func (m *Manager) cancelJobLocked(job string) {
	for key, r := range m.runs {
		if key.Job == job {
			m.stopLocked(r.attempt, "job cancelled")
		}
	}
}
