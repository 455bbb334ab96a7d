package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// bodyLimit is max_body_bytes of the desired state.
const bodyLimit = 262144

// shapes are requests that clients send which nobody controls, by name.
var shapes = map[string]func() string{
	// A body inside the limit, whose steps are numbers.
	"numbers": func() string { return sized(listOf("0", bodyLimit)) },
	// A body of the same size, with a long string.
	"string": func() string {
		return sized(`{"` + wire.Unstored + `":true,"steps":[],"spec":"` + strings.Repeat("x", bodyLimit-100) + `"}`)
	},
	"announced": func() string { return sized(strings.Repeat("x", 10*bodyLimit)) },
	"sent": func() string {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 10000, strings.Repeat("x", 10000))
		return requestLine() + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 100)
	},
	"tiny chunks": func() string {
		return requestLine() + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 300000)
	},
	"head":        func() string { return requestLine() + "X-A: " + strings.Repeat("x", 1<<20) },
	"fields":      func() string { return requestLine() + strings.Repeat("a:b\r\n", 1<<18) },
	"empty lines": func() string { return strings.Repeat("\r\n", 1<<20) },
}

func requestLine() string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n", prefix, newID(), hostName)
}

// sized returns a request with an announced body.
func sized(body string) string {
	return fmt.Sprintf("%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", requestLine(), len(body), body)
}

// listOf returns a body of a length whose steps are equal items.
func listOf(item string, length int) string {
	start, end := `{"spec":"","`+wire.Unstored+`":true,"steps":[`, item+"]}"
	return start + strings.Repeat(item+",", (length-len(start)-len(end))/(len(item)+1)) + end
}

// playFlood sends requests of one shape to one entry over many connections. The arguments are the file
// of the record, the memory of the machine in MB, the connections, the seconds and the shape.
func playFlood(args []string) int {
	if len(args) < 5 {
		return cannotRun
	}
	memory, _ := strconv.Atoi(args[1])
	connections, _ := strconv.Atoi(args[2])
	seconds, _ := strconv.Atoi(args[3])
	request, ok := shapes[args[4]]
	record, err := newRecorder(args[0])
	if !ok || err != nil {
		return cannotRun
	}
	defer record.close()
	w, err := newWorldOf(worldSize{entries: 3, agents: 6, capacity: 32000, guards: true, entryMemoryMB: memory, descriptors: 3075})
	if w != nil {
		defer os.RemoveAll(w.dir)
		defer w.close()
	}
	if err != nil {
		record.line("cannot run: %v", err)
		return cannotRun
	}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() { w.submitOthers(200*time.Millisecond, stop) })
	time.Sleep(2 * time.Second)
	record.line("%s most memory of the entries in MB: %v", w.at(time.Now()), w.entryPeaks())
	var answered atomic.Int64
	if os.Getenv("TROUBLE") != "0" {
		record.line("%s %d connections begin to send requests to %s: %s", w.at(time.Now()), connections, w.entries[0].name, args[4])
		for range connections {
			senders.Go(func() { w.flood(request, stop, &answered) })
		}
	}
	for range seconds {
		time.Sleep(time.Second)
		record.line("%s %d of these requests answered; most memory of the entries in MB: %v", w.at(time.Now()), answered.Load(), w.entryPeaks())
	}
	peaks := w.entryPeaks()
	close(stop)
	senders.Wait()
	for i, peak := range peaks {
		if peak > memory {
			w.note("FAULT", "%s took %d MB, its machine has %d MB", w.entries[i].name, peak, memory)
		}
	}
	return w.verdict(record, "FAULT", "FELL")
}

func (w *world) entryPeaks() []int {
	peaks := make([]int, len(w.entries))
	for i, p := range w.entries {
		peaks[i] = p.peakMB()
	}
	return peaks
}

// flood sends one request after the other to the first entry until stop is closed, each over a
// connection of its own.
func (w *world) flood(request func() string, stop chan struct{}, answered *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if w.sendRaw(request()) == nil {
			answered.Add(1)
		} else {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// sendRaw sends a request to the first entry, and waits for the beginning of the answer.
func (w *world) sendRaw(request string) error {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", w.entries[0].ip, callerPort), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write([]byte(request)); err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 512))
	return err
}

// peakMB returns the most memory that a process has had resident.
func (p *process) peakMB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}
