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

// Memory limits the memory of the answers that the tables of an entry remember. It is
// safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory with a limit in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

func (m *Memory) add(bytes int64) { m.used.Add(bytes) }

func (m *Memory) isFull() bool { return m.used.Load() >= m.limit }

// Used returns the bytes in use.
func (m *Memory) Used() int64 { return m.used.Load() }

// size returns the memory of an ended job and its answer in bytes.
func (j *Job) size() int64 {
	return int64(jobOverheadBytes + resultOverheadBytes*len(j.answer.GetResults()) + proto.Size(j.answer))
}

// SetMemory makes the table use a Memory that it shares with other tables. It must be
// called before the first job is submitted.
func (t *Table) SetMemory(m *Memory) { t.memory = m }
