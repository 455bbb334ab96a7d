// Package bound says what a dispatcher with a perfect view could have served on a day of
// the users' bench, from the day's report and its site file, and what the rest was lost
// to. It bounds from above: a perfect dispatcher loses what runs on, or arrives at, a
// machine that is away, and what the targets have no room for, and nothing else.
package bound

import (
	"math"
	"time"
)

// Day is a day that was played.
type Day struct {
	Name    string
	Windows []Window
	Classes []Class
	// Away are the times in which an entry did not run.
	Away []Away
	// Entries is the number of entries.
	Entries int
	// Capacity is that of all targets, in cores of a target of speed 1.
	Capacity float64
	// Reduced are the times in which a share of the capacity was missing.
	Reduced []Reduced
	// Weights are those of the whole day, its two worst windows and its worst class.
	Weights Weights
	// Price is what the day cost beside what was not served, Worth what it was worth.
	Price, Worth float64
	// MachinePrice is the part of Price that no dispatcher can change.
	MachinePrice float64
}

// Window is a part of the day.
type Window struct {
	Start                                time.Duration
	Asked, InTime, Late, Refused, Failed int
	// Worth is the share of the credit asked for that was earned.
	Worth float64
}

// Class is a kind of job.
type Class struct {
	Name string
	// Share is that of its jobs, Credit the credit of one.
	Share, Credit float64
	Run           time.Duration
	// Work is that of a job, in core seconds on a target of speed 1.
	Work float64
}

// Away is a time in which one entry did not run.
type Away struct{ From, To time.Duration }

// Reduced is a time in which a share of the capacity was missing.
type Reduced struct {
	From, To time.Duration
	Share    float64
}

// Weights are those of the parts of a day's worth.
type Weights struct{ Day, Windows, Class float64 }

// Row is the bound of one window, as shares of the credit asked for in it.
type Row struct {
	Window
	// Outage is lost to entries that were away, Room to want of it.
	Outage, Room float64
	// Bound is what is left, Gap what of that was not earned.
	Bound, Gap float64
}

const windowLength = 2 * time.Second

// Result is the bound of a day.
type Result struct {
	Rows []Row
	// Served is the bound of the share of the credit that is earned in the whole day,
	// Worst that of its two worst windows, and Worth that of the day's worth.
	Served, Worst, Worth float64
}

// Of returns the bound of a day.
func Of(d *Day) Result {
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
	r.Served = earned / math.Max(asked, 1)
	r.Worst = (lowest[0] + lowest[1]) / 2
	r.Worth = d.Weights.Day*r.Served + d.Weights.Windows*r.Worst + d.Weights.Class*r.Served - d.MachinePrice
	return r
}

func (d *Day) row(w Window) Row {
	row := Row{Window: w}
	row.Outage = d.outage(w)
	served := 1 - row.Outage
	row.Room = served * (1 - d.roomShare(w))
	// What was earned is not above the bound, but for the luck of a few jobs.
	row.Bound = math.Max(served-row.Room, math.Min(w.Worth, 1))
	row.Gap = math.Max(row.Bound-w.Worth, 0)
	return row
}

// outage returns the share of a window's credit that arrives at an entry which is away,
// or runs when it goes.
func (d *Day) outage(w Window) float64 {
	var lost, all float64
	for _, c := range d.Classes {
		credit := c.Share * c.Credit
		all += credit
		for _, a := range d.Away {
			lost += credit * overlap(w.Start, a.From-c.Run, a.To) / float64(max(d.Entries, 1))
		}
	}
	if all == 0 {
		return 0
	}
	return math.Min(lost/all, 1)
}

// roomShare returns the share of a window's work for which there is room.
func (d *Day) roomShare(w Window) float64 {
	capacity := d.Capacity
	for _, r := range d.Reduced {
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

// overlap returns the share of the window from start that lies between from and to.
func overlap(start, from, to time.Duration) float64 {
	length := min(to, start+windowLength) - max(from, start)
	return math.Max(float64(length)/float64(windowLength), 0)
}
