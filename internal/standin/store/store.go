// Package store simulates the platform's key-value service, with injected faults.
package store

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	storev1 "github.com/rosemarybay/rosemarybay/api/store/v1"
	"github.com/rosemarybay/rosemarybay/api/store/v1/storev1connect"
)

// Mode is an injected fault of the store, or Up.
type Mode int

// The modes.
const (
	Up Mode = iota
	// Down fails each call with Unavailable.
	Down
	// Slow delays each response by SlowDelay.
	Slow
	// LoseAnswers applies each CompareAndSwap but responds with Unavailable.
	LoseAnswers
	// SilentWatch never responds to a Watch; all other calls work.
	SilentWatch
)

// SlowDelay is added to each call in mode Slow.
const SlowDelay = 2 * time.Second

// maxChanges is the number of changes kept for watches.
const maxChanges = 100_000

const leaseScanInterval = 50 * time.Millisecond

// Server is the simulated store. Create it with New.
type Server struct {
	mu       sync.Mutex
	mode     Mode
	revision uint64
	values   map[string]*storev1.KeyValue
	leaseOf  map[string]uint64
	leases   map[uint64]*lease
	log      []*storev1.KeyValue
	dropped  uint64 // highest revision removed from log
	changed  chan struct{}
	calls    map[string]int64
	stop     chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store and starts its lease expiry; call Close to stop that.
func New() *Server {
	s := &Server{
		values:  make(map[string]*storev1.KeyValue),
		leaseOf: make(map[string]uint64),
		leases:  make(map[uint64]*lease),
		changed: make(chan struct{}),
		calls:   make(map[string]int64),
		stop:    make(chan struct{}),
	}
	go s.expireLeases()
	return s
}

// Handler returns the HTTP handler of the store.
func (s *Server) Handler() http.Handler {
	_, handler := storev1connect.NewStoreServiceHandler(s)
	return handler
}

// Close stops the store.
func (s *Server) Close() { close(s.stop) }

// SetMode sets the fault. Leaving Down restarts all leases with their full TTL: the service
// itself expires leases, so none expires while it is down.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == Down && m != Down {
		now := time.Now()
		for _, l := range s.leases {
			l.expires = now.Add(l.ttl)
		}
	}
	s.mode = m
}

// Calls returns the number of calls of each method.
func (s *Server) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.calls))
	for method, n := range s.calls {
		out[method] = n
	}
	return out
}

var errDown = connect.NewError(connect.CodeUnavailable, errors.New("store is down"))

// begin counts a call and applies the fault. It reports whether the call's response is to be
// lost.
func (s *Server) begin(ctx context.Context, method string) (loseAnswer bool, err error) {
	s.mu.Lock()
	s.calls[method]++
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case Down:
		return false, errDown
	case Slow:
		select {
		case <-time.After(SlowDelay):
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
	return mode == LoseAnswers, nil
}

// Get implements the store service.
func (s *Server) Get(ctx context.Context, r *connect.Request[storev1.GetRequest]) (*connect.Response[storev1.GetResponse], error) {
	if _, err := s.begin(ctx, "Get"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&storev1.GetResponse{Value: s.values[r.Msg.GetKey()], Revision: s.revision}), nil
}

// List implements the store service.
func (s *Server) List(ctx context.Context, r *connect.Request[storev1.ListRequest]) (*connect.Response[storev1.ListResponse], error) {
	if _, err := s.begin(ctx, "List"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &storev1.ListResponse{Revision: s.revision}
	for key, value := range s.values {
		if strings.HasPrefix(key, r.Msg.GetPrefix()) {
			response.Values = append(response.Values, value)
		}
	}
	return connect.NewResponse(response), nil
}

// CompareAndSwap implements the store service.
func (s *Server) CompareAndSwap(ctx context.Context, r *connect.Request[storev1.CompareAndSwapRequest]) (*connect.Response[storev1.CompareAndSwapResponse], error) {
	lose, err := s.begin(ctx, "CompareAndSwap")
	if err != nil {
		return nil, err
	}
	response, err := s.swap(r.Msg)
	if err != nil {
		return nil, err
	}
	if lose {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("answer lost"))
	}
	return connect.NewResponse(response), nil
}

func (s *Server) swap(r *storev1.CompareAndSwapRequest) (*storev1.CompareAndSwapResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.values[r.GetKey()]
	if present.GetRevision() != r.GetExpectedRevision() {
		return &storev1.CompareAndSwapResponse{Present: present, Revision: present.GetRevision()}, nil
	}
	if id := r.GetLeaseId(); id != 0 && s.leases[id] == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("lease has lapsed"))
	}
	s.put(r.GetKey(), r.GetValue(), r.GetLeaseId(), r.GetDelete())
	return &storev1.CompareAndSwapResponse{Swapped: true, Revision: s.revision}, nil
}

