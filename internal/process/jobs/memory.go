package jobs

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

// jobBytes is the memory of a remembered job without its answer.
const jobBytes = 512

// Memory bounds the answers that the tables of an entry remember. It is safe
// for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a bound of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

func (m *Memory) add(bytes int64) { m.used.Add(bytes) }

func (m *Memory) isFull() bool { return m.used.Load() >= m.limit }

// Used returns the bytes in use.
func (m *Memory) Used() int64 { return m.used.Load() }

// size returns the memory of a job with its answer in bytes.
func (j *Job) size() int64 { return jobBytes + int64(proto.Size(j.answer)) }

// SetMemory makes the table share a bound; it is called before the first job.
func (t *Table) SetMemory(m *Memory) { t.memory = m }
