package load

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// usage is the sum of the resources that the nodes of one role have used.
type usage struct {
	nodes       int
	cpu         time.Duration
	residentKiB int64
}

// clockTick is the unit of processor time in /proc/PID/stat (USER_HZ is 100).
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/PID/stat that follow the command name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// readUsage returns the present usage of all nodes, by role.
func readUsage(f *fleet.Fleet) map[settings.Role]usage {
	byRole := make(map[settings.Role]usage)
	for _, n := range f.Nodes() {
		u := byRole[n.Role]
		u.nodes++
		u.cpu += processorTime(n.PID())
		u.residentKiB += residentKiB(n.PID())
		byRole[n.Role] = u
	}
	return byRole
}

func processorTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystemTime {
		return 0
	}
	user, _ := strconv.ParseInt(fields[fieldUserTime], 10, 64)
	system, _ := strconv.ParseInt(fields[fieldSystemTime], 10, 64)
	return time.Duration(user+system) * clockTick
}

func residentKiB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib
		}
	}
	return 0
}
