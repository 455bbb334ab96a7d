package slopes

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	standinstore "github.com/rosemarybay/rosemarybay/internal/standin/store"
)

const (
	costStoreCalls    = "store calls/s"
	costIdleCallBytes = "TCP bytes a call, both ways"
	costChangeBytes   = "TCP bytes a change, both ways"
	entryCallsWindow  = 10 * time.Second
	watchPrefix       = "slopes/"
	watchCallWait     = 500 * time.Millisecond
	watchRounds       = 4
	headerTimeout     = time.Minute
)

// measureWatches measures the load on the store: the calls of idle entries, and the
// bytes of watches, which are calls that wait for a change.
func measureWatches(ctx context.Context, _ Options) ([]Row, error) {
	calls, err := measureSeries("idle entry", "store", []int{1, 3, 6}, func(s *series, n int) error {
		return measureStoreCalls(ctx, s, n)
	})
	if err != nil {
		return nil, err
	}
	bytes, err := measureSeries("waiting watch", "store", []int{10, 50, 200}, func(s *series, n int) error {
		return measureWatchBytes(ctx, s, n)
	})
	if err != nil {
		return nil, err
	}
	return append(calls, bytes...), nil
}

func measureStoreCalls(ctx context.Context, s *series, n int) error {
	f, err := startFleet(ctx, n, 0, fleet.Overrides{})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	before := sumCalls(f.Store)
	if err := sleep(ctx, entryCallsWindow); err != nil {
		return err
	}
	s.add(costStoreCalls, float64(n), float64(sumCalls(f.Store)-before)/entryCallsWindow.Seconds())
	return nil
}

// sumCalls returns the number of calls of all kinds that the store has received.
func sumCalls(s *standinstore.Server) int64 {
	sum := int64(0)
	for _, n := range s.Calls() {
		sum += n
	}
	return sum
}

// measureWatchBytes measures n watches first over watchRounds rounds that end without a
// change, and then over one change.
func measureWatchBytes(ctx context.Context, s *series, n int) error {
	server := standinstore.New()
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen for store")
	}
	counting := &countingListener{Listener: listener}
	h := &http.Server{Handler: server.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = h.Serve(counting) }()
	defer func() { _ = h.Close() }()
	url := "http://" + listener.Addr().String()
	watchers := make([]store.Store, n)
	for i := range watchers {
		watchers[i] = store.NewClient(url, nil)
	}
	for range watchRounds {
		if err := watchAll(ctx, watchers, 0); err != nil {
			return err
		}
	}
	s.add(costIdleCallBytes, float64(n), float64(counting.bytes.Load())/watchRounds)
	before := counting.bytes.Load()
	time.AfterFunc(watchCallWait/2, func() {
		change := store.SwapRequest{Key: watchPrefix + "object", Data: []byte(strings.Repeat("x", objectSize))}
		_, _ = watchers[0].CompareAndSwap(ctx, change)
	})
	if err := watchAll(ctx, watchers, 0); err != nil {
		return err
	}
	s.add(costChangeBytes, float64(n), float64(counting.bytes.Load()-before))
	return nil
}

// objectSize is the approximate size in bytes of a configuration object with its history.
const objectSize = 400

// watchAll runs one watch call per watcher at once and waits for all of them.
func watchAll(ctx context.Context, watchers []store.Store, after uint64) error {
	var pending sync.WaitGroup
	failed := make(chan error, len(watchers))
	for _, w := range watchers {
		pending.Go(func() {
			if _, err := w.Watch(ctx, watchPrefix, after, watchCallWait); err != nil {
				failed <- err
			}
		})
	}
	pending.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// countingListener counts the payload bytes of its TCP connections in both directions,
// without TCP and IP headers.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

// countingConn is a connection of a countingListener.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
