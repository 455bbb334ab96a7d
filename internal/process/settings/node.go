package settings

import (
	"cmp"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
)

// Node holds the settings of a process that gets the rest of its configuration from the
// platform's store and from the target beside it.
type Node struct {
	// IP is the node's own address.
	IP string `json:"ip"`
	// CallerListen is the TCP address for callers; entries only.
	CallerListen string `json:"caller_listen,omitempty"`
	// ReadyListen is the TCP address of the readiness probe; entries only.
	ReadyListen string `json:"ready_listen,omitempty"`
	// AnnounceListen is the TCP address for the target's heartbeats and deregistrations;
	// agents only.
	AnnounceListen string `json:"announce_listen,omitempty"`
	// MetricsPort is the TCP port for counters and latencies.
	MetricsPort uint16 `json:"metrics_port"`
	// PeerPort is the TCP port at which each entry accepts the links of agents.
	PeerPort uint16 `json:"peer_port"`
	// PeerAdvertise is the address at which agents reach an entry's PeerPort; by default IP
	// and PeerPort.
	PeerAdvertise string `json:"peer_advertise,omitempty"`
	// Seeds are addresses of some entries, separated by commas; their ports are ignored.
	// Agents use them if the store does not answer at the start.
	Seeds string `json:"seeds,omitempty"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// TargetLease is how long a target continues its tasks without a renewal of their lease.
	TargetLease Duration `json:"target_lease"`
	// CallerRetry is how long after a failure of its entry a caller sends its job to another one;
	// 0 means defaultCallerRetry.
	CallerRetry Duration `json:"caller_retry,omitempty"`
	// MemoryMB is the memory at which the process is killed.
	MemoryMB int `json:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that the process may open; 0 means
	// defaultDescriptors.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
	// RequestMemoryMB is the memory for requests that are being received or answered, of all
	// connections together; 0 means a share of MemoryMB.
	RequestMemoryMB int `json:"request_memory_mb,omitempty"`
	// Scheduling switches on decisions under load. Agents use Interference only.
	Scheduling Scheduling `json:"scheduling,omitzero"`
}

// Scheduling holds the settings of the decisions under load. Without a field its decision
// is not taken.
type Scheduling struct {
	// TargetSpeeds learns how fast each target is and places tasks accordingly.
	TargetSpeeds bool `json:"target_speeds,omitempty"`
	// LateAnswers lets a job that can no longer meet its objective wait for spare capacity while
	// its answer is still useful, in place of being refused.
	LateAnswers bool `json:"late_answers,omitempty"`
	// StartWait is how long an agent may hold a start until its target has capacity; 0 to 200 ms.
	StartWait Duration `json:"start_wait,omitempty"`
	// ConfigWait is how long after its start an entry lets requests wait for its first configuration.
	ConfigWait Duration `json:"config_wait,omitempty"`
	// Interference keeps tasks apart that slow each other down; entries and agents.
	Interference bool `json:"interference,omitempty"`
}

// configWaitRange is the range of Scheduling.ConfigWait.
var configWaitRange = bounds.Range[time.Duration]{Min: 0, Max: time.Minute}

// startWaitRange is the range of Scheduling.StartWait.
var startWaitRange = bounds.Range[time.Duration]{Min: 0, Max: 200 * time.Millisecond}

const (
	// defaultDescriptors is used if no MaxDescriptors is set.
	defaultDescriptors = 3075
	// connectionPercent is the part of the descriptors that the connections of clients may use.
	// The links of agents, the calls to the store and the log need the rest.
	connectionPercent = 70
	// requestMemoryDivisor is the part of the memory that requests may use. The garbage collector lets
	// the heap grow to twice what is in use, and the rest of the process needs its part.
	requestMemoryDivisor = 10
	// minRequestMemory holds several of the largest announcements and requests.
	minRequestMemory = 6 << 20
)

// Ranges of the limits for clients.
var (
	descriptorsRange   = bounds.Range[int]{Min: 64, Max: 10_000_000}
	requestMemoryRange = bounds.Range[int]{Min: 0, Max: 1 << 20}
)

// MaxConnections returns the number of connections of clients.
func (n *Node) MaxConnections() int {
	return cmp.Or(n.MaxDescriptors, defaultDescriptors) * connectionPercent / 100
}

// RequestMemory returns the budget in bytes for requests in progress.
func (n *Node) RequestMemory() int {
	if n.RequestMemoryMB > 0 {
		return n.RequestMemoryMB << 20
	}
	return max(n.MemoryMB<<20/requestMemoryDivisor, minRequestMemory)
}

// defaultCallerRetry is used if no CallerRetry is set.
const defaultCallerRetry = 1300 * time.Millisecond

// callerRetryRange is the range of Node.CallerRetry.
var callerRetryRange = bounds.Range[time.Duration]{Min: 0, Max: time.Hour}

// minTargetLease leaves time for several renewals within one lease.
const minTargetLease = 400 * time.Millisecond

// targetLeaseRange is the range of Node.TargetLease.
var targetLeaseRange = bounds.Range[time.Duration]{Min: minTargetLease, Max: time.Hour}

// CallerRetryTime returns CallerRetry or its default.
func (n *Node) CallerRetryTime() time.Duration {
	return cmp.Or(n.CallerRetry.Std(), defaultCallerRetry)
}

// SeedIPs returns the hosts in Seeds.
func (n *Node) SeedIPs() []string {
	var ips []string
	for _, seed := range strings.Split(n.Seeds, ",") {
		if host, _, err := net.SplitHostPort(strings.TrimSpace(seed)); err == nil {
			ips = append(ips, host)
		}
	}
	return ips
}

func (n *Node) validate(role Role) error {
	if role != RoleEntry && role != RoleAgent {
		return eris.Errorf("role is %q, expected \"entry\" or \"agent\"", role)
	}
	if _, err := netip.ParseAddr(n.IP); err != nil {
		return eris.Errorf("node.ip is %q, expected an IP address", n.IP)
	}
	if err := validateAddress("node.store", n.Store); err != nil {
		return err
	}
	if n.PeerPort == 0 {
		return eris.New("node.peer_port is 0, expected a port")
	}
	if err := targetLeaseRange.Check("node.target_lease", n.TargetLease.Std()); err != nil {
		return err
	}
	if err := callerRetryRange.Check("node.caller_retry", n.CallerRetry.Std()); err != nil {
		return err
	}
	if err := memoryRange.Check("node.memory_mb", n.MemoryMB); err != nil {
		return err
	}
	if err := startWaitRange.Check("node.scheduling.start_wait", n.Scheduling.StartWait.Std()); err != nil {
		return err
	}
	if err := configWaitRange.Check("node.scheduling.config_wait", n.Scheduling.ConfigWait.Std()); err != nil {
		return err
	}
	if err := descriptorsRange.Check("node.max_descriptors", cmp.Or(n.MaxDescriptors, defaultDescriptors)); err != nil {
		return err
	}
	if err := requestMemoryRange.Check("node.request_memory_mb", n.RequestMemoryMB); err != nil {
		return err
	}
	if n.PeerAdvertise != "" {
		if err := validateAddress("node.peer_advertise", n.PeerAdvertise); err != nil {
			return err
		}
	}
	if role == RoleAgent {
		return validateAddress("node.announce_listen", n.AnnounceListen)
	}
	if err := validateAddress("node.caller_listen", n.CallerListen); err != nil {
		return err
	}
	return validateAddress("node.ready_listen", n.ReadyListen)
}
