package link

import (
	"errors"

	gometrics "github.com/rcrowley/go-metrics"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// Stats counts the frames and bytes of all links of a process, separately for work and
// control traffic. Starts, results, calls and replies are work.
type Stats struct {
	workSent, workReceived       trafficCounters
	controlSent, controlReceived trafficCounters
	malformed                    gometrics.Counter
}

type trafficCounters struct {
	frames, bytes gometrics.Counter
}

// NewStats registers the link counters in r.
func NewStats(r gometrics.Registry) *Stats {
	return &Stats{
		workSent:        newTrafficCounters(r, "link_work_sent"),
		workReceived:    newTrafficCounters(r, "link_work_received"),
		controlSent:     newTrafficCounters(r, "link_control_sent"),
		controlReceived: newTrafficCounters(r, "link_control_received"),
		malformed:       gometrics.GetOrRegisterCounter("link_frames_malformed", r),
	}
}

func newTrafficCounters(r gometrics.Registry, name string) trafficCounters {
	return trafficCounters{
		frames: gometrics.GetOrRegisterCounter(name+"_frames", r),
		bytes:  gometrics.GetOrRegisterCounter(name+"_bytes", r),
	}
}

func (t trafficCounters) add(size int) {
	t.frames.Inc(1)
	t.bytes.Inc(int64(size))
}

func (s *Stats) recordSent(f *peerv1.Frame, size int) {
	if isWork(f) {
		s.workSent.add(size)
		return
	}
	s.controlSent.add(size)
}

func (s *Stats) recordReceived(f *peerv1.Frame, size int) {
	if isWork(f) {
		s.workReceived.add(size)
		return
	}
	s.controlReceived.add(size)
}

// recordReadError counts err if it is ErrMalformed. The normal end of a stream is not counted.
func (s *Stats) recordReadError(err error) {
	if errors.Is(err, ErrMalformed) {
		s.malformed.Inc(1)
	}
}

func isWork(f *peerv1.Frame) bool {
	switch f.GetBody().(type) {
	case *peerv1.Frame_Start, *peerv1.Frame_Result, *peerv1.Frame_Call, *peerv1.Frame_Reply:
		return true
	default:
		return false
	}
}
