package slots

import (
	"math/bits"
	"math/rand/v2"
)

const (
	// maxLevel is the number of available slots from which targets are taken
	// as equally free.
	maxLevel = 31
	// maxProbes bounds the targets tried by chance before all are searched.
	maxProbes = 8
)

// zone orders the targets of one data centre by their available slots.
type zone struct {
	levels [maxLevel + 1][]*account
	// used has a bit for each level that holds a target.
	used uint32
}

// move puts a target at the level of its available slots. Targets without any
// are in no level.
func (z *zone) move(a *account, available int) {
	level := min(max(available, 0), maxLevel)
	if level == a.level {
		return
	}
	z.drop(a)
	a.level = level
	if level == 0 {
		return
	}
	a.position = len(z.levels[level])
	z.levels[level] = append(z.levels[level], a)
	z.used |= 1 << level
}

func (z *zone) drop(a *account) {
	if a.level == 0 {
		return
	}
	list := z.levels[a.level]
	last := len(list) - 1
	list[a.position] = list[last]
	list[a.position].position = a.position
	list[last] = nil
	z.levels[a.level] = list[:last]
	if last == 0 {
		z.used &^= 1 << a.level
	}
	a.level = 0
}

// top returns the highest level in use, or 0.
func (z *zone) top() int { return bits.Len32(z.used) - 1 }

// choose returns the target with the most available slots that suits r, or nil.
// Among equals one in a rack that r has not used yet is preferred, otherwise
// chance decides.
func (z *zone) choose(b *Broker, r *request) *account {
	for used := z.used; used != 0; {
		level := bits.Len32(used) - 1
		used &^= 1 << level
		if a := chooseAmong(b, z.levels[level], r); a != nil {
			return a
		}
	}
	return nil
}

func chooseAmong(b *Broker, list []*account, r *request) *account {
	var second *account
	first := rand.IntN(len(list))
	for i := range list {
		if second != nil && i >= maxProbes {
			return second
		}
		a := list[(first+i)%len(list)]
		if !b.suits(a, r) {
			continue
		}
		if !r.usesRack(a.info.GetRack()) {
			return a
		}
		if second == nil {
			second = a
		}
	}
	return second
}
