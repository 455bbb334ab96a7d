package settings

const (
	// programMB is the resident part of a process that is not in its heap: the pages of the program and the
	// stacks of its threads, some 16 MB whatever the size of the machine.
	programMB = 16
	// heapPercent leaves room for what the heap exceeds its limit by while the garbage collector runs.
	heapPercent = 60
)

// HeapLimit returns the soft limit of the Go runtime, in bytes, for a process that is killed at memoryMB.
// Above it the garbage collector runs more often.
func HeapLimit(memoryMB int) int64 {
	return int64(max(memoryMB-programMB, memoryMB/2)) << 20 * heapPercent / 100
}
