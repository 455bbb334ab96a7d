package slots

import "slices"

// serve lends available slots to waiting requests, one slot to one department
// in turn; the caller holds b.mu.
func (b *Broker) serve() {
	if b.waiting == 0 || !b.hasAvailable() {
		return
	}
	var filled []*request
	for idle := 0; idle < len(b.ring) && b.hasAvailable(); {
		d := b.turn()
		if d == nil {
			continue
		}
		r := b.serveDepartment(d)
		if r == nil {
			idle++
			continue
		}
		idle = 0
		if r.count == 1 {
			filled = append(filled, r)
		}
		if r.isFilled() {
			d.remove(r)
		}
	}
	for _, r := range filled {
		b.department(r.wish.GetDepartment()).remove(r)
		b.waiting--
		close(r.done)
	}
}

// turn returns the department whose turn it is. One without requests leaves the
// ring, and nil is returned.
func (b *Broker) turn() *department {
	b.next %= len(b.ring)
	d := b.ring[b.next]
	if len(d.requests) > 0 {
		b.next++
		return d
	}
	d.inRing = false
	b.ring = slices.Delete(b.ring, b.next, b.next+1)
	return nil
}

func (b *Broker) hasAvailable() bool {
	for _, z := range b.zones {
		if z.used != 0 {
			return true
		}
	}
	return false
}

// serveDepartment lends one slot to the first request of a department that can
// be served and returns it, or nil.
func (b *Broker) serveDepartment(d *department) *request {
	if len(d.requests) == 0 {
		return nil
	}
	quota := b.quota(d.name)
	if quota > 0 && d.total >= quota {
		return nil
	}
	for _, r := range d.requests[:min(len(d.requests), maxScan)] {
		a := b.choose(r)
		if a == nil {
			continue
		}
		b.lend(d, r, a, quota > 0)
		return r
	}
	return nil
}

func (b *Broker) lend(d *department, r *request, a *account, limited bool) {
	a.granted++
	a.health.probed(b.now())
	b.place(a)
	r.add(a)
	b.granted.Inc(1)
	if limited {
		u := d.usage(r.wish.GetEntry())
		d.setUsage(r.wish.GetEntry(), u.slots+1)
		u.grantedAt = b.now()
	}
}

// choose returns the target whose slot a request gets next, or nil: one in the
// entry's own data centre if any has a free slot there, otherwise the one with
// the most free slots elsewhere.
func (b *Broker) choose(r *request) *account {
	near := b.zones[r.wish.GetDataCentre()]
	if near != nil {
		if a := near.choose(b, r); a != nil {
			return a
		}
	}
	var best *account
	for _, z := range b.zones {
		if z == near || (best != nil && z.top() <= best.level) {
			continue
		}
		if a := z.choose(b, r); a != nil && (best == nil || a.level > best.level) {
			best = a
		}
	}
	return best
}

// suits reports whether a request may use a target now.
func (b *Broker) suits(a *account, r *request) bool {
	if !Fits(a.info, r.wish.GetDepartment(), r.wish.GetSize()) {
		return false
	}
	if !a.isLinked(r.wish.GetEntry()) {
		return false
	}
	if slices.Contains(r.wish.GetExcludedTargets(), a.info.GetName()) {
		return false
	}
	if !a.health.accepts(r.wish.GetRepeatable(), b.now()) {
		return false
	}
	return b.isAllowed(a, r.wish.GetDepartment())
}
