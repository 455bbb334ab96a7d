package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedItem is an item of the store.
type storedItem struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// oddValues are values that a field of another writer may have.
var oddValues = []string{
	`null`, `true`, `-1`, `0`, `""`, `"x"`, `[]`, `{}`, `1e999`, `99999999999999999999`, `-9223372036854775808`, `18446744073709551615`, `1.5`,
	`"127.0.0.1:99999"`, `"127.0.0.1:0"`, `"[::]:1"`, `"\ud800"`, strings.Repeat("[", 20000), strings.Repeat(`{"a":`, 20000),
	`"` + strings.Repeat("y", 60000) + `"`, `[null,null,{"a":[]}]`, `"ready"`, `"draining"`, `2147483648`,
}

// playOdd writes odd entries beside those of the processes, and sends odd status reports: the seed and
// the seconds.
func playOdd(args []string) int {
	seed, _ := strconv.ParseUint(args[0], 10, 64)
	seconds, _ := strconv.Atoi(args[1])
	r := rand.New(rand.NewPCG(seed, 5))
	w, err := newWorld(3, 6, 32000, true)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { w.submitOthers(25*time.Millisecond, stop) })
	time.Sleep(2 * time.Second)
	items := w.items()
	kinds := make(map[string]int)
	for _, item := range items {
		kinds[item.Key[:strings.LastIndex(item.Key, "/")+1]]++
	}
	fmt.Println("seed", seed, "prefixes", kinds)
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		item := items[r.IntN(len(items))]
		if strings.HasPrefix(item.Key, "op/config") {
			continue
		}
		value := oddOf(r, item.Value)
		key := item.Key + fmt.Sprintf("x%d", r.IntN(40))
		switch r.IntN(5) {
		case 0:
			w.store.Delete(key)
		case 1:
			w.store.Put(item.Key[:strings.LastIndex(item.Key, "/")+1]+fmt.Sprintf("odd%d/%d", r.IntN(9), r.IntN(9)), value)
		case 2:
			w.odd(r, value)
		default:
			w.store.Put(key, value)
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	others.Wait()
	complete := 0
	for _, j := range w.jobs {
		for _, a := range j.attempts {
			if a.state == "complete" {
				complete++
			} else {
				fmt.Printf("job %s sent %s, answered %s: %d %s %s\n", j.id, w.at(a.sent), w.at(a.got), a.status, a.state, a.err)
			}
		}
	}
	found := w.check()
	fmt.Printf("seed %d: %d of %d jobs complete, %d found, ready %v %v %v\n", seed, complete, len(w.jobs), len(found), w.isReady(0), w.isReady(1), w.isReady(2))
	for _, v := range found {
		fmt.Println(v.rule, v.text)
	}
	if len(found) > 0 {
		return broken
	}
	_ = os.RemoveAll(w.dir)
	return held
}

// items returns all items of the store.
func (w *world) items() []storedItem {
	response, err := http.Get(fmt.Sprintf("http://%s:%d%s", w.ip(70, 0), storePort, wire.List))
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Items []storedItem `json:"items"`
	}
	_ = json.NewDecoder(response.Body).Decode(&list)
	return list.Items
}

// oddOf changes some fields of a JSON object, or its bytes.
func oddOf(r *rand.Rand, value []byte) []byte {
	fields := make(map[string]json.RawMessage)
	if json.Unmarshal(value, &fields) != nil || r.IntN(10) == 0 {
		odd := bytes.Clone(value)
		for range 1 + r.IntN(4) {
			if len(odd) > 0 {
				odd[r.IntN(len(odd))] = byte(r.IntN(256))
			}
		}
		return odd[:r.IntN(len(odd)+1)]
	}
	var out bytes.Buffer
	out.WriteByte('{')
	for name, field := range fields {
		if out.Len() > 1 {
			out.WriteByte(',')
		}
		text := string(field)
		switch {
		case r.IntN(4) == 0:
			text = oddValues[r.IntN(len(oddValues))]
		case strings.HasPrefix(text, "{") && r.IntN(2) == 0:
			text = string(oddOf(r, field))
		}
		fmt.Fprintf(&out, "%q:%s", name, text)
	}
	out.WriteByte('}')
	return out.Bytes()
}

// odd sends an odd status report to an agent.
func (w *world) odd(r *rand.Rand, value []byte) {
	target := w.runners[r.IntN(len(w.runners))]
	report, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": target.address, "zone": target.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": 32000, "mem_mb": 131072, "gpu": 0},
		"labels": target.labels, "clock_ms": 1000, "sequence": 1, "born": 1,
	})
	if r.IntN(3) > 0 {
		value = oddOf(r, report)
	}
	client := http.Client{Timeout: time.Second}
	id := []string{"i-odd", "i-odd2", "i-%2F", "i-" + strings.Repeat("z", 300)}[r.IntN(4)]
	if response, err := client.Post("http://"+target.agent+"/v1/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(value)); err == nil {
		_ = response.Body.Close()
	}
}
