package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const pagesPattern = "../../docs/operators/*.md"

var shellBlock = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")

// TestScriptsRunCommandsOfPages guards against documented commands that no longer work:
// each command in a shell block of an operators' page must run in the script of that
// page, such as page-start.txtar for START.md.
func TestScriptsRunCommandsOfPages(t *testing.T) {
	paths, err := filepath.Glob(pagesPattern)
	if err != nil || len(paths) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		blocks := shellBlock.FindAllStringSubmatch(string(text), -1)
		if len(blocks) == 0 {
			continue
		}
		name := strings.ToLower(strings.TrimSuffix(filepath.Base(path), ".md"))
		script, err := os.ReadFile("testdata/script/page-" + name + ".txtar")
		if err != nil {
			t.Error(err)
			continue
		}
		for _, block := range blocks {
			for line := range strings.Lines(block[1]) {
				if want := scriptLine(strings.TrimSpace(line)); !containsCommand(string(script), want) {
					t.Errorf("page-%s.txtar does not run %q", name, want)
				}
			}
		}
	}
}

// scriptLine converts a shell command of a page to testscript syntax.
func scriptLine(command string) string {
	command = strings.Replace(command, "export ", "env ", 1)
	command = strings.Replace(command, "kill -HUP PID", "signal HUP", 1)
	command = strings.Replace(command, "kill -TERM PID", "signal TERM", 1)
	if strings.HasPrefix(command, "cat ") {
		return "exec sh -c '" + command + "'"
	}
	if before, file, ok := strings.Cut(command, " < "); ok {
		return "stdin " + file + "\n" + before
	}
	return command
}

// containsCommand reports whether a script contains a command as complete lines. The
// command may be negated with "!", awaited, or run in the background.
func containsCommand(script, command string) bool {
	pattern := `(?m)^(?:! |await '[^']*' )?` + regexp.QuoteMeta(command) + `(?: &\w*&?)?$`
	return regexp.MustCompile(pattern).MatchString(script)
}
