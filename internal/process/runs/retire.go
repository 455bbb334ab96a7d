package runs

import "github.com/rosemarybay/rosemarybay/internal/connection/peer"

// Retire lets the entry at an address go: it is told to send nothing new, and once
// nothing of it runs and it has taken all results, Options.Retired is called.
func (k *Keeper) Retire(address string) { k.setRetiring(address, true) }

// Resume takes back an entry that is being let go.
func (k *Keeper) Resume(address string) { k.setRetiring(address, false) }

func (k *Keeper) setRetiring(address string, retiring bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, o := range k.owners {
		if o.address != address || o.retiring == retiring {
			continue
		}
		o.retiring, o.released = retiring, false
		if o.link != nil {
			o.link.Send(peer.Frame{Target: k.descriptionLocked(o)})
		}
	}
}

// retireLocked reports the entries that are to be let go and have nothing left here.
func (k *Keeper) retireLocked() {
	for _, o := range k.owners {
		if !o.retiring || o.released || o.attempts > 0 || len(o.results) > 0 {
			continue
		}
		o.released = true
		if k.opts.Retired != nil {
			go k.opts.Retired(o.address)
		}
	}
}
