package soak

import (
	"slices"
	"sync"
)

// overlay lets several faults of one component be in force at once: the one that began
// last applies, and when it ends, the one before it applies again. The zero value of T is
// the healthy state.
type overlay[T any] struct {
	apply func(T)

	mu     sync.Mutex
	active []*T
}

// begin applies a state and returns a function that ends it.
func (o *overlay[T]) begin(state T) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	added := &state
	o.active = append(o.active, added)
	o.apply(state)
	return func() { o.end(added) }
}

func (o *overlay[T]) end(added *T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active = slices.DeleteFunc(o.active, func(other *T) bool { return other == added })
	if n := len(o.active); n > 0 {
		o.apply(*o.active[n-1])
		return
	}
	var healthy T
	o.apply(healthy)
}
