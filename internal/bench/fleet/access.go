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

// Operator is the operator name that the bench uses for configuration changes.
const Operator = "bench"

const (
	maxConnsPerEntry = 256
	scrapeTimeout    = 2 * time.Second
)

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnsPerEntry}}
}

// delayedTransport adds the one-way network delay between caller and entry to each
// request and again to its response.
type delayedTransport struct {
	next  http.RoundTripper
	delay time.Duration
}

// RoundTrip implements http.RoundTripper.
func (d *delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(d.delay)
	response, err := d.next.RoundTrip(r)
	time.Sleep(d.delay)
	return response, err
}

// Client returns a client that submits jobs of an owner through the entry via, with the
// callers' network delay.
func (f *Fleet) Client(department, owner string, via *Node) *client.Client {
	c := &http.Client{Transport: &delayedTransport{next: f.httpClient.Transport, delay: f.Spec.NetworkDelays.CallerToEntry}}
	return client.New(client.Config{URL: via.StatusURL, Department: department, Owner: owner, HTTP: c})
}

// ConfigClient returns a client of the configuration service of the entry via.
func (f *Fleet) ConfigClient(via *Node) apiv1connect.ConfigServiceClient {
	return apiv1connect.NewConfigServiceClient(f.httpClient, via.StatusURL)
}

// StatusClient returns a client of the fleet status service of the entry via.
func (f *Fleet) StatusClient(via *Node) apiv1connect.FleetServiceClient {
	return apiv1connect.NewFleetServiceClient(f.httpClient, via.StatusURL)
}

func (f *Fleet) waitReady(ctx context.Context) error {
	for _, n := range f.Entries {
		if err := f.WaitReady(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady polls the readiness endpoint of an entry until it answers 200 OK, which
// means that the entry accepts jobs.
func (f *Fleet) WaitReady(ctx context.Context, n *Node) error {
	for {
		response, err := f.httpClient.Get(n.StatusURL + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := waitReadyInterval(ctx); err != nil {
			return eris.Wrapf(err, "entry %s is not ready", n.Name)
		}
	}
}

// waitReadyInterval waits until the next poll, or returns the error of an ended ctx.
func waitReadyInterval(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(readyInterval):
		return nil
	}
}

func (f *Fleet) createDepartments(ctx context.Context) error {
	config := f.ConfigClient(f.Entries[0])
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

// waitLinked waits until every entry is linked as IsLinked defines it. The departments
// are created through the first entry, so this also waits for their replication.
func (f *Fleet) waitLinked(ctx context.Context) error {
	for _, n := range f.Entries {
		for !f.IsLinked(ctx, n) {
			if err := waitReadyInterval(ctx); err != nil {
				return eris.Wrapf(err, "entry %s is not linked with all agents", n.Name)
			}
		}
	}
	return nil
}

// IsLinked reports whether an entry lists all entries and departments, and has a link to
// each agent. The links are not checked when the spec sets the number of entries that an
// agent links with.
func (f *Fleet) IsLinked(ctx context.Context, n *Node) bool {
	status, err := f.StatusClient(n).GetStatus(ctx, connect.NewRequest(&apiv1.GetStatusRequest{}))
	if err != nil {
		return false
	}
	list, err := f.ConfigClient(n).ListObjects(ctx, connect.NewRequest(&apiv1.ListObjectsRequest{Kind: apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT}))
	if err != nil || len(list.Msg.GetObjects()) < len(f.Spec.Departments) {
		return false
	}
	connectedAgents := 0
	for _, t := range status.Msg.GetTargets() {
		if t.GetConnected() {
			connectedAgents++
		}
	}
	connectedToAll := connectedAgents == len(f.Agents) || f.Spec.Overrides.LinksPerAgent > 0
	return connectedToAll && len(status.Msg.GetEntries()) == len(f.Entries)
}

// Scrape returns the integer metrics of one node by name, without the common prefix.
func (f *Fleet) Scrape(n *Node) (map[string]int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.StatusURL+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := f.httpClient.Do(request)
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

// SaveCounters adds the counters of a node that is about to end to those that Counters
// returns. Counters of a node that does not answer are left out.
func (f *Fleet) SaveCounters(n *Node) {
	values, err := f.Scrape(n)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, v := range values {
		f.endedCounters[name] += v
	}
}

// Counters returns each counter summed over all running nodes and over the ended
// incarnations whose counters SaveCounters has saved.
func (f *Fleet) Counters() map[string]int64 {
	f.mu.Lock()
	sums := make(map[string]int64, len(f.endedCounters))
	for name, v := range f.endedCounters {
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

// TargetURL returns the URL of a stand-in target.
func (f *Fleet) TargetURL(name string) string { return f.targetURLs[name] }

// IssueCertificate issues a certificate and key signed by the fleet's certificate
// authority, and returns them with the certificate of that authority.
func (f *Fleet) IssueCertificate(id identity.Identity) (pair identity.KeyPair, ca string, err error) {
	pair, err = identity.NewNodeCertificate(f.ca, id)
	return pair, f.ca.Cert, err
}

// PeerAddress returns the address that entry i advertises for links.
func (f *Fleet) PeerAddress(i int) string { return f.peerAddresses[i] }

// StoreURL returns the URL of the stand-in store.
func (f *Fleet) StoreURL() string { return f.storeURL }
