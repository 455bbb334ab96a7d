// Package uptime measures the time since a process began, including the time in which its
// machine was suspended. The clock of package time stands still then, so that a lease measured
// with it seems to be valid after it has run out.
package uptime

import (
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is the Linux clock that also counts while the machine is suspended.
const clockBoottime = 7

// SinceBoot returns the time since the machine was started, and false if it cannot be read.
func SinceBoot() (time.Duration, bool) {
	var now syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&now)), 0)
	return time.Duration(now.Nano()), errno == 0
}

// Source returns a time that also counts while the machine is suspended, and false if it cannot
// be read.
type Source func() (time.Duration, bool)

// Clock measures the time since it was created. It is safe for concurrent use.
type Clock struct {
	source Source
	epoch  time.Time
	// sourceEpoch is the time of source at epoch.
	sourceEpoch time.Duration
	// suspended is the time that the clock of package time has not counted, as last measured.
	suspended atomic.Int64
}

// New returns a clock that begins now. Without a source it does not count suspended time.
func New(source Source) *Clock {
	c := &Clock{source: source, epoch: time.Now()}
	if source != nil {
		now, ok := source()
		c.sourceEpoch = now
		if !ok {
			c.source = nil
		}
	}
	return c
}

// Now returns the time since the clock was created, with the suspended time up to the latest
// Measure.
func (c *Clock) Now() time.Duration {
	return time.Since(c.epoch) + time.Duration(c.suspended.Load())
}

// Suspended returns the suspended time up to the latest Measure.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// At returns a lower bound of what Now returned at a time: it includes no suspended time.
func (c *Clock) At(at time.Time) time.Duration { return at.Sub(c.epoch) }

// Measure measures the suspended time. It is called before a permission is checked that may have
// run out meanwhile.
func (c *Clock) Measure() {
	if c.source == nil {
		return
	}
	now, ok := c.source()
	if !ok {
		return
	}
	// A delay between the two readings makes the result lower, never higher.
	suspended := int64(now - c.sourceEpoch - time.Since(c.epoch))
	for {
		known := c.suspended.Load()
		if suspended <= known || c.suspended.CompareAndSwap(known, suspended) {
			return
		}
	}
}
