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
