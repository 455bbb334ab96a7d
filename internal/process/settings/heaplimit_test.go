package settings

import "testing"

// TestHeapLimitLeavesRoomForTheProgram guards against a limit for the heap that is a share of the memory of
// a small machine without regard to what the process takes beside its heap.
func TestHeapLimitLeavesRoomForTheProgram(t *testing.T) {
	for memoryMB, want := range map[int]int{16: 4, 64: 28, 144: 76, 1024: 604} {
		if got := HeapLimit(memoryMB) >> 20; got != int64(want) {
			t.Errorf("HeapLimit(%d) is %d MB, want %d", memoryMB, got, want)
		}
	}
}
