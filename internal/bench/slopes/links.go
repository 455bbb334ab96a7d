package slopes

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
)

// Names of costs, with their units of measure.
const (
	costProcessor     = "processor, us/s"
	costMemory        = "memory, bytes"
	costDatagrams     = "datagrams/s, both ways"
	costWire          = "wire bytes/s, both ways"
	costControlFrames = "control frames/s, both ways"
	costControlBytes  = "control bytes/s, both ways"
	costHandshake     = "handshake processor, us"
	costOpening       = "time to open, us"
)

// Windows of an idle measurement.
const (
	settleTime = 2 * time.Second
	// probeTime is the time in which new links try larger datagrams.
	probeTime  = 12 * time.Second
	idleWindow = 4 * time.Second
)

// unpaced is a handshake rate that refuses none, so that only signatures count.
const unpaced = 1_000_000

func linkSizes() []int { return []int{100, 300, 1000} }

// measureLinks measures links without a target, kept open as between entries.
func measureLinks(ctx context.Context, _ Options) ([]Row, error) {
	return measureIdle(ctx, "idle link", "entry", 0)
}

// measureTargets measures links that announce a target and ask for permits.
func measureTargets(ctx context.Context, o Options) ([]Row, error) {
	return measureIdle(ctx, "idle announced target", "agent", o.Heartbeat)
}

func measureIdle(ctx context.Context, unit, peerRole string, heartbeat time.Duration) ([]Row, error) {
	s := newSeries(unit, "entry")
	for _, n := range linkSizes() {
		if err := measureIdleAt(ctx, s, peerRole, heartbeat, n); err != nil {
			return nil, err
		}
	}
	return s.rows(), nil
}

func measureIdleAt(ctx context.Context, s *series, peerRole string, heartbeat time.Duration, n int) error {
	f, err := startFleet(ctx, 1, 0, fleet.Tune{HandshakeRate: unpaced})
	if err != nil {
		return err
	}
	defer f.Close()
	g, err := newGroup(f.PeerAddress(0), heartbeat)
	if err != nil {
		return err
	}
	defer g.close()
	configs, err := certificates(f, peerRole, n)
	if err != nil {
		return err
	}
	before, err := readUsage(f.Entries[0].PID())
	if err != nil {
		return err
	}
	if err := g.openAll(ctx, peerRole, configs); err != nil {
		return err
	}
	opened, err := readUsage(f.Entries[0].PID())
	if err != nil {
		return err
	}
	units := float64(n)
	s.add(costHandshake, units, micros(opened.cpu-before.cpu))
	s.add(costOpening, units, micros(opened.at.Sub(before.at)))
	if err := pause(ctx, probeTime); err != nil {
		return err
	}
	if err := s.window(ctx, f, g, units); err != nil {
		return err
	}
	if alive := g.alive(); alive < n {
		return eris.Errorf("%d of %d links have closed", n-alive, n)
	}
	return nil
}

// window measures an idle entry for a time.
func (s *series) window(ctx context.Context, f *fleet.Fleet, g *group, units float64) error {
	entry := f.Entries[0]
	before, err := readUsage(entry.PID())
	if err != nil {
		return err
	}
	framesBefore, err := f.Scrape(entry)
	if err != nil {
		return err
	}
	datagrams, bytes := g.conn.datagrams.Load(), g.conn.bytes.Load()
	if err := pause(ctx, idleWindow); err != nil {
		return err
	}
	datagrams, bytes = g.conn.datagrams.Load()-datagrams, g.conn.bytes.Load()-bytes
	framesAfter, err := f.Scrape(entry)
	if err != nil {
		return err
	}
	after, err := readUsage(entry.PID())
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	frames, frameBytes := control(framesBefore, framesAfter)
	s.add(costProcessor, units, micros(after.cpu-before.cpu)/seconds)
	s.add(costMemory, units, float64(after.memory))
	s.add(costDatagrams, units, float64(datagrams)/seconds)
	s.add(costWire, units, float64(bytes)/seconds)
	s.add(costControlFrames, units, frames/seconds)
	s.add(costControlBytes, units, frameBytes/seconds)
	return nil
}

// control returns the control frames and bytes between two readings, both ways.
func control(before, after map[string]int64) (frames, bytes float64) {
	return difference(before, after, "link_control", "frames"), difference(before, after, "link_control", "bytes")
}

// work returns the same for starts, results and calls.
func work(before, after map[string]int64) (frames, bytes float64) {
	return difference(before, after, "link_work", "frames"), difference(before, after, "link_work", "bytes")
}

func difference(before, after map[string]int64, kind, of string) float64 {
	sum := int64(0)
	for _, direction := range []string{"_sent_", "_received_"} {
		name := kind + direction + of
		sum += after[name] - before[name]
	}
	return float64(sum)
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
