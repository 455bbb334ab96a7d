package slots

import (
	"slices"
	"sort"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// request is a queued request of one entry for slots.
type request struct {
	params *peerv1.AcquireSlots
	// waitingSince is when the oldest task of the request began to wait.
	waitingSince time.Time
	granted      []*peerv1.GrantedSlots
	// grantedCount is the number of granted slots, grantedRacks their racks.
	grantedCount uint32
	grantedRacks []string
	// done is closed when the request has left the queue with granted slots.
	done chan struct{}
}

func (r *request) usesRack(rack string) bool { return slices.Contains(r.grantedRacks, rack) }

func (r *request) isFilled() bool { return r.grantedCount >= r.params.GetTasks() }

// add records one granted slot.
func (r *request) add(t *target) {
	r.grantedCount++
	if !r.usesRack(t.info.GetRack()) {
		r.grantedRacks = append(r.grantedRacks, t.info.GetRack())
	}
	for _, g := range r.granted {
		if g.GetTarget() == t.info.GetName() {
			g.Slots++
			return
		}
	}
	r.granted = append(r.granted, &peerv1.GrantedSlots{Target: t.info.GetName(), Slots: 1})
}

// departmentQueue holds the requests of one department, the longest waiting first.
type departmentQueue struct {
	name     string
	requests []*request
	inRing   bool
	// inUse holds the slots in use by entry, for departments with a quota.
	inUse map[uint64]*usage
	// totalInUse is the sum of the slots in inUse.
	totalInUse int
}

type usage struct {
	slots     int
	grantedAt time.Time
}

func (q *departmentQueue) add(r *request) {
	i := sort.Search(len(q.requests), func(i int) bool { return q.requests[i].waitingSince.After(r.waitingSince) })
	q.requests = slices.Insert(q.requests, i, r)
}

func (q *departmentQueue) remove(r *request) {
	if i := slices.Index(q.requests, r); i >= 0 {
		q.requests = slices.Delete(q.requests, i, i+1)
	}
}

// setUsage sets the number of slots in use by an entry.
func (q *departmentQueue) setUsage(entry uint64, slots int) {
	u := q.usageOf(entry)
	q.totalInUse += slots - u.slots
	u.slots = slots
}

// removeUsage removes the count of an entry that is gone.
func (q *departmentQueue) removeUsage(entry uint64) {
	if u, ok := q.inUse[entry]; ok {
		q.totalInUse -= u.slots
		delete(q.inUse, entry)
	}
}

func (q *departmentQueue) usageOf(entry uint64) *usage {
	u, ok := q.inUse[entry]
	if !ok {
		u = &usage{}
		q.inUse[entry] = u
	}
	return u
}
