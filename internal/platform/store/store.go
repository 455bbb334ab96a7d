// Package store implements the client of the platform's key-value store.
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

// Value is the value of one key. Revision is the store revision of its last write; Deleted
// marks a deletion in the result of a watch.
type Value struct {
	Key      string
	Data     []byte
	Revision uint64
	Deleted  bool
}

// SwapRequest is a compare-and-swap request for one key.
type SwapRequest struct {
	Key  string
	Data []byte
	// ExpectedRevision is the expected revision of the current value; 0 if the key must be absent.
	ExpectedRevision uint64
	// LeaseID attaches the key to a lease; 0 means none.
	LeaseID uint64
	Delete  bool
}

// SwapResult is the outcome of a compare-and-swap.
type SwapResult struct {
	Swapped  bool
	Revision uint64
	// Current is the current value that caused the swap to fail; nil if the key is absent.
	Current *Value
}

// Listing is the result of List or Watch: values as of a store revision.
type Listing struct {
	Values   []Value
	Revision uint64
	// Unreadable is the number of values that are missing since their keys could not be read.
	Unreadable int
	// Compacted reports that the store no longer has the requested changes; the caller must
	// list again.
	Compacted bool
}

// Store is the platform's key-value store. After an error of CompareAndSwap the write may
// have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (*Value, error)
	List(ctx context.Context, prefix string) (Listing, error)
	CompareAndSwap(ctx context.Context, change SwapRequest) (SwapResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	// RenewLease returns ErrLeaseLapsed if the lease has expired.
	RenewLease(ctx context.Context, id uint64) error
	RevokeLease(ctx context.Context, id uint64) error
	// Watch returns the changes of keys with the prefix newer than the revision after. If
	// there are none, it waits at most wait for one.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}

// ErrLeaseLapsed reports that a lease has expired.
var ErrLeaseLapsed = eris.New("lease has lapsed")

// callTimeout is the timeout of each call except Watch, and of connecting.
const callTimeout = 5 * time.Second

// watchReplyTimeout is the time allowed for the response after the wait of a watch. The
// timeout of the call is their sum.
const watchReplyTimeout = 3 * time.Second

// rpcStore implements Store by calls of the StoreService.
type rpcStore struct {
	client storev1connect.StoreServiceClient
}

// maxIdleConnections is the largest number of idle connections kept open.
const maxIdleConnections = 8

// NewClient returns a client of the store at url. Its connections come from the local
// address; nil lets the operating system choose one.
func NewClient(url string, local net.Addr) Store {
	dialer := &net.Dialer{Timeout: callTimeout, LocalAddr: local}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
	}}
	return &rpcStore{client: storev1connect.NewStoreServiceClient(client, url)}
}

func (r *rpcStore) Get(ctx context.Context, key string) (*Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := r.client.Get(ctx, connect.NewRequest(&storev1.GetRequest{Key: key}))
	if err != nil {
		return nil, eris.Wrap(err, "get from store")
	}
	return valueFromProto(response.Msg.GetValue()), nil
}

func (r *rpcStore) List(ctx context.Context, prefix string) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := r.client.List(ctx, connect.NewRequest(&storev1.ListRequest{Prefix: prefix}))
	if err != nil {
		return Listing{}, eris.Wrap(err, "list from store")
	}
	return Listing{Values: valuesFromProto(response.Msg.GetValues()), Revision: response.Msg.GetRevision()}, nil
}

func (r *rpcStore) CompareAndSwap(ctx context.Context, change SwapRequest) (SwapResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := r.client.CompareAndSwap(ctx, connect.NewRequest(&storev1.CompareAndSwapRequest{
		Key:              change.Key,
		Value:            change.Data,
		ExpectedRevision: change.ExpectedRevision,
		LeaseId:          change.LeaseID,
		Delete:           change.Delete,
	}))
	if err != nil {
		return SwapResult{}, eris.Wrap(err, "compare-and-swap in store")
	}
	m := response.Msg
	return SwapResult{Swapped: m.GetSwapped(), Revision: m.GetRevision(), Current: valueFromProto(m.GetPresent())}, nil
}

func (r *rpcStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &storev1.GrantLeaseRequest{TtlMs: uint32(ttl.Milliseconds())}
	response, err := r.client.GrantLease(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, eris.Wrap(err, "grant lease in store")
	}
	if response.Msg.GetLeaseId() == 0 {
		return 0, eris.New("grant lease in store: the response has no lease")
	}
	return response.Msg.GetLeaseId(), nil
}

func (r *rpcStore) RenewLease(ctx context.Context, id uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := r.client.RenewLease(ctx, connect.NewRequest(&storev1.RenewLeaseRequest{LeaseId: id}))
	if err != nil {
		return eris.Wrap(err, "renew lease in store")
	}
	if !response.Msg.GetRenewed() {
		return ErrLeaseLapsed
	}
	return nil
}

func (r *rpcStore) RevokeLease(ctx context.Context, id uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.client.RevokeLease(ctx, connect.NewRequest(&storev1.RevokeLeaseRequest{LeaseId: id}))
	return eris.Wrap(err, "revoke lease in store")
}

func (r *rpcStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchReplyTimeout)
	defer cancel()
	response, err := r.client.Watch(ctx, connect.NewRequest(&storev1.WatchRequest{
		Prefix:        prefix,
		AfterRevision: after,
		WaitMs:        uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return Listing{}, eris.Wrap(err, "watch store")
	}
	m := response.Msg
	return Listing{Values: valuesFromProto(m.GetChanges()), Revision: m.GetRevision(), Compacted: m.GetCompacted()}, nil
}

func valuesFromProto(kvs []*storev1.KeyValue) []Value {
	out := make([]Value, 0, len(kvs))
	for _, kv := range kvs {
		out = append(out, *valueFromProto(kv))
	}
	return out
}

func valueFromProto(kv *storev1.KeyValue) *Value {
	if kv == nil {
		return nil
	}
	return &Value{Key: kv.GetKey(), Data: kv.GetValue(), Revision: kv.GetRevision(), Deleted: kv.GetDeleted()}
}
