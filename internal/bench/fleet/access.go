package fleet

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
)

// Operator is the name under which the bench changes the configuration.
const Operator = "bench"

const (
	maxConnsPerEntry = 256
	scrapeTimeout    = 2 * time.Second
)

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnsPerEntry}}
}

// distant adds the callers' distance to each request.
type distant struct {
	next  http.RoundTripper
	delay time.Duration
}

// RoundTrip implements http.RoundTripper.
func (d *distant) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(d.delay)
	response, err := d.next.RoundTrip(r)
	time.Sleep(d.delay)
	return response, err
}

// Client returns a client of an owner through one entry.
func (f *Fleet) Client(department, owner string, via *Node) *client.Client {
	c := &http.Client{Transport: &distant{next: f.http.Transport, delay: f.Spec.Distances.Callers}}
	return client.New(client.Config{URL: via.StatusURL, Department: department, Owner: owner, HTTP: c})
}

// Config returns an operator's client through one entry.
func (f *Fleet) Config(via *Node) apiv1connect.ConfigServiceClient {
	return apiv1connect.NewConfigServiceClient(f.http, via.StatusURL)
}

// Status returns an operator's client through one entry.
func (f *Fleet) Status(via *Node) apiv1connect.FleetServiceClient {
	return apiv1connect.NewFleetServiceClient(f.http, via.StatusURL)
}

func (f *Fleet) waitReady(ctx context.Context) error {
	for _, n := range f.Entries {
		if err := f.WaitReady(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until an entry takes work.
func (f *Fleet) WaitReady(ctx context.Context, n *Node) error {
	for {
		response, err := f.http.Get(n.StatusURL + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := pause(ctx); err != nil {
			return eris.Wrapf(err, "entry %s is not ready", n.Name)
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(readyInterval):
		return nil
	}
}

func (f *Fleet) createDepartments(ctx context.Context) error {
	config := f.Config(f.Entries[0])
	for _, d := range f.Spec.Departments {
		changes := []*apiv1.ChangeRequest{{Change: &apiv1.ChangeRequest_Create{Create: &apiv1.Create{}}}}
		if d.QuotaSlots > 0 {
			quota := &apiv1.SetQuota{Slots: uint32(d.QuotaSlots)}
			changes = append(changes, &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_SetQuota{SetQuota: quota}})
		}
		for i, c := range changes {
			c.Kind, c.Name, c.By, c.AnyBase = apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, d.Name, Operator, true
			c.ChangeId = fmt.Sprintf("create-%s-%d", d.Name, i)
			if _, err := config.Change(ctx, connect.NewRequest(c)); err != nil {
				return eris.Wrapf(err, "create department %s", d.Name)
			}
		}
	}
	return nil
}

// waitLinked waits until each entry has a link to each agent, and all have the
// configuration of the first. With a subset of links it does not wait for those.
func (f *Fleet) waitLinked(ctx context.Context) error {
	for _, n := range f.Entries {
		for !f.IsLinked(ctx, n) {
			if err := pause(ctx); err != nil {
				return eris.Wrapf(err, "entry %s is not linked with all agents", n.Name)
			}
		}
	}
	return nil
}

// IsLinked reports whether an entry knows all entries and departments, and has a
// link to each agent.
func (f *Fleet) IsLinked(ctx context.Context, n *Node) bool {
	status, err := f.Status(n).GetStatus(ctx, connect.NewRequest(&apiv1.GetStatusRequest{}))
	if err != nil {
		return false
	}
	list, err := f.Config(n).ListObjects(ctx, connect.NewRequest(&apiv1.ListObjectsRequest{Kind: apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT}))
	if err != nil || len(list.Msg.GetObjects()) < len(f.Spec.Departments) {
		return false
	}
	connected := 0
	for _, t := range status.Msg.GetTargets() {
		if t.GetConnected() {
			connected++
		}
	}
	whole := connected == len(f.Agents) || f.Spec.Tune.Links > 0
	return whole && len(status.Msg.GetEntries()) == len(f.Entries)
}

// Scrape returns the counters of one node.
func (f *Fleet) Scrape(n *Node) (map[string]int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.StatusURL+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := f.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	values := make(map[string]int64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(strings.TrimPrefix(lines.Text(), "rosemarybay_"), " ")
		if !ok || strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		if v, err := strconv.ParseInt(value, 10, 64); err == nil {
			values[name] = v
		}
	}
	return values, lines.Err()
}

// KeepCounters adds a node's counters to the sums before the node ends.
func (f *Fleet) KeepCounters(n *Node) {
	values, err := f.Scrape(n)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, v := range values {
		f.counters[name] += v
	}
}

// Counters returns each counter summed over all nodes, ended ones included.
func (f *Fleet) Counters() map[string]int64 {
	f.mu.Lock()
	sums := make(map[string]int64, len(f.counters))
	for name, v := range f.counters {
		sums[name] = v
	}
	f.mu.Unlock()
	for _, n := range f.Nodes() {
		if !n.IsRunning() {
			continue
		}
		values, err := f.Scrape(n)
		if err != nil {
			continue
		}
		for name, v := range values {
			sums[name] += v
		}
	}
	return sums
}

// TargetURL returns the address of a stand-in target.
func (f *Fleet) TargetURL(name string) string { return f.targetURLs[name] }

// Sign makes a certificate of the fleet's authority and returns it with the
// authority's own.
func (f *Fleet) Sign(id identity.Identity) (pair identity.Pair, ca string, err error) {
	pair, err = identity.NewNode(f.ca, id)
	return pair, f.ca.Cert, err
}

// PeerAddress returns the address of entry i for links.
func (f *Fleet) PeerAddress(i int) string { return f.peers[i] }

// StoreURL returns the address of the stand-in store.
func (f *Fleet) StoreURL() string { return f.storeURL }
