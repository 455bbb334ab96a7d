package slots

import "slices"

// serve grants available slots to waiting requests, one slot per department in
// round-robin order. The caller holds b.mu.
func (b *Broker) serve() {
	if b.waitingRequests == 0 || !b.hasAvailable() {
		return
	}
	var served []*request
	for idle := 0; idle < len(b.ring) && b.hasAvailable(); {
		q := b.nextDepartment()
		if q == nil {
			continue
		}
		r := b.serveDepartment(q)
		if r == nil {
			idle++
			continue
		}
		idle = 0
		if r.grantedCount == 1 {
			served = append(served, r)
		}
		if r.isFilled() {
			q.remove(r)
		}
	}
	for _, r := range served {
		b.queueFor(r.params.GetDepartment()).remove(r)
		b.waitingRequests--
		close(r.done)
	}
}

// nextDepartment returns the next department in the ring. If that has no requests, it is
// removed from the ring and nil is returned.
func (b *Broker) nextDepartment() *departmentQueue {
	b.nextInRing %= len(b.ring)
	q := b.ring[b.nextInRing]
	if len(q.requests) > 0 {
		b.nextInRing++
		return q
	}
	q.inRing = false
	b.ring = slices.Delete(b.ring, b.nextInRing, b.nextInRing+1)
	return nil
}

func (b *Broker) hasAvailable() bool {
	for _, dc := range b.dataCentres {
		if dc.occupied != 0 {
			return true
		}
	}
	return false
}

// serveDepartment grants one slot to the first request of a department that can be
// served. It returns that request, or nil.
func (b *Broker) serveDepartment(q *departmentQueue) *request {
	if len(q.requests) == 0 {
		return nil
	}
	quota := b.quota(q.name)
	if quota > 0 && q.totalInUse >= quota {
		return nil
	}
	for _, r := range q.requests[:min(len(q.requests), maxScan)] {
		t := b.chooseTarget(r)
		if t == nil {
			continue
		}
		b.grant(q, r, t, quota > 0)
		return r
	}
	return nil
}

func (b *Broker) grant(q *departmentQueue, r *request, t *target, limited bool) {
	t.granted++
	t.health.recordProbe(b.now())
	b.updateIndex(t)
	r.add(t)
	b.slotsGranted.Inc(1)
	if limited {
		u := q.usageOf(r.params.GetEntry())
		q.setUsage(r.params.GetEntry(), u.slots+1)
		u.grantedAt = b.now()
	}
}

// chooseTarget returns the target whose slot a request gets next, or nil. Targets in the
// entry's own data centre come first, then the one with the most free slots elsewhere.
func (b *Broker) chooseTarget(r *request) *target {
	near := b.dataCentres[r.params.GetDataCentre()]
	if near != nil {
		if t := near.chooseTarget(b, r); t != nil {
			return t
		}
	}
	var best *target
	for _, dc := range b.dataCentres {
		if dc == near || (best != nil && dc.topLevel() <= best.level) {
			continue
		}
		if t := dc.chooseTarget(b, r); t != nil && (best == nil || t.level > best.level) {
			best = t
		}
	}
	return best
}

// isEligible reports whether a request may use a target now.
func (b *Broker) isEligible(t *target, r *request) bool {
	if !Fits(t.info, r.params.GetDepartment(), r.params.GetSize()) {
		return false
	}
	if !t.isLinked(r.params.GetEntry()) {
		return false
	}
	if slices.Contains(r.params.GetExcludedTargets(), t.info.GetName()) {
		return false
	}
	if !t.health.accepts(r.params.GetRepeatable(), b.now()) {
		return false
	}
	return b.isAllowed(t, r.params.GetDepartment())
}
