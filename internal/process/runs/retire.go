package runs

import "github.com/rosemarybay/rosemarybay/internal/connection/peer"

// Retire begins to disconnect from the entry at an address: the target is described to
// the entry as unavailable, so that no new work is sent. Once none of the entry's attempts
// run here and it has acknowledged all results, Options.Retired is called.
func (m *Manager) Retire(address string) { m.setRetiring(address, true) }

// CancelRetire cancels the retirement of an entry.
func (m *Manager) CancelRetire(address string) { m.setRetiring(address, false) }

func (m *Manager) setRetiring(address string, retiring bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.owners {
		if o.address != address || o.retiring == retiring {
			continue
		}
		o.retiring, o.retired = retiring, false
		if o.link != nil {
			o.link.Send(peer.Frame{Target: m.descriptionLocked(o)})
		}
	}
}

// retireLocked calls Options.Retired for each retiring entry that has no attempts and no
// unacknowledged results left.
func (m *Manager) retireLocked() {
	for _, o := range m.owners {
		if !o.retiring || o.retired || o.runCount > 0 || len(o.results) > 0 {
			continue
		}
		o.retired = true
		if m.opts.Retired != nil {
			go m.opts.Retired(o.address)
		}
	}
}
