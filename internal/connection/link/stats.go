package link

import (
	"errors"

	gometrics "github.com/rcrowley/go-metrics"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// Stats counts the frames and bytes of all links of a process, work apart from
// control. Starts and results are work.
type Stats struct {
	workSent, workReceived       traffic
	controlSent, controlReceived traffic
	malformed                    gometrics.Counter
}

type traffic struct {
	frames, bytes gometrics.Counter
}

// NewStats registers the counters of links.
func NewStats(r gometrics.Registry) *Stats {
	return &Stats{
		workSent:        newTraffic(r, "link_work_sent"),
		workReceived:    newTraffic(r, "link_work_received"),
		controlSent:     newTraffic(r, "link_control_sent"),
		controlReceived: newTraffic(r, "link_control_received"),
		malformed:       gometrics.GetOrRegisterCounter("link_frames_malformed", r),
	}
}

func newTraffic(r gometrics.Registry, name string) traffic {
	return traffic{
		frames: gometrics.GetOrRegisterCounter(name+"_frames", r),
		bytes:  gometrics.GetOrRegisterCounter(name+"_bytes", r),
	}
}

func (t traffic) add(size int) {
	t.frames.Inc(1)
	t.bytes.Inc(int64(size))
}

func (s *Stats) sent(f *peerv1.Frame, size int) {
	if isWork(f) {
		s.workSent.add(size)
		return
	}
	s.controlSent.add(size)
}

func (s *Stats) received(f *peerv1.Frame, size int) {
	if isWork(f) {
		s.workReceived.add(size)
		return
	}
	s.controlReceived.add(size)
}

// failed counts the error of a read; the end of a stream is none of its peer's.
func (s *Stats) failed(err error) {
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
