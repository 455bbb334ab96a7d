// Package store reaches the platform's key-value service.
package store

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	storev1 "github.com/rosemarybay/rosemarybay/api/store/v1"
	"github.com/rosemarybay/rosemarybay/api/store/v1/storev1connect"
)

// Value is one stored value.
type Value struct {
	Key      string
	Data     []byte
	Revision uint64
	Deleted  bool
}

// Change asks for a compare-and-swap of one key.
type Change struct {
	Key  string
	Data []byte
	// Expected is the revision of the present value; 0 when there is none.
	Expected uint64
	// LeaseID ties the key to a lease; 0 for none.
	LeaseID uint64
	Delete  bool
}

// SwapResult is the outcome of a compare-and-swap.
type SwapResult struct {
	Swapped  bool
	Revision uint64
	// Present is the value that stood in the way; nil when the key is absent.
	Present *Value
}

// Listing is a set of values at a revision of the store.
type Listing struct {
	Values   []Value
	Revision uint64
	// Compacted: the changes asked for are gone; list again.
	Compacted bool
}

// Store is the platform's key-value service. After an error of CompareAndSwap
// the write may have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (*Value, error)
	List(ctx context.Context, prefix string) (Listing, error)
	CompareAndSwap(ctx context.Context, change Change) (SwapResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	// RenewLease returns ErrLeaseLapsed when the lease has ended.
	RenewLease(ctx context.Context, id uint64) error
	RevokeLease(ctx context.Context, id uint64) error
	// Watch waits up to wait for changes below prefix after a revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}

// ErrLeaseLapsed reports a lease that has ended.
var ErrLeaseLapsed = eris.New("lease has lapsed")

// callTimeout bounds each call except Watch.
const callTimeout = 5 * time.Second

// watchGrace is added to a watch's wait before the call is given up.
const watchGrace = 3 * time.Second

type remote struct {
	client storev1connect.StoreServiceClient
}

// maxIdleConns is the number of connections kept open between calls.
const maxIdleConns = 8

// Dial returns the store at an HTTP address, reached from a local address; nil
// leaves its choice to the system.
func Dial(url string, local net.Addr) Store {
	dialer := &net.Dialer{Timeout: callTimeout, LocalAddr: local}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
	}}
	return &remote{client: storev1connect.NewStoreServiceClient(client, url)}
}

func (r *remote) Get(ctx context.Context, key string) (*Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := r.client.Get(ctx, connect.NewRequest(&storev1.GetRequest{Key: key}))
	if err != nil {
		return nil, eris.Wrap(err, "store get")
	}
	return fromProto(response.Msg.GetValue()), nil
}

func (r *remote) List(ctx context.Context, prefix string) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := r.client.List(ctx, connect.NewRequest(&storev1.ListRequest{Prefix: prefix}))
	if err != nil {
		return Listing{}, eris.Wrap(err, "store list")
	}
	return Listing{Values: values(response.Msg.GetValues()), Revision: response.Msg.GetRevision()}, nil
}

func (r *remote) CompareAndSwap(ctx context.Context, change Change) (SwapResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := r.client.CompareAndSwap(ctx, connect.NewRequest(&storev1.CompareAndSwapRequest{
		Key:              change.Key,
		Value:            change.Data,
		ExpectedRevision: change.Expected,
		LeaseId:          change.LeaseID,
		Delete:           change.Delete,
	}))
	if err != nil {
		return SwapResult{}, eris.Wrap(err, "store compare-and-swap")
	}
	m := response.Msg
	return SwapResult{Swapped: m.GetSwapped(), Revision: m.GetRevision(), Present: fromProto(m.GetPresent())}, nil
}

func (r *remote) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &storev1.GrantLeaseRequest{TtlMs: uint32(ttl.Milliseconds())}
	response, err := r.client.GrantLease(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, eris.Wrap(err, "store grant lease")
	}
	return response.Msg.GetLeaseId(), nil
}

func (r *remote) RenewLease(ctx context.Context, id uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := r.client.RenewLease(ctx, connect.NewRequest(&storev1.RenewLeaseRequest{LeaseId: id}))
	if err != nil {
		return eris.Wrap(err, "store renew lease")
	}
	if !response.Msg.GetRenewed() {
		return ErrLeaseLapsed
	}
	return nil
}

func (r *remote) RevokeLease(ctx context.Context, id uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.client.RevokeLease(ctx, connect.NewRequest(&storev1.RevokeLeaseRequest{LeaseId: id}))
	return eris.Wrap(err, "store revoke lease")
}

func (r *remote) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	response, err := r.client.Watch(ctx, connect.NewRequest(&storev1.WatchRequest{
		Prefix:        prefix,
		AfterRevision: after,
		WaitMs:        uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return Listing{}, eris.Wrap(err, "store watch")
	}
	m := response.Msg
	return Listing{Values: values(m.GetChanges()), Revision: m.GetRevision(), Compacted: m.GetCompacted()}, nil
}

func values(kvs []*storev1.KeyValue) []Value {
	out := make([]Value, 0, len(kvs))
	for _, kv := range kvs {
		out = append(out, *fromProto(kv))
	}
	return out
}

func fromProto(kv *storev1.KeyValue) *Value {
	if kv == nil {
		return nil
	}
	return &Value{Key: kv.GetKey(), Data: kv.GetValue(), Revision: kv.GetRevision(), Deleted: kv.GetDeleted()}
}
