package jobs

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

// Memory of a remembered job and of each of its results in bytes, in addition to the
// encoded size of the answer.
const (
	jobOverheadBytes    = 1000
	resultOverheadBytes = 140
)

// MemoryLimit limits the memory of the answers that the tables of an entry remember. It is
// safe for concurrent use.
type MemoryLimit struct {
	limit int64
	used  atomic.Int64
}

// NewMemoryLimit returns a memory limit in bytes.
func NewMemoryLimit(limit int64) *MemoryLimit { return &MemoryLimit{limit: limit} }

func (m *MemoryLimit) add(bytes int64) { m.used.Add(bytes) }

func (m *MemoryLimit) isFull() bool { return m.used.Load() >= m.limit }

// Used returns the bytes in use.
func (m *MemoryLimit) Used() int64 { return m.used.Load() }

// size returns the memory of an ended job and its answer in bytes.
func (j *Job) size() int64 {
	return int64(jobOverheadBytes + resultOverheadBytes*len(j.answer.GetResults()) + proto.Size(j.answer))
}

// SetMemoryLimit makes the table use a limit that it shares with other tables. It must be
// called before the first job is submitted.
func (t *Table) SetMemoryLimit(m *MemoryLimit) { t.memory = m }
