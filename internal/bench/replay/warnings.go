package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rs/zerolog"
)

// maxWarnings bounds the warnings of one process that are printed.
const maxWarnings = 20

// logWarnings prints what the processes have warned of. It tells a fault from a violation by a
// process that was not run for longer than its lease.
func (p *player) logWarnings() {
	for _, n := range p.fleet.Nodes() {
		f, err := os.Open(n.LogPath())
		if err != nil {
			p.logf("log of %s: %v", n.Name, err)
			continue
		}
		for _, line := range warnings(f) {
			_, _ = fmt.Fprintln(p.progress, line)
		}
		_ = f.Close()
	}
}

// warnings returns the first lines of a log at level warn or above.
func warnings(r io.Reader) []string {
	var found []string
	lines := bufio.NewScanner(r)
	for lines.Scan() && len(found) < maxWarnings {
		var line struct {
			Level zerolog.Level `json:"level"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Level >= zerolog.WarnLevel && line.Level < zerolog.NoLevel {
			found = append(found, lines.Text())
		}
	}
	return found
}
