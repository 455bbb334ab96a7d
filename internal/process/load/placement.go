package load

import (
	"slices"

	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// Candidate is a target as seen by placement.
type Candidate struct {
	// Free is the free capacity as far as it is known.
	Free       task.Resources
	Capacity   task.Resources
	DataCentre string
	Labels     []string
	// Avoid is set if an earlier attempt of the task failed or was lost there.
	Avoid bool
	// DelayedShare is the share of starts there that are delayed in the network.
	DelayedShare float64
	// SameStepTasks is the number of tasks of the same step that run there.
	SameStepTasks int
	// Slowness is the score penalty for the target's speed, see SlownessPenalty.
	Slowness float64
	// Interference is the score penalty for what runs there, see InterferenceTable.
	Interference float64
}

// Requirements are what a task requires of its target, and its preferences.
type Requirements struct {
	Need         task.Resources
	Label        string
	DataRack     string
	MaxPerTarget int
	// DataCentre is the data centre of the entry.
	DataCentre string
}

// remoteRackPenalty is the score penalty for a rack other than that of the data, where
// the task runs longer, as a share of a target's capacity.
const remoteRackPenalty = 0.5

// delayPenalty is the score penalty for delayed starts, each of which makes its job
// late, as a share of a target's capacity.
const delayPenalty = 4

// localDataCentreBonus is the score bonus for targets in the entry's own data centre,
// for their lower latency and less traffic between data centres, as a share of a
// target's capacity. Work stays local until remote targets are emptier by more than
// this share.
const localDataCentreBonus = 0.3

// Fits reports whether the task can be started on the target now.
func (r *Requirements) Fits(c *Candidate) bool {
	return r.CanRun(c) && r.Need.FitsIn(c.Free) && (r.MaxPerTarget == 0 || c.SameStepTasks < r.MaxPerTarget)
}

// CanRun reports whether the target could run the task if it were empty.
func (r *Requirements) CanRun(c *Candidate) bool {
	return r.Need.FitsIn(c.Capacity) && (r.Label == "" || slices.Contains(c.Labels, r.Label))
}

// Score returns the preference for a target; higher is better. The target with the most
// free capacity comes first, which spreads a burst and limits how many tasks of a job
// one lost target affects. A target behind a lossy link or too slow for the job ranks lower, and
// one on which the task has failed ranks last.
func (r *Requirements) Score(c *Candidate) float64 {
	score := 1.0
	if c.Capacity.CPU > 0 {
		score = float64(c.Free.CPU-r.Need.CPU) / float64(c.Capacity.CPU)
	}
	if r.DataRack != "" && !slices.Contains(c.Labels, r.DataRack) {
		score -= remoteRackPenalty
	}
	if c.DataCentre == r.DataCentre {
		score += localDataCentreBonus
	}
	score -= delayPenalty*c.DelayedShare + c.Slowness + c.Interference
	if c.Avoid {
		score -= 2
	}
	return score
}
