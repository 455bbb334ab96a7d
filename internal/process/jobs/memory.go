package jobs

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

// Memory of a remembered job besides the encoded size of its answer, in bytes.
const (
	jobBytes    = 1000
	resultBytes = 140
)

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
func (j *Job) size() int64 {
	return int64(jobBytes + resultBytes*len(j.answer.GetResults()) + proto.Size(j.answer))
}

// SetMemory makes the table share a bound; it is called before the first job.
func (t *Table) SetMemory(m *Memory) { t.memory = m }
