// Package settings reads and validates the settings file of the daemon.
package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
)

// Role selects whether the daemon runs as an entry or as an agent.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Duration is a time.Duration written as a string such as "250ms".
type Duration time.Duration

// UnmarshalJSON accepts only strings with a unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return eris.Errorf("duration %s is not a string with a unit, such as \"250ms\"", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return eris.Errorf("duration %q has no valid unit; write it as \"250ms\" or \"3s\"", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings is the settings file.
type Settings struct {
	Role       Role   `json:"role"`
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// LogLevel is a zerolog level; default "info".
	LogLevel string `json:"log_level,omitempty"`
	TLS      TLS    `json:"tls"`
	// StopTimeout bounds the time of a planned stop.
	StopTimeout Duration `json:"stop_timeout,omitempty"`
	Entry       *Entry   `json:"entry,omitempty"`
	Agent       *Agent   `json:"agent,omitempty"`
	// Node replaces Entry, Agent and TLS for a process that gets the rest of its
	// configuration from the platform's store.
	Node *Node `json:"node,omitempty"`
}

// TLS holds the CA certificate, certificate and private key of a node. Each field is PEM
// text or the path of a file.
type TLS struct {
	CA   string `json:"ca"`
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// Files returns the fields of t for package identity.
func (t TLS) Files() identity.KeyFiles {
	return identity.KeyFiles{CA: t.CA, Cert: t.Cert, Key: t.Key}
}

// Entry holds the settings of the entry role.
type Entry struct {
	// CallerListen is the TCP address for callers and operators.
	CallerListen string `json:"caller_listen"`
	// PeerListen is the UDP address for agents and other entries.
	PeerListen string `json:"peer_listen"`
	// PeerAdvertise is the address at which agents and other entries reach PeerListen; by
	// default PeerListen.
	PeerAdvertise string `json:"peer_advertise,omitempty"`
	// StoreURL is the address of the platform's store.
	StoreURL string `json:"store_url"`
	// Lease is the time to live of the entry's registration.
	Lease Duration `json:"lease,omitempty"`
	// TicketLifetime is how long a ticket and its answer are kept.
	TicketLifetime Duration `json:"ticket_lifetime,omitempty"`
	// Permit is how long an agent may start tasks without contact with the entry.
	Permit Duration `json:"permit,omitempty"`
	// QueueLimit is the largest number of tasks that wait for a slot.
	QueueLimit int `json:"queue_limit,omitempty"`
	// AnswerMemoryMB bounds the memory for kept answers.
	AnswerMemoryMB int `json:"answer_memory_mb,omitempty"`
	// CallerTLS enables HTTPS on CallerListen; without it the port serves plain HTTP.
	CallerTLS *CallerTLS `json:"caller_tls,omitempty"`
	// Callers are the permitted callers and operators. If the list is empty, requests are
	// accepted without a token and with all permissions, which is allowed only if
	// CallerListen is a loopback address.
	Callers []Caller `json:"callers,omitempty"`
	// CallerRate is the largest number of requests a second on one connection.
	CallerRate int `json:"caller_rate,omitempty"`
	// CallerIdle is the time within which the next request on a connection must have
	// arrived completely.
	CallerIdle Duration `json:"caller_idle,omitempty"`
	// CallerConnections is the largest number of connections of callers.
	CallerConnections int `json:"caller_connections,omitempty"`
	// MemoryMB is the memory at which the process is killed; 0 means that it is not known.
	MemoryMB int `json:"memory_mb,omitempty"`
	// RequestMemoryMB is the memory for requests that are being received or answered, of all
	// connections together; 0 means a share of MemoryMB, or defaultRequestMemory without it.
	RequestMemoryMB int `json:"request_memory_mb,omitempty"`
	// Peers are the peer addresses of some other entries, from which the entry gets the
	// configuration if the store does not answer at the start.
	Peers []string `json:"peers,omitempty"`
	// HandshakeRate is the largest number of links opened per second. Further ones are
	// refused, and their agents retry with a backoff.
	HandshakeRate int `json:"handshake_rate,omitempty"`
}

const (
	// defaultRequestMemory is the budget for requests of an entry whose memory is not known.
	defaultRequestMemory = 256 << 20
	// minCallerMemory holds one of the largest requests of callers: its buffer grows to 48 MiB with its
	// head, which must not exceed three quarters.
	minCallerMemory = 72 << 20
)

// RequestMemory returns the budget in bytes for requests in progress.
func (e *Entry) RequestMemory() int {
	switch {
	case e.RequestMemoryMB > 0:
		return e.RequestMemoryMB << 20
	case e.MemoryMB > 0:
		return max(e.MemoryMB<<20/requestMemoryDivisor, minCallerMemory)
	}
	return defaultRequestMemory
}

// Agent holds the settings of the agent role.
type Agent struct {
	// Entries are the peer addresses of some entries, from which the agent gets the list of
	// all entries.
	Entries []string `json:"entries"`
	// StatusListen is the TCP address for counters.
	StatusListen string `json:"status_listen"`
	Target       Target `json:"target"`
	// Links is the number of entries that the agent links with, those of its own data
	// centre first; 0 means all.
	Links int `json:"links,omitempty"`
}

// Target describes the back end beside an agent.
type Target struct {
	Name string `json:"name"`
	Rack string `json:"rack"`
	// URL is the HTTP address of the target.
	URL string `json:"url"`
	// Slots is the number of tasks that the target runs at once.
	Slots int `json:"slots"`
	// MaxConnections bounds the connections to the target.
	MaxConnections int      `json:"max_connections,omitempty"`
	CPUs           float64  `json:"cpus"`
	MemoryMB       int      `json:"memory_mb"`
	Accelerators   int      `json:"accelerators,omitempty"`
	Departments    []string `json:"departments,omitempty"`
}

// Load reads the settings file at path and parses it.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(b)
}

// Parse decodes settings, sets defaults and validates the result. Unknown fields are
// errors.
func Parse(b []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(b))
	decoder.DisallowUnknownFields()
	s := &Settings{}
	if err := decoder.Decode(s); err != nil {
		return nil, eris.Wrap(err, "decode settings")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, eris.New("decode settings: data after the settings object")
	}
	s.setDefaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// Size returns the size of the target's worker in its wire form.
func (t *Target) Size() *apiv1.Size {
	return &apiv1.Size{
		Cpus:         t.CPUs,
		MemoryMb:     uint32(t.MemoryMB),
		Accelerators: uint32(t.Accelerators),
	}
}
