package slots

import (
	"math/bits"
	"math/rand/v2"
)

const (
	// maxLevel is the number of available slots from which targets count as equally
	// free.
	maxLevel = 31
	// maxRackTries is the number of targets of a level that are tried for a rack that
	// the request does not use yet.
	maxRackTries = 8
)

// dataCentre indexes the targets of one data centre by their available slots.
type dataCentre struct {
	levels [maxLevel + 1][]*target
	// occupied has a bit set for each level that holds a target.
	occupied uint32
}

// move puts a target in the level of its available slots. Targets without available
// slots are in no level.
func (dc *dataCentre) move(t *target, available int) {
	level := min(max(available, 0), maxLevel)
	if level == t.level {
		return
	}
	dc.remove(t)
	t.level = level
	if level == 0 {
		return
	}
	t.position = len(dc.levels[level])
	dc.levels[level] = append(dc.levels[level], t)
	dc.occupied |= 1 << level
}

func (dc *dataCentre) remove(t *target) {
	if t.level == 0 {
		return
	}
	list := dc.levels[t.level]
	last := len(list) - 1
	list[t.position] = list[last]
	list[t.position].position = t.position
	list[last] = nil
	dc.levels[t.level] = list[:last]
	if last == 0 {
		dc.occupied &^= 1 << t.level
	}
	t.level = 0
}

// topLevel returns the highest occupied level, or -1.
func (dc *dataCentre) topLevel() int { return bits.Len32(dc.occupied) - 1 }

// chooseTarget returns the eligible target with the most available slots for r, or nil.
// Among targets with equally many, one in a rack that r does not use yet is preferred;
// otherwise the choice is random.
func (dc *dataCentre) chooseTarget(b *Broker, r *request) *target {
	for used := dc.occupied; used != 0; {
		level := bits.Len32(used) - 1
		used &^= 1 << level
		if t := chooseFromLevel(b, dc.levels[level], r); t != nil {
			return t
		}
	}
	return nil
}

func chooseFromLevel(b *Broker, list []*target, r *request) *target {
	var fallback *target
	offset := rand.IntN(len(list))
	for i := range list {
		if fallback != nil && i >= maxRackTries {
			return fallback
		}
		t := list[(offset+i)%len(list)]
		if !b.isEligible(t, r) {
			continue
		}
		if !r.usesRack(t.info.GetRack()) {
			return t
		}
		if fallback == nil {
			fallback = t
		}
	}
	return fallback
}
