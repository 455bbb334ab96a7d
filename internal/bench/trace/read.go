package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// LineError is an error in a line of a trace file.
type LineError struct {
	Line int
	Err  error
}

// Error returns the line number and the cause.
func (e *LineError) Error() string {
	return eris.Errorf("line %d: %v", e.Line, e.Err).Error()
}

const maxLineBytes = 1 << 20

// Read reads and validates a trace. All its errors are of type *LineError.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	number := 0
	c := newChecker(t)
	for lines.Scan() {
		number++
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := t.readLine(line, c); err != nil {
			return nil, &LineError{Line: number, Err: err}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, &LineError{Line: number + 1, Err: err}
	}
	if !c.hasFleet {
		return nil, &LineError{Line: number + 1, Err: eris.New("trace has no fleet")}
	}
	return t, nil
}

func (t *Trace) readLine(line []byte, c *checker) error {
	if !c.hasFleet {
		if err := decode(line, &t.Fleet); err != nil {
			return err
		}
		c.hasFleet = true
		return c.checkFleet()
	}
	var head struct {
		Do     string `json:"do"`
		Expect string `json:"expect"`
	}
	if err := json.Unmarshal(line, &head); err != nil {
		return err
	}
	switch {
	case head.Do != "" && head.Expect != "":
		return eris.New("line has both do and expect")
	case head.Do != "":
		return t.readEvent(line, head.Do, c)
	case head.Expect != "":
		return t.readExpectation(line, head.Expect, c)
	default:
		return eris.New("line has neither do nor expect")
	}
}

func (t *Trace) readEvent(line []byte, do string, c *checker) error {
	e, err := decodeEvent(line, do)
	if err != nil {
		return err
	}
	if err := c.checkEvent(e, do); err != nil {
		return err
	}
	t.Events = append(t.Events, e)
	return nil
}

func decodeEvent(line []byte, do string) (Event, error) {
	switch do {
	case "submit":
		return decodeInto(line, &Submit{})
	case "resubmit":
		return decodeInto(line, &Resubmit{})
	case "cancel":
		return decodeInto(line, &Cancel{})
	case "data_centre_out", "data_centre_in", "target_leave", "target_return", "department_leave", "department_return":
		return decodeInto(line, &Change{})
	case "kill", "stop", "start":
		return decodeInto(line, &NodeEvent{})
	case "pause":
		return decodeInto(line, &Pause{})
	case "partition":
		return decodeInto(line, &Partition{})
	case "store":
		return decodeInto(line, &StoreFault{})
	case "target_fault":
		return decodeInto(line, &TargetFault{})
	default:
		return nil, eris.Errorf("unknown event %q", do)
	}
}

func (t *Trace) readExpectation(line []byte, kind string, c *checker) error {
	var x Expectation
	var err error
	switch kind {
	case "job":
		x, err = decodeInto(line, &JobOutcome{})
	case "no_starts", "some_starts":
		x, err = decodeInto(line, &StartWindow{})
	case "ratio":
		x, err = decodeInto(line, &RatioLimit{})
	case "messages":
		x, err = decodeInto(line, &MessageLimit{})
	case "counter":
		x, err = decodeInto(line, &CounterLimits{})
	default:
		err = eris.Errorf("unknown outcome %q", kind)
	}
	if err != nil {
		return err
	}
	if err := c.checkExpectation(x); err != nil {
		return err
	}
	t.Expectations = append(t.Expectations, x)
	return nil
}

func decodeInto[T any](line []byte, v T) (T, error) {
	return v, decode(line, v)
}

// decode unmarshals one JSON object and rejects unknown fields and trailing data.
func decode(line []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return eris.New("data after the object")
	}
	return nil
}
