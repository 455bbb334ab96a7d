// Package load implements the policies for admission control, queue order, placement
// and target health. Its types hold no locks, read no clock and do no I/O: the
// scheduler passes in the state, so tests can replay a load pattern deterministically.
package load
