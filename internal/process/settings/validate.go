package settings

import (
	"errors"
	"net/netip"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
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

// Ranges of the settings.
var (
	durationRange     = bounds.Range[time.Duration]{Min: time.Millisecond, Max: 7 * 24 * time.Hour}
	countRange        = bounds.Range[int]{Min: 1, Max: 100_000_000}
	memoryRange       = bounds.Range[int]{Min: 1, Max: int(bounds.MemoryMB.Max)}
	slotsRange        = bounds.Range[int]{Min: 1, Max: MaxSlots}
	linksRange        = bounds.Range[int]{Min: 0, Max: 100_000}
	cpusRange         = bounds.Range[float64]{Min: 0.001, Max: float64(bounds.CPU.Max) / 1000}
	acceleratorsRange = bounds.Range[int]{Min: 0, Max: int(bounds.Accelerators.Max)}
)

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
	if err := durationRange.Check("stop_timeout", s.StopTimeout.Std()); err != nil {
		return err
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
	if err := e.validateNumbers(); err != nil {
		return err
	}
	for _, address := range e.Peers {
		if err := validateAddress("entry.peers", address); err != nil {
			return err
		}
	}
	return e.validateCallers()
}

func (e *Entry) validateNumbers() error {
	return errors.Join(
		durationRange.Check("entry.lease", e.Lease.Std()),
		durationRange.Check("entry.ticket_lifetime", e.TicketLifetime.Std()),
		durationRange.Check("entry.permit", e.Permit.Std()),
		countRange.Check("entry.handshake_rate", e.HandshakeRate),
		memoryRange.Check("entry.answer_memory_mb", e.AnswerMemoryMB),
		countRange.Check("entry.queue_limit", e.QueueLimit),
		countRange.Check("entry.caller_rate", e.CallerRate),
		durationRange.Check("entry.caller_idle", e.CallerIdle.Std()),
		countRange.Check("entry.caller_connections", e.CallerConnections),
		requestMemoryRange.Check("entry.memory_mb", e.MemoryMB),
		requestMemoryRange.Check("entry.request_memory_mb", e.RequestMemoryMB),
	)
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
	if err := linksRange.Check("agent.links", a.Links); err != nil {
		return err
	}
	return a.Target.validate()
}

func (t *Target) validate() error {
	if t.Name == "" {
		return eris.New("agent.target.name is missing")
	}
	if err := errors.Join(
		slotsRange.Check("agent.target.slots", t.Slots),
		countRange.Check("agent.target.max_connections", t.MaxConnections),
		cpusRange.Check("agent.target.cpus", t.CPUs),
		memoryRange.Check("agent.target.memory_mb", t.MemoryMB),
		acceleratorsRange.Check("agent.target.accelerators", t.Accelerators),
	); err != nil {
		return err
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
