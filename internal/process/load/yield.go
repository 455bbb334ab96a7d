package load

// MustYield reports whether a task leaves the free capacity to more urgent tasks that wait
// at other entries. free and urgent are the free capacity of all targets and the capacity
// that these tasks need.
//
// It addresses an overload with several entries that share the targets. An entry orders
// only its own tasks, so it would give capacity that becomes free to its less urgent jobs
// while more urgent ones wait elsewhere until it is too late for them.
func MustYield(free, urgent, cpu int64) bool { return urgent > 0 && free-urgent < cpu }
