// Package bound computes an upper bound on the credit that a perfect dispatcher could have
// earned on a day of the users' bench, and the causes of the rest of the loss. Its input
// comes from the day's report and site file. A perfect dispatcher loses only the jobs that
// arrive at or run on a machine that is down, and the work that exceeds the targets'
// capacity.
package bound

import (
	"math"
	"time"
)

// Day is the description and the results of a day that was run.
type Day struct {
	Name    string
	Windows []Window
	Classes []Class
	// Outages are the outages of entries.
	Outages []Outage
	// Entries is the number of entries.
	Entries int
	// Capacity is the capacity of all targets, in cores of a target of speed 1.
	Capacity float64
	// CapacityReductions are the times of reduced target capacity.
	CapacityReductions []CapacityReduction
	// Weights tells how the day's score combines the shares of credit that were earned.
	Weights Weights
	// Price is the cost charged for the day, apart from the credit of jobs not served.
	// Score is the score that the users' report gives for the day.
	Price, Score float64
	// MachinePrice is the part of Price that does not depend on the dispatcher.
	MachinePrice float64
}

// Window is a part of the day, windowLength long, with the outcomes of the jobs in it.
type Window struct {
	Start                                time.Duration
	Asked, InTime, Late, Refused, Failed int
	// Worth is the share of the requested credit that was earned.
	Worth float64
}

// Class is a class of jobs.
type Class struct {
	Name string
	// Share is the share of all jobs that are of this class; Credit is the credit of one.
	Share, Credit float64
	// RunTime is the run time of a job.
	RunTime time.Duration
	// Work is the work of a job, in core seconds on a target of speed 1.
	Work float64
}

// Outage is an outage of one entry.
type Outage struct{ From, To time.Duration }

// CapacityReduction is a time of reduced target capacity.
type CapacityReduction struct {
	From, To time.Duration
	// Share is the missing share of the capacity.
	Share float64
}

// Weights are the factors by which a day's score counts the share of credit earned in the
// whole day, in its two worst windows and in its worst class.
type Weights struct{ Day, Windows, Class float64 }

// Row is one window with the upper bound of the credit that any dispatcher could have
// earned in it. Its figures are shares of the credit requested in the window.
type Row struct {
	Window
	// OutageLoss is lost to outages of entries, CapacityLoss to insufficient capacity of
	// the targets.
	OutageLoss, CapacityLoss float64
	// Bound is the upper bound of the earned share, Gap the part of it not earned.
	Bound, Gap float64
}

const windowLength = 2 * time.Second

// Result holds upper bounds of the credit and the score that any dispatcher could have
// reached on a day.
type Result struct {
	Rows []Row
	// ServedBound is the upper bound of the credit earned in the whole day, as a share of
	// the credit requested; WorstWindowsBound is the mean upper bound of the two windows
	// where it is lowest. ScoreBound is the upper bound of the day's score.
	ServedBound, WorstWindowsBound, ScoreBound float64
}

// Compute returns the upper bounds of the credit and the score of a day.
func Compute(d *Day) Result {
	var r Result
	var asked, earned float64
	lowest := [2]float64{1, 1}
	for _, w := range d.Windows {
		row := d.row(w)
		r.Rows = append(r.Rows, row)
		asked += float64(w.Asked)
		earned += float64(w.Asked) * row.Bound
		switch {
		case row.Bound < lowest[0]:
			lowest = [2]float64{row.Bound, lowest[0]}
		case row.Bound < lowest[1]:
			lowest[1] = row.Bound
		}
	}
	r.ServedBound = earned / math.Max(asked, 1)
	r.WorstWindowsBound = (lowest[0] + lowest[1]) / 2
	r.ScoreBound = d.Weights.Day*r.ServedBound + d.Weights.Windows*r.WorstWindowsBound + d.Weights.Class*r.ServedBound - d.MachinePrice
	return r
}

func (d *Day) row(w Window) Row {
	row := Row{Window: w}
	row.OutageLoss = d.outageShare(w)
	served := 1 - row.OutageLoss
	row.CapacityLoss = served * (1 - d.capacityShare(w))
	// The bound uses mean values, so a window may earn more when a few jobs happen to
	// differ from the mean. The bound is then raised to what was earned.
	row.Bound = math.Max(served-row.CapacityLoss, math.Min(w.Worth, 1))
	row.Gap = math.Max(row.Bound-w.Worth, 0)
	return row
}

// outageShare returns the share of a window's credit whose jobs arrive at an entry during
// its outage or still run when the outage begins.
func (d *Day) outageShare(w Window) float64 {
	var lost, all float64
	for _, c := range d.Classes {
		credit := c.Share * c.Credit
		all += credit
		for _, a := range d.Outages {
			lost += credit * overlap(w.Start, a.From-c.RunTime, a.To) / float64(max(d.Entries, 1))
		}
	}
	if all == 0 {
		return 0
	}
	return math.Min(lost/all, 1)
}

// capacityShare returns the share of a window's work that fits the targets' capacity.
func (d *Day) capacityShare(w Window) float64 {
	capacity := d.Capacity
	for _, r := range d.CapacityReductions {
		capacity -= d.Capacity * r.Share * overlap(w.Start, r.From, r.To)
	}
	var work float64
	for _, c := range d.Classes {
		work += c.Share * c.Work
	}
	wanted := work * float64(w.Asked) / windowLength.Seconds()
	if wanted <= 0 || capacity >= wanted {
		return 1
	}
	return math.Max(capacity, 0) / wanted
}

// overlap returns the share of the window at start that lies between from and to.
func overlap(start, from, to time.Duration) float64 {
	length := min(to, start+windowLength) - max(from, start)
	return math.Max(float64(length)/float64(windowLength), 0)
}
