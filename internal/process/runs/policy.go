package runs

import (
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

// neverConfirmed is the time of the latest confirmation before the first one.
const neverConfirmed = -time.Hour

// ApplyStoredPolicy applies the data centres out of service that were read from the store at a
// revision. sent is when the read was sent.
func (m *Manager) ApplyStoredPolicy(revision uint64, out []string, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.policyConfirmedAt = max(m.policyConfirmedAt, m.clockAt(sent))
	m.applyPolicyLocked(&peer.Policy{Revision: revision, ConfigVersion: m.policy.ConfigVersion, Out: out}, "store")
}

// PolicyAge returns how long ago the known policy was last confirmed with the store, by a linked
// entry or by this process.
func (m *Manager) PolicyAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock() - m.policyConfirmedAt
}

// recordPolicyAgeLocked records the age of the policy of an entry. The age counts from the time
// that the frame echoes, since the frame may have waited to be read. It carries the entry's
// policy, or the agent has it.
func (m *Manager) recordPolicyAgeLocked(f *peer.Frame) {
	age := f.PolicyAge
	if age == 0 {
		age = peer.FreshPolicyAge
	}
	if echo := time.Duration(f.Echo); echo <= m.clock() {
		m.policyConfirmedAt = max(m.policyConfirmedAt, echo-age)
	}
}

// applyPolicyLocked applies a policy if it is newer than the known one, and forwards it to all
// entries if other data centres are out of service.
func (m *Manager) applyPolicyLocked(p *peer.Policy, from string) {
	if p.Revision <= m.policy.Revision {
		return
	}
	former := m.policy
	m.policy = *p
	if former.Revision > 0 && sameDataCentres(former.Out, p.Out) && former.ConfigVersion == p.ConfigVersion {
		return
	}
	m.opts.Log.Info().Uint64("revision", p.Revision).Uint64("former", former.Revision).
		Uint64("config_version", p.ConfigVersion).Strs("out", p.Out).Str("from", from).
		Dur("policy_age", m.clock()-m.policyConfirmedAt).Msg("newer policy received")
	for _, o := range m.owners {
		if o.link != nil {
			o.link.Send(peer.Frame{Policy: p})
		}
	}
}

func sameDataCentres(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// isDataCentreOutLocked reports whether the target's data centre is out of service.
func (m *Manager) isDataCentreOutLocked() bool {
	return slices.Contains(m.policy.Out, m.target.DataCentre)
}
