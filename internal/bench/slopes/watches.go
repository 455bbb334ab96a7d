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
	costStoreCalls   = "store calls/s"
	costCallBytes    = "TCP bytes a call, both ways"
	costAnswerBytes  = "TCP bytes a change, both ways"
	entryCallsWindow = 10 * time.Second
	watchPrefix      = "slopes/"
	watchCallWait    = 500 * time.Millisecond
	watchRounds      = 4
	headerTimeout    = time.Minute
)

// measureWatches measures what the store bears: the calls of idle entries, and
// the bytes of waiting calls.
func measureWatches(ctx context.Context, _ Options) ([]Row, error) {
	calls := newSeries("idle entry", "store")
	for _, n := range []int{1, 3, 6} {
		if err := measureStoreCalls(ctx, calls, n); err != nil {
			return nil, err
		}
	}
	bytes := newSeries("waiting watch", "store")
	for _, n := range []int{10, 50, 200} {
		if err := measureWatchBytes(ctx, bytes, n); err != nil {
			return nil, err
		}
	}
	return append(calls.rows(), bytes.rows()...), nil
}

func measureStoreCalls(ctx context.Context, s *series, n int) error {
	f, err := startFleet(ctx, n, 0, fleet.Tune{})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	before := sumCalls(f.Store)
	if err := pause(ctx, entryCallsWindow); err != nil {
		return err
	}
	s.add(costStoreCalls, float64(n), float64(sumCalls(f.Store)-before)/entryCallsWindow.Seconds())
	return nil
}

func sumCalls(s *standinstore.Server) int64 {
	sum := int64(0)
	for _, n := range s.Calls() {
		sum += n
	}
	return sum
}

// measureWatchBytes holds n watches for a few rounds without changes, and then
// through one change.
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
	s.add(costCallBytes, float64(n), float64(counting.bytes.Load())/watchRounds)
	before := counting.bytes.Load()
	time.AfterFunc(watchCallWait/2, func() {
		change := store.SwapRequest{Key: watchPrefix + "object", Data: []byte(strings.Repeat("x", objectSize))}
		_, _ = watchers[0].CompareAndSwap(ctx, change)
	})
	if err := watchAll(ctx, watchers, 0); err != nil {
		return err
	}
	s.add(costAnswerBytes, float64(n), float64(counting.bytes.Load()-before))
	return nil
}

// objectSize is about the size of a configuration object with its history.
const objectSize = 400

func watchAll(ctx context.Context, watchers []store.Store, after uint64) error {
	var waits sync.WaitGroup
	failed := make(chan error, len(watchers))
	for _, w := range watchers {
		waits.Go(func() {
			if _, err := w.Watch(ctx, watchPrefix, after, watchCallWait); err != nil {
				failed <- err
			}
		})
	}
	waits.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// countingListener counts the bytes of its connections, headers of TCP and IP
// left out.
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
	return &countedStream{Conn: conn, bytes: &l.bytes}, nil
}

type countedStream struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countedStream) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedStream) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
