package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func([]string) int{"mix": playMix, "late": playLate, "term": playTerm, "flood": playFlood, "odd": playOdd, "overwritten": playOverwritten, "unstored": playUnstored}

// drawJob returns a job of one to three steps.
func drawJob(r *rand.Rand) *job {
	j := &job{id: newID(), spec: "job " + newID()}
	for i := range 1 + r.IntN(3) {
		s := step{Count: 1 + r.IntN(5), CPU: 1000 + 500*int64(r.IntN(5)), EstimateMS: 100, runTime: time.Duration(20+r.IntN(300)) * time.Millisecond}
		if i > 0 && r.IntN(4) > 0 {
			s.After = []int{r.IntN(i)}
		}
		if r.IntN(4) == 0 {
			s.Requires = []string{"a", "b"}[r.IntN(2)]
		}
		if r.IntN(3) == 0 {
			s.AntiAffinity = 1 + r.IntN(2)
		}
		j.steps = append(j.steps, s)
	}
	return j
}

// playMix plays random faults: seed, seconds, and the kinds of faults.
func playMix(args []string) int {
	seed, _ := strconv.ParseUint(args[0], 10, 64)
	seconds, _ := strconv.Atoi(args[1])
	kinds := strings.Split(args[2], ",")
	r := rand.New(rand.NewPCG(seed, 3))
	entries, agents := 3, 6
	if len(args) > 4 {
		entries, _ = strconv.Atoi(args[3])
		agents, _ = strconv.Atoi(args[4])
	}
	w, err := newWorld(entries, agents, 8000, false)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	var wg sync.WaitGroup
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	fr := rand.New(rand.NewPCG(seed, 4))
	wg.Go(func() {
		for time.Now().Before(end) {
			kind := kinds[fr.IntN(len(kinds))]
			a, b := fr.IntN(1000), fr.IntN(1000)
			fmt.Printf("%s fault %s %d %d\n", w.at(time.Now()), kind, a, b)
			wg.Go(func() { w.inject(kind, a, b) })
			time.Sleep(time.Duration(100+fr.IntN(1200)) * time.Millisecond)
		}
	})
	for time.Now().Before(end) {
		j := w.add(drawJob(r))
		cancelled, dup := r.IntN(6) == 0, r.IntN(15) == 0
		delay := time.Duration(r.IntN(400)) * time.Millisecond
		wg.Go(func() {
			if cancelled {
				wg.Go(func() { time.Sleep(delay); w.cancel(j, w.pick()) })
			}
			w.submit(j, 2*time.Second, 3)
			if dup && j.attempts[len(j.attempts)-1].status == 200 && !cancelled {
				time.Sleep(time.Second + 5*delay)
				w.submit(j, 2*time.Second, 1)
			}
		})
		time.Sleep(time.Duration(10+r.IntN(40)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	statuses := make(map[string]int)
	for _, j := range w.jobs {
		for _, a := range j.attempts {
			statuses[fmt.Sprint(a.status, a.state)]++
			if a.status == 0 && !strings.Contains(a.err, "refused") && !strings.Contains(a.err, "reset") && !strings.Contains(a.err, "EOF") {
				statuses["err:"+lastPart(a.err)]++
			}
		}
		for _, a := range j.cancels {
			statuses[fmt.Sprint("cancel", a.status)]++
		}
	}
	found := w.check()
	fmt.Printf("seed %d: %d jobs, %d runs, %v, %d found; logs in %s\n", seed, len(w.jobs), len(w.records), statuses, len(found), w.dir)
	for _, v := range found {
		fmt.Println(v.rule, v.text)
	}
	if len(found) > 0 {
		return broken
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	return held
}

func lastPart(s string) string {
	parts := strings.Split(s, ": ")
	return parts[len(parts)-1]
}

func (w *world) inject(kind string, a, b int) {
	e, g, r := w.entries[a%len(w.entries)], w.agents[a%len(w.agents)], w.runners[a%len(w.runners)]
	pause := time.Duration(50+b*4) * time.Millisecond
	p := e
	if strings.HasSuffix(kind, "agent") {
		p = g
	}
	if strings.HasSuffix(kind, "entry") || strings.HasSuffix(kind, "agent") {
		if !p.faulting.TryLock() {
			return
		}
		defer p.faulting.Unlock()
	}
	switch kind {
	case "killentry":
		e.kill()
		time.Sleep(200 * time.Millisecond)
		_ = e.start()
	case "killagent":
		g.kill()
		time.Sleep(time.Duration(50+b) * time.Millisecond)
		_ = g.start()
	case "termentry", "termagent":
		p.signal(syscall.SIGTERM)
		exited := p.exited
		select {
		case <-exited:
		case <-time.After(6 * time.Second):
			p.kill()
		}
		_ = p.start()
	case "pauseentry":
		e.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		e.signal(syscall.SIGCONT)
	case "pauseagent":
		g.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		g.signal(syscall.SIGCONT)
	case "crash", "crashnew":
		r.mu.Lock()
		up, id := r.up, r.id
		r.mu.Unlock()
		if !up {
			return
		}
		r.crash()
		time.Sleep(pause)
		labels := slices.Clone(r.labels)
		if kind == "crashnew" {
			id = fmt.Sprintf("i-%d-%d", a%len(w.runners), r.lives+1)
			labels[0] = []string{"a", "b"}[b%2]
		}
		for r.boot(id, labels) != nil {
			time.Sleep(20 * time.Millisecond)
		}
	case "late":
		r.mu.Lock()
		r.lateShare = []float64{0.06, 0.2, 0.5}[b%3]
		r.mu.Unlock()
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		r.lateShare = 0
		r.mu.Unlock()
	case "reject":
		r.mu.Lock()
		r.rejecting = true
		r.mu.Unlock()
		time.Sleep(pause)
		r.mu.Lock()
		r.rejecting = false
		r.mu.Unlock()
	case "silent":
		r.mu.Lock()
		r.silentFor = time.Now().Add(pause)
		r.mu.Unlock()
	case "slow":
		r.mu.Lock()
		r.slow = !r.slow
		r.mu.Unlock()
	case "fail":
		r.mu.Lock()
		r.failing = true
		r.mu.Unlock()
		time.Sleep(pause)
		r.mu.Lock()
		r.failing = false
		r.mu.Unlock()
	case "shrink":
		r.resize(8000)
		time.Sleep(time.Duration(b) * time.Millisecond)
		r.resize(3000)
		time.Sleep(6 * time.Second)
		r.resize(8000)
	case "hold":
		// A runner that does not answer the polls of a moment, which are executed.
		until := time.Now().Add(pause)
		r.mu.Lock()
		r.drop = func(kind string) bool { return kind == wire.Poll && time.Now().Before(until) }
		r.mu.Unlock()
	case "answers":
		until := time.Now().Add(pause)
		r.mu.Lock()
		r.drop = func(string) bool { return time.Now().Before(until) }
		r.mu.Unlock()
	case "evac":
		zone := zoneOf(a)
		w.store.Put("op/evacuate/"+zone, []byte("{}"))
		time.Sleep(3 * time.Second)
		w.store.Delete("op/evacuate/" + zone)
	}
}
