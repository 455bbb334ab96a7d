package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// playTerm stops and starts processes in turn under clients that keep their connections: the seconds,
// and what is stopped: entries, agents or both.
func playTerm(args []string) int {
	seconds, _ := strconv.Atoi(args[0])
	w, err := newWorld(3, 6, 32000, true)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var wg sync.WaitGroup
	for n := range 40 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(n), 9))
			c, entry := newClient(), n%3
			for time.Now().Before(end) {
				ms := []int{60, 60, 200, 900, 2500}[r.IntN(5)]
				j := w.add(&job{id: newID(), spec: "x", steps: []step{{Count: 1 + r.IntN(4), CPU: 1000, MemMB: 64, EstimateMS: float64(ms), runTime: time.Duration(ms) * time.Millisecond}}})
				a := w.post(c, j, entry, time.Duration(1700+4*ms)*time.Millisecond)
				j.done = true
				if a.status == 0 || !w.entries[entry].alive() {
					entry = w.pick()
				}
				time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		for i := 0; time.Now().Before(end.Add(-7 * time.Second)); i++ {
			time.Sleep(time.Second)
			var list []*process
			if args[1] != "agents" {
				list = append(list, w.entries[i%3])
			}
			if args[1] != "entries" {
				list = append(list, w.agents[i%6])
			}
			for _, p := range list {
				p.signal(syscall.SIGTERM)
			}
			for _, p := range list {
				begun := time.Now()
				select {
				case <-p.exited:
				case <-time.After(6 * time.Second):
					fmt.Println("killed after the grace", p.name)
					p.kill()
				}
				fmt.Printf("%s %s ended after %v\n", w.at(time.Now()), p.name, time.Since(begun).Round(time.Millisecond))
				_ = p.start()
			}
		}
	})
	wg.Wait()
	time.Sleep(2 * time.Second)
	status := held
	counts := make(map[string]int)
	for _, j := range w.jobs {
		for _, a := range j.attempts {
			counts[fmt.Sprint(a.status, a.state)]++
			if a.status != 0 {
				continue
			}
			for _, r := range w.records {
				if r.job == j && r.begun.Before(a.got) {
					fmt.Println("LOST", j.id, w.at(a.sent), w.at(a.got), a.err, w.describe(r))
					status = broken
				}
			}
			if a.got.Sub(a.sent) > 200*time.Millisecond {
				fmt.Println("LOST late", j.id, w.at(a.sent), w.at(a.got), a.err)
			}
		}
	}
	fmt.Println(counts)
	for _, v := range w.check() {
		fmt.Println(v.rule, v.text)
	}
	return status
}
