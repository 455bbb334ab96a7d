package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/rosemarybay/rosemarybay/platform/standin"
)

// fault begins a fault and returns what ends it.
type fault struct {
	name  string
	begin func(s *soak, r *rand.Rand) (end func())
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// restart ends a node in a way and starts it again when the fault is over.
func restart(s *soak, n *node, end func(*node)) func() {
	end(n)
	return func() {
		if err := n.start(); err != nil {
			_, _ = s.out.Write([]byte(err.Error() + "\n"))
		}
	}
}

func pause(n *node) func() {
	n.signal(syscall.SIGSTOP)
	return func() { n.signal(syscall.SIGCONT) }
}

func linkFault(state link) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		p := pick(r, s.proxies)
		p.set(state)
		return func() { p.set(linkSound) }
	}
}

func storeFault(f standin.StoreFault, some bool) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		var clients []string
		if some {
			clients = append(clients, pick(r, s.ips), pick(r, s.ips), pick(r, s.ips))
		}
		s.store.SetFault(f, clients...)
		return func() { s.store.SetFault(standin.StoreSound) }
	}
}

func targetFault(f standin.TargetFault) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		t := pick(r, s.targets)
		t.SetFault(f)
		return func() { t.SetFault(standin.TargetSound) }
	}
}

// faults are all kinds. Faults of one node or of the store don't overlap with
// themselves, which held makes sure of.
var faults = []fault{
	{"entry_killed", func(s *soak, r *rand.Rand) func() { return restart(s, pick(r, s.entries), (*node).kill) }},
	{"entry_stopped", func(s *soak, r *rand.Rand) func() { return restart(s, pick(r, s.entries), (*node).stop) }},
	{"entry_paused", func(s *soak, r *rand.Rand) func() { return pause(pick(r, s.entries)) }},
	{"agent_killed", func(s *soak, r *rand.Rand) func() { return restart(s, pick(r, s.agents), (*node).kill) }},
	{"agent_stopped", func(s *soak, r *rand.Rand) func() { return restart(s, pick(r, s.agents), (*node).stop) }},
	{"agent_paused", func(s *soak, r *rand.Rand) func() { return pause(pick(r, s.agents)) }},
	{"hangup", func(s *soak, r *rand.Rand) func() { pick(r, s.entries).signal(syscall.SIGHUP); return func() {} }},
	{"link_silent", linkFault(linkSilent)},
	{"link_deaf", linkFault(linkDeafEntry)},
	{"link_dumb", linkFault(linkDumbEntry)},
	{"link_slow", linkFault(linkSlow)},
	{"link_reset", func(s *soak, r *rand.Rand) func() { pick(r, s.proxies).resetAll(); return func() {} }},
	{"store_silent", storeFault(standin.StoreSilent, false)},
	{"store_busy", storeFault(standin.StoreBusy, true)},
	{"store_reset", storeFault(standin.StoreReset, true)},
	{"store_loses", storeFault(standin.StoreLoses, false)},
	{"store_slow", storeFault(standin.StoreSlow, false)},
	{"store_forgets", func(s *soak, _ *rand.Rand) func() { s.store.Forget(); return func() {} }},
	{"store_revokes", func(s *soak, _ *rand.Rand) func() { s.store.Revoke(""); return func() {} }},
	{"target_reborn", func(s *soak, r *rand.Rand) func() { pick(r, s.targets).Reset(); return func() {} }},
	{"target_mute", targetFault(standin.TargetMute)},
	{"target_loses", targetFault(standin.TargetLoses)},
	{"target_late", targetFault(standin.TargetLate)},
	{"target_fails", targetFault(standin.TargetFails)},
	{"target_slow", targetFault(standin.TargetSlow)},
	{"target_hangs", targetFault(standin.TargetHangs)},
	{"new_version", func(s *soak, _ *rand.Rand) func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.version++
		s.store.Put(standin.KeyConfig, standin.Configuration(s.version, host, prefix, service))
		return func() {}
	}},
	{"data_centre_out", func(s *soak, r *rand.Rand) func() {
		name := zone(r.IntN(zones))
		s.store.Put(standin.KeyOut+name, []byte("{}"))
		from := time.Now()
		return func() {
			time.Sleep(evacuation) // so that starts after the bound would show
			s.mu.Lock()
			s.outs = append(s.outs, out{zone: name, from: from, to: time.Now()})
			s.mu.Unlock()
			s.store.Delete(standin.KeyOut + name)
		}
	}},
}

// injectUntil begins faults at random times, which overlap, and ends them all.
// One fault of a kind is in force at a time.
func (s *soak) injectUntil(end time.Time) {
	inForce := make(map[string]chan struct{})
	for time.Now().Before(end) && s.ctx.Err() == nil {
		time.Sleep(time.Duration(s.random.ExpFloat64() * float64(faultPause)))
		f := pick(s.random, faults)
		length := time.Duration(s.random.Int64N(int64(faultLength)))
		// The choice of the victim is made here, so that it follows from the seed.
		victim := rand.New(rand.NewPCG(s.options.Seed, s.random.Uint64()))
		if over := inForce[f.name]; over != nil {
			select {
			case <-over:
			default:
				continue
			}
		}
		over := make(chan struct{})
		inForce[f.name] = over
		s.faults[f.name]++
		s.wait.Go(func() {
			defer close(over)
			finish := f.begin(s, victim)
			time.Sleep(length)
			finish()
		})
	}
}
