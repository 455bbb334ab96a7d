package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/standin/runtarget"
	"github.com/rosemarybay/rosemarybay/platform/standin"
)

// maxCallDelay is the longest delay of a call that a target executes late.
const maxCallDelay = 1500 * time.Millisecond

// fault is one kind of fault. inject starts it and returns a function that ends it.
type fault struct {
	name   string
	inject func(s *soak, r *rand.Rand) (end func())
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// restart ends a node with the given method; the returned function starts it again.
func restart(s *soak, n *node, terminate func(*node)) func() {
	terminate(n)
	return func() {
		if err := n.start(); err != nil {
			_, _ = s.output.Write([]byte(err.Error() + "\n"))
		}
	}
}

// pause suspends a node with SIGSTOP; the returned function resumes it.
func pause(n *node) func() {
	n.signal(syscall.SIGSTOP)
	return func() { n.signal(syscall.SIGCONT) }
}

// linkFault puts a random entry's proxy into the given state.
func linkFault(state linkState) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		return pick(r, s.proxies).faults.begin(state)
	}
}

// scopedStoreFault is a fault of the store towards some clients, or towards all if clients
// is empty.
type scopedStoreFault struct {
	fault   standin.StoreFault
	clients []string
}

// storeFault makes the store misbehave, towards three randomly chosen nodes or, if
// someClients is false, towards all.
func storeFault(f standin.StoreFault, someClients bool) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		var clients []string
		if someClients {
			clients = append(clients, pick(r, s.ips), pick(r, s.ips), pick(r, s.ips))
		}
		return s.storeFaults.begin(scopedStoreFault{fault: f, clients: clients})
	}
}

// targetFault makes a random target misbehave.
func targetFault(f standin.TargetFault) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		return pick(r, s.targetFaults).begin(f)
	}
}

// callFault makes single calls of a random target fail, each with the given chances.
func callFault(c runtarget.Chances) func(*soak, *rand.Rand) func() {
	return func(s *soak, r *rand.Rand) func() {
		target := pick(r, s.targets)
		return target.Disturb(runtarget.Mix{Chances: runtarget.All(c), MaxDelay: maxCallDelay, Seed: r.Uint64()})
	}
}

// callFaultKinds lists the faults of a share of the calls of a target, beside which those of
// faultKinds go on.
var callFaultKinds = []fault{
	{"calls_mute", callFault(runtarget.Chances{runtarget.Silent: 0.5})},
	{"calls_lost", callFault(runtarget.Chances{runtarget.Lost: 0.4})},
	{"calls_reset", callFault(runtarget.Chances{runtarget.Reset: 0.25, runtarget.ResetExecuted: 0.25})},
	{"calls_busy", callFault(runtarget.Chances{runtarget.Busy: 0.5})},
	{"calls_mixed", callFault(runtarget.Chances{
		runtarget.Silent: 0.2, runtarget.Lost: 0.1, runtarget.Late: 0.1, runtarget.Reset: 0.1, runtarget.ResetExecuted: 0.1, runtarget.Busy: 0.2,
	})},
}

// faultKinds lists all other kinds. Different kinds may be in force at once, at one component
// too; injectUntil keeps one kind from overlapping with itself.
var faultKinds = []fault{
	{"entry_killed", func(s *soak, r *rand.Rand) func() { return restart(s, pick(r, s.entries), (*node).kill) }},
	{"entry_stopped", func(s *soak, r *rand.Rand) func() { return restart(s, pick(r, s.entries), (*node).stop) }},
	{"entry_paused", func(s *soak, r *rand.Rand) func() { return pause(pick(r, s.entries)) }},
	{"agent_killed", func(s *soak, r *rand.Rand) func() { return restart(s, pick(r, s.agents), (*node).kill) }},
	{"agent_stopped", func(s *soak, r *rand.Rand) func() { return restart(s, pick(r, s.agents), (*node).stop) }},
	{"agent_paused", func(s *soak, r *rand.Rand) func() { return pause(pick(r, s.agents)) }},
	{"hangup", func(s *soak, r *rand.Rand) func() { pick(r, s.entries).signal(syscall.SIGHUP); return func() {} }},
	{"link_silent", linkFault(linkStalled)},
	{"link_deaf", linkFault(linkStalledToEntry)},
	{"link_dumb", linkFault(linkStalledFromEntry)},
	{"link_slow", linkFault(linkSlow)},
	{"link_reset", func(s *soak, r *rand.Rand) func() { pick(r, s.proxies).resetAll(); return func() {} }},
	{"store_silent", storeFault(standin.StoreSilent, false)},
	{"store_busy", storeFault(standin.StoreBusy, true)},
	{"store_reset", storeFault(standin.StoreReset, true)},
	{"store_loses", storeFault(standin.StoreLosesResponses, false)},
	{"store_slow", storeFault(standin.StoreSlow, false)},
	{"store_forgets", func(s *soak, _ *rand.Rand) func() { s.store.DropHistory(); return func() {} }},
	{"store_revokes", func(s *soak, _ *rand.Rand) func() { s.store.RevokeLeased(""); return func() {} }},
	{"store_late", storeFault(standin.StoreExecutesLate, false)},
	{"odd_values", leaveOddValues},
	{"odd_heartbeat", sendOddHeartbeat},
	{"target_reborn", func(s *soak, r *rand.Rand) func() { pick(r, s.targets).Restart(); return func() {} }},
	{"target_mute", targetFault(standin.TargetSilent)},
	{"target_loses", callFault(runtarget.Chances{runtarget.ResetExecuted: 1. / 3})},
	{"target_late", callFault(runtarget.Chances{runtarget.Late: 1. / 3})},
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
		name := dataCentreName(r.IntN(dataCentreCount))
		s.store.Put(standin.EvacuatePrefix+name, []byte("{}"))
		from := time.Now()
		return func() {
			// Keeps the data centre out beyond the bound, so that late starts are detected.
			time.Sleep(maxStartAfterOutage)
			s.mu.Lock()
			s.outages = append(s.outages, outage{dataCentre: name, from: from, to: time.Now()})
			s.mu.Unlock()
			s.store.Delete(standin.EvacuatePrefix + name)
		}
	}},
}

// startInjections injects faults of all kinds until end. Those of single calls have a random
// sequence of their own, so that the others do not depend on how many kinds there are.
func (s *soak) startInjections(end time.Time) {
	callRandom := rand.New(rand.NewPCG(s.options.Seed, 2))
	s.injections.Go(func() { s.injectUntil(end, s.random, faultKinds) })
	s.injections.Go(func() { s.injectUntil(end, callRandom, callFaultKinds) })
}

// injectUntil injects faults of the given kinds at random times until end, at most one of each
// kind at once. Each fault ends in the background; s.injections waits for all of them.
func (s *soak) injectUntil(end time.Time, random *rand.Rand, kinds []fault) {
	active := make(map[string]chan struct{})
	for time.Now().Before(end) && s.ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanFaultInterval)))
		f := pick(random, kinds)
		duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
		// Seeded here rather than in the goroutine, so that the affected node or target
		// depends only on the seed.
		faultRandom := rand.New(rand.NewPCG(s.options.Seed, random.Uint64()))
		if ended := active[f.name]; ended != nil {
			select {
			case <-ended:
			default:
				continue
			}
		}
		ended := make(chan struct{})
		active[f.name] = ended
		s.countFault(f.name)
		s.injections.Go(func() {
			defer close(ended)
			endFault := f.inject(s, faultRandom)
			time.Sleep(duration)
			endFault()
		})
	}
}

func (s *soak) countFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultCounts[name]++
}
