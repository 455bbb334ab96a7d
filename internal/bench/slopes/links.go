package slopes

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
)

// Names of costs, with their units of measure, as printed in reports.
const (
	costProcessor     = "processor, us/s"
	costMemory        = "memory, bytes"
	costDatagrams     = "datagrams/s, both ways"
	costWireBytes     = "wire bytes/s, both ways"
	costControlFrames = "control frames/s, both ways"
	costControlBytes  = "control bytes/s, both ways"
	costHandshake     = "handshake processor, us"
	costOpening       = "time to open, us"
)

// Phases of an idle measurement.
const (
	settleTime = 2 * time.Second
	// mtuProbeTime is how long path MTU discovery sends larger datagrams on new links.
	mtuProbeTime = 12 * time.Second
	idleWindow   = 4 * time.Second
)

// unlimitedHandshakeRate is so high that no handshake is refused, so that the time to
// open links depends on signatures and not on rate limiting.
const unlimitedHandshakeRate = 1_000_000

// linkCounts returns the numbers of links in the runs of a slope.
func linkCounts() []int { return []int{100, 300, 1000} }

// measureLinks measures idle links without a target, with keep-alives as between
// entries.
func measureLinks(ctx context.Context, _ Options) ([]Row, error) {
	return measureIdle(ctx, "idle link", "entry", 0)
}

// measureTargets measures idle links that announce a target and request permits with
// their heartbeats.
func measureTargets(ctx context.Context, o Options) ([]Row, error) {
	return measureIdle(ctx, "idle announced target", "agent", o.Heartbeat)
}

func measureIdle(ctx context.Context, unit, peerRole string, heartbeat time.Duration) ([]Row, error) {
	return measureSeries(unit, "entry", linkCounts(), func(s *series, n int) error {
		return measureIdleAt(ctx, s, peerRole, heartbeat, n)
	})
}

// measureIdleAt opens n links and then measures the idle entry. Certificates are made
// before the measurement begins.
func measureIdleAt(ctx context.Context, s *series, peerRole string, heartbeat time.Duration, n int) error {
	f, err := startFleet(ctx, 1, 0, fleet.Overrides{HandshakeRate: unlimitedHandshakeRate})
	if err != nil {
		return err
	}
	defer f.Close()
	g, err := newLinkGroup(f.PeerAddress(0), heartbeat)
	if err != nil {
		return err
	}
	defer g.close()
	configs, err := clientConfigs(f, peerRole, n)
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
	if err := sleep(ctx, mtuProbeTime); err != nil {
		return err
	}
	if err := s.measureIdleWindow(ctx, f, g, units); err != nil {
		return err
	}
	if openCount := g.openCount(); openCount < n {
		return eris.Errorf("%d of %d links closed during the measurement", n-openCount, n)
	}
	return nil
}

// measureIdleWindow measures the rates and the memory of an idle entry over idleWindow.
func (s *series) measureIdleWindow(ctx context.Context, f *fleet.Fleet, g *linkGroup, units float64) error {
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
	if err := sleep(ctx, idleWindow); err != nil {
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
	frames, frameBytes := controlTraffic(framesBefore, framesAfter)
	s.add(costProcessor, units, micros(after.cpu-before.cpu)/seconds)
	s.add(costMemory, units, float64(after.memory))
	s.add(costDatagrams, units, float64(datagrams)/seconds)
	s.add(costWireBytes, units, float64(bytes)/seconds)
	s.add(costControlFrames, units, frames/seconds)
	s.add(costControlBytes, units, frameBytes/seconds)
	return nil
}

// controlTraffic returns the control frames and their bytes, sent and received, between
// two readings of the metrics.
func controlTraffic(before, after map[string]int64) (frames, bytes float64) {
	return counterDifference(before, after, "link_control", "frames"), counterDifference(before, after, "link_control", "bytes")
}

// workTraffic returns the same for work frames: starts, results and calls.
func workTraffic(before, after map[string]int64) (frames, bytes float64) {
	return counterDifference(before, after, "link_work", "frames"), counterDifference(before, after, "link_work", "bytes")
}

// counterDifference adds up the growth of a link counter in both directions.
func counterDifference(before, after map[string]int64, kind, quantity string) float64 {
	sum := int64(0)
	for _, direction := range []string{"_sent_", "_received_"} {
		name := kind + direction + quantity
		sum += after[name] - before[name]
	}
	return float64(sum)
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
