package load

import (
	"slices"

	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// Candidate is a target as placement sees it.
type Candidate struct {
	// Free is the room that is left as far as is known.
	Free       task.Resources
	Capacity   task.Resources
	DataCentre string
	Labels     []string
	// Avoid is set when an earlier attempt of the task went wrong there.
	Avoid bool
	// Delayed is the share of the starts there that are held up on the way.
	Delayed float64
	// OfStep counts the tasks of the same step that run there.
	OfStep int
}

// Wish is what a task asks of its target.
type Wish struct {
	Need         task.Resources
	Label        string
	DataRack     string
	MaxPerTarget int
	// DataCentre is that of the entry.
	DataCentre string
}

// remoteRackCost stands for the longer run on another rack than that of the
// data, as a share of a target's room.
const remoteRackCost = 0.5

// delayedCost stands for the lateness of a job with a start that is held up, as a share
// of a target's room.
const delayedCost = 4

// nearGain stands for the shorter way within a data centre, and for the bytes between
// data centres, as a share of a target's room: work stays near until targets elsewhere
// are so much emptier.
const nearGain = 0.3

// Fits reports whether a task may be started on a target now.
func (w *Wish) Fits(c *Candidate) bool {
	return w.MayRun(c) && w.Need.FitsIn(c.Free) && (w.MaxPerTarget == 0 || c.OfStep < w.MaxPerTarget)
}

// MayRun reports whether a target could run a task if it were empty.
func (w *Wish) MayRun(c *Candidate) bool {
	return w.Need.FitsIn(c.Capacity) && (w.Label == "" || slices.Contains(c.Labels, w.Label))
}

// Score returns the preference for a target: the larger the better. The emptiest
// target comes first, so that a burst is spread and a loss hits few tasks of a
// job; one behind a link that loses packets comes later, and one on which the task
// went wrong last.
func (w *Wish) Score(c *Candidate) float64 {
	score := 1.0
	if c.Capacity.CPU > 0 {
		score = float64(c.Free.CPU-w.Need.CPU) / float64(c.Capacity.CPU)
	}
	if w.DataRack != "" && !slices.Contains(c.Labels, w.DataRack) {
		score -= remoteRackCost
	}
	if c.DataCentre == w.DataCentre {
		score += nearGain
	}
	score -= delayedCost * c.Delayed
	if c.Avoid {
		score -= 2
	}
	return score
}