// put applies a write; the caller holds s.mu.
func (s *Server) put(key string, value []byte, leaseID uint64, remove bool) {
	s.revision++
	kv := &storev1.KeyValue{Key: key, Value: value, Revision: s.revision, Deleted: remove}
	delete(s.leaseOf, key)
	if remove {
		kv.Value = nil
		delete(s.values, key)
	} else {
		s.values[key] = kv
		if leaseID != 0 {
			s.leaseOf[key] = leaseID
		}
	}
	s.log = append(s.log, kv)
	if len(s.log) > maxChanges {
		s.dropped = s.log[0].GetRevision()
		s.log = s.log[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// GrantLease implements the store service.
func (s *Server) GrantLease(ctx context.Context, r *connect.Request[storev1.GrantLeaseRequest]) (*connect.Response[storev1.GrantLeaseResponse], error) {
	if _, err := s.begin(ctx, "GrantLease"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(r.Msg.GetTtlMs()) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return connect.NewResponse(&storev1.GrantLeaseResponse{LeaseId: s.revision}), nil
}

// RenewLease implements the store service.
func (s *Server) RenewLease(ctx context.Context, r *connect.Request[storev1.RenewLeaseRequest]) (*connect.Response[storev1.RenewLeaseResponse], error) {
	if _, err := s.begin(ctx, "RenewLease"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[r.Msg.GetLeaseId()]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	return connect.NewResponse(&storev1.RenewLeaseResponse{Renewed: l != nil}), nil
}

// RevokeLease implements the store service.
func (s *Server) RevokeLease(ctx context.Context, r *connect.Request[storev1.RevokeLeaseRequest]) (*connect.Response[storev1.RevokeLeaseResponse], error) {
	if _, err := s.begin(ctx, "RevokeLease"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(r.Msg.GetLeaseId())
	return connect.NewResponse(&storev1.RevokeLeaseResponse{}), nil
}

// endLease removes a lease and its keys; the caller holds s.mu.
func (s *Server) endLease(id uint64) {
	delete(s.leases, id)
	for key, leaseID := range s.leaseOf {
		if leaseID == id {
			s.put(key, nil, 0, true)
		}
	}
}

func (s *Server) expireLeases() {
	ticker := time.NewTicker(leaseScanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.expire(now)
		}
	}
}

func (s *Server) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == Down {
		return
	}
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// Watch implements the store service.
func (s *Server) Watch(ctx context.Context, r *connect.Request[storev1.WatchRequest]) (*connect.Response[storev1.WatchResponse], error) {
	if _, err := s.begin(ctx, "Watch"); err != nil {
		return nil, err
	}
	if s.isMode(SilentWatch) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	timer := time.NewTimer(time.Duration(r.Msg.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	for {
		response, changed := s.changesSince(r.Msg)
		if response.GetCompacted() || len(response.GetChanges()) > 0 {
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return connect.NewResponse(response), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.stop:
			return nil, errDown
		}
		if s.isMode(SilentWatch) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if s.isMode(Down) {
			return nil, errDown
		}
	}
}

// changesSince returns the response to a watch, and a channel that is closed at the next
// change.
func (s *Server) changesSince(r *storev1.WatchRequest) (*storev1.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &storev1.WatchResponse{Revision: s.revision}
	if r.GetAfterRevision() < s.dropped {
		response.Compacted = true
		return response, s.changed
	}
	for _, kv := range s.log {
		if kv.GetRevision() > r.GetAfterRevision() && strings.HasPrefix(kv.GetKey(), r.GetPrefix()) {
			response.Changes = append(response.Changes, kv)
		}
	}
	return response, s.changed
}

func (s *Server) isMode(m Mode) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == m
}
