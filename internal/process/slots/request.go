package slots

import (
	"slices"
	"sort"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// request is one entry's wish for slots.
type request struct {
	wish *peerv1.AcquireSlots
	// since is when the oldest of its tasks began to wait.
	since   time.Time
	granted []*peerv1.GrantedSlots
	// count is the number of slots granted.
	count uint32
	racks []string
	// done is closed when the request has left the queue with slots.
	done chan struct{}
}

func (r *request) usesRack(rack string) bool { return slices.Contains(r.racks, rack) }

func (r *request) isFilled() bool { return r.count >= r.wish.GetTasks() }

// add records one granted slot.
func (r *request) add(a *account) {
	r.count++
	if !r.usesRack(a.info.GetRack()) {
		r.racks = append(r.racks, a.info.GetRack())
	}
	for _, g := range r.granted {
		if g.GetTarget() == a.info.GetName() {
			g.Slots++
			return
		}
	}
	r.granted = append(r.granted, &peerv1.GrantedSlots{Target: a.info.GetName(), Slots: 1})
}

// department is the queue of one department, those that wait longest first.
type department struct {
	name     string
	requests []*request
	inRing   bool
	// inUse counts the slots in use by entry, for departments with a quota.
	inUse map[uint64]*usage
	// total is the sum over inUse.
	total int
}

type usage struct {
	slots     int
	grantedAt time.Time
}

func (d *department) add(r *request) {
	i := sort.Search(len(d.requests), func(i int) bool { return d.requests[i].since.After(r.since) })
	d.requests = slices.Insert(d.requests, i, r)
}

func (d *department) remove(r *request) {
	if i := slices.Index(d.requests, r); i >= 0 {
		d.requests = slices.Delete(d.requests, i, i+1)
	}
}

// setUsage sets the slots in use through an entry.
func (d *department) setUsage(entry uint64, slots int) {
	u := d.usage(entry)
	d.total += slots - u.slots
	u.slots = slots
}

// forgetUsage drops an entry that is gone.
func (d *department) forgetUsage(entry uint64) {
	if u, ok := d.inUse[entry]; ok {
		d.total -= u.slots
		delete(d.inUse, entry)
	}
}

func (d *department) usage(entry uint64) *usage {
	u, ok := d.inUse[entry]
	if !ok {
		u = &usage{}
		d.inUse[entry] = u
	}
	return u
}
