package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Defaults of settings that are not given.
const (
	defaultLogLevel       = "info"
	defaultStopTimeout    = 30 * time.Second
	defaultLease          = 4 * time.Second
	defaultTicketLifetime = 10 * time.Minute
	defaultPermit         = 3 * time.Second
	defaultQueueLimit     = 20000
	defaultMaxConnections = 60
	defaultHandshakeRate  = 250
	defaultAnswerMemoryMB = 256

	defaultCallerRate        = 2000 // requests a second
	defaultCallerIdle        = 2 * time.Minute
	defaultCallerConnections = 16384
)

// MaxSlots is the largest number of slots of a target.
const MaxSlots = 4096

func (s *Settings) setDefaults() {
	setDefault(&s.LogLevel, defaultLogLevel)
	setDefault(&s.StopTimeout, Duration(defaultStopTimeout))
	if e := s.Entry; e != nil {
		setDefault(&e.PeerAdvertise, e.PeerListen)
		setDefault(&e.Lease, Duration(defaultLease))
		setDefault(&e.TicketLifetime, Duration(defaultTicketLifetime))
		setDefault(&e.Permit, Duration(defaultPermit))
		setDefault(&e.QueueLimit, defaultQueueLimit)
		setDefault(&e.HandshakeRate, defaultHandshakeRate)
		setDefault(&e.AnswerMemoryMB, defaultAnswerMemoryMB)
		setDefault(&e.CallerRate, defaultCallerRate)
		setDefault(&e.CallerIdle, Duration(defaultCallerIdle))
		setDefault(&e.CallerConnections, defaultCallerConnections)
	}
	if a := s.Agent; a != nil {
		setDefault(&a.Target.MaxConnections, defaultMaxConnections)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns an error for the first invalid setting.
func (s *Settings) Validate() error {
	if s.Name == "" {
		return eris.New("name is missing")
	}
	if s.DataCentre == "" {
		return eris.New("data_centre is missing")
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		return eris.Errorf("log_level %q is not a log level", s.LogLevel)
	}
	if s.StopTimeout <= 0 {
		return eris.New("stop_timeout must be positive")
	}
	if s.Node != nil {
		return s.Node.validate(s.Role)
	}
	if s.TLS.CA == "" || s.TLS.Cert == "" || s.TLS.Key == "" {
		return eris.New("tls needs ca, cert and key")
	}
	switch s.Role {
	case RoleEntry:
		return s.validateEntry()
	case RoleAgent:
		return s.validateAgent()
	default:
		return eris.Errorf("role %q is neither \"entry\" nor \"agent\"", s.Role)
	}
}

func (s *Settings) validateEntry() error {
	e := s.Entry
	if e == nil || s.Agent != nil {
		return eris.New("role \"entry\" needs the section entry and must not have the section agent")
	}
	for _, field := range []struct{ name, value string }{
		{"entry.caller_listen", e.CallerListen},
		{"entry.peer_listen", e.PeerListen},
		{"entry.peer_advertise", e.PeerAdvertise},
	} {
		if err := validateAddress(field.name, field.value); err != nil {
			return err
		}
	}
	if err := validateURL("entry.store_url", e.StoreURL); err != nil {
		return err
	}
	if e.Lease <= 0 || e.TicketLifetime <= 0 || e.Permit <= 0 {
		return eris.New("entry.lease, entry.ticket_lifetime and entry.permit must be positive")
	}
	if e.HandshakeRate <= 0 {
		return eris.New("entry.handshake_rate must be positive")
	}
	if e.AnswerMemoryMB <= 0 {
		return eris.New("entry.answer_memory_mb must be positive")
	}
	if e.QueueLimit <= 0 {
		return eris.New("entry.queue_limit must be positive")
	}
	for _, address := range e.Peers {
		if err := validateAddress("entry.peers", address); err != nil {
			return err
		}
	}
	return e.validateCallers()
}

func (s *Settings) validateAgent() error {
	a := s.Agent
	if a == nil || s.Entry != nil {
		return eris.New("role \"agent\" needs the section agent and must not have the section entry")
	}
	if len(a.Entries) == 0 {
		return eris.New("agent.entries is empty")
	}
	for _, address := range a.Entries {
		if err := validateAddress("agent.entries", address); err != nil {
			return err
		}
	}
	if err := validateAddress("agent.status_listen", a.StatusListen); err != nil {
		return err
	}
	if a.Links < 0 {
		return eris.New("agent.links must not be negative")
	}
	return a.Target.validate()
}

func (t *Target) validate() error {
	if t.Name == "" {
		return eris.New("agent.target.name is missing")
	}
	if t.Slots <= 0 || t.Slots > MaxSlots {
		return eris.Errorf("agent.target.slots must be between 1 and %d", MaxSlots)
	}
	if t.MaxConnections <= 0 {
		return eris.New("agent.target.max_connections must be positive")
	}
	if t.CPUs <= 0 || t.MemoryMB <= 0 || t.Accelerators < 0 {
		return eris.New("agent.target.cpus and agent.target.memory_mb must be positive and agent.target.accelerators not negative")
	}
	return validateURL("agent.target.url", t.URL)
}

func validateAddress(field, value string) error {
	if value == "" {
		return eris.Errorf("%s is missing", field)
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return eris.Errorf("%s %q is not an IP address with a port", field, value)
	}
	return nil
}

func validateURL(field, value string) error {
	if value == "" {
		return eris.Errorf("%s is missing", field)
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return eris.Errorf("%s %q is not an http URL", field, value)
	}
	return nil
}
