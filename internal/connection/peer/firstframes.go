package peer

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxFirstFrameItems bounds each list and map of a first frame: an item of a byte takes up to some
// hundred bytes once it is decoded. A target runs a few thousand tasks at most.
const maxFirstFrameItems = 16 << 10

// errFirstFrames ends a link whose first frame does not fit into the memory for them.
var errFirstFrames = eris.New("the first frames of all links take too much memory")

// firstFrameMode decodes first frames.
var firstFrameMode = mustDecMode(cbor.DecOptions{MaxArrayElements: maxFirstFrameItems, MaxMapPairs: maxFirstFrameItems})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// FirstFrames bounds the memory of first frames, which arrive before their senders are known. nil has
// no bound. It is safe for concurrent use.
type FirstFrames struct {
	// decoding is held while a frame is decoded, since that takes several times as much memory as the
	// frame itself.
	decoding sync.Mutex

	mu         sync.Mutex
	used, most int
}

// NewFirstFrames returns a FirstFrames for frames of most bytes together.
func NewFirstFrames(most int) *FirstFrames { return &FirstFrames{most: most} }

// frameCharge is what one frame takes of a FirstFrames.
type frameCharge struct {
	memory *FirstFrames
	bytes  int
}

func (m *FirstFrames) charge() *frameCharge { return &frameCharge{memory: m} }

// grow reports whether the buffer of the frame may have a size.
func (c *frameCharge) grow(size int) bool {
	if c.memory == nil {
		return true
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	// A buffer of the least size is always allowed: most hellos fit into it.
	if c.memory.used+size-c.bytes > c.memory.most && size > readBufferBytes {
		return false
	}
	c.memory.used += size - c.bytes
	c.bytes = size
	return true
}

func (c *frameCharge) release() {
	if c.memory == nil {
		return
	}
	c.memory.mu.Lock()
	c.memory.used -= c.bytes
	c.memory.mu.Unlock()
}

// decode decodes the body of a frame.
func (m *FirstFrames) decode(body []byte, f *Frame) error {
	if m == nil {
		return cbor.Unmarshal(body, f)
	}
	m.decoding.Lock()
	defer m.decoding.Unlock()
	return firstFrameMode.Unmarshal(body, f)
}
