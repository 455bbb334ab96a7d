package server

import "sync/atomic"

// incarnationOf is the incarnation of the other side of a link, once known.
type incarnationOf struct {
	known atomic.Pointer[uint64]
}

func (i *incarnationOf) set(incarnation uint64) { i.known.Store(&incarnation) }

func (i *incarnationOf) get() (uint64, bool) {
	known := i.known.Load()
	if known == nil {
		return 0, false
	}
	return *known, true
}
