package slopes

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// usage is the resource usage of a process at one instant.
type usage struct {
	at time.Time
	// cpu is the total CPU time of its threads.
	cpu time.Duration
	// memory is the resident anonymous memory in bytes.
	memory int64
}

const kilobyte = 1 << 10

// readUsage reads the usage of a process from /proc. CPU time is summed over the threads'
// schedstat files, which count in nanoseconds; the CPU time in the process's own stat
// file has a resolution of only 10 ms.
func readUsage(pid int) (usage, error) {
	u := usage{at: time.Now()}
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(paths) == 0 {
		return u, eris.Errorf("process %d has no threads", pid)
	}
	for _, path := range paths {
		u.cpu += threadTime(path)
	}
	u.memory, err = residentMemory(pid)
	return u, err
}

// threadTime returns the CPU time of a thread from its schedstat file.
func threadTime(path string) time.Duration {
	b, err := os.ReadFile(path)
	if err != nil {
		return 0 // the thread has ended
	}
	first, _, _ := strings.Cut(string(b), " ")
	ns, _ := strconv.ParseInt(first, 10, 64)
	return time.Duration(ns)
}

func residentMemory(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read process status")
	}
	for _, line := range strings.Split(string(b), "\n") {
		value, ok := strings.CutPrefix(line, "RssAnon:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return kb * kilobyte, eris.Wrap(err, "parse resident memory")
	}
	return 0, eris.Errorf("process %d reports no resident memory", pid)
}
