// Package load decides what waits, what is refused and where work is placed. Its
// types hold no lock, read no clock and send nothing: the scheduler passes them
// what it knows, so that a pattern of load can be replayed in a test.
package load
