package slots

import "time"

// returnMemory is how long the number of a handled return is kept. It exceeds the time for
// which an entry repeats a return, and that for which a call is in transit.
const returnMemory = 10 * time.Second

// returnLog holds the numbers of the returns that were handled, by entry.
type returnLog map[uint64]map[uint64]time.Time

// isRepeat records a return and reports whether it was handled before.
func (l returnLog) isRepeat(entry, sequence uint64, now time.Time) bool {
	if sequence == 0 {
		return false
	}
	handled, ok := l[entry]
	if !ok {
		handled = make(map[uint64]time.Time)
		l[entry] = handled
	}
	_, repeated := handled[sequence]
	handled[sequence] = now
	return repeated
}

// expire drops the numbers that no repeat carries any more.
func (l returnLog) expire(now time.Time) {
	for entry, handled := range l {
		for sequence, at := range handled {
			if now.Sub(at) > returnMemory {
				delete(handled, sequence)
			}
		}
		if len(handled) == 0 {
			delete(l, entry)
		}
	}
}
