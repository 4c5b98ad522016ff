package boot

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// ExplainCmd tells a request's story from the logs of one or several daemons.
type ExplainCmd struct {
	ID    string   `arg:"" help:"${help_explain_id}"`
	Files []string `arg:"" optional:"" type:"existingfile" help:"${help_explain_files}"`
}

// Run implements the command.
func (c *ExplainCmd) Run(common Common) error {
	var lines []logLine
	if len(c.Files) == 0 {
		read, err := readLog("", os.Stdin)
		if err != nil {
			return err
		}
		lines = read
	}
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		read, err := readLog(path, f)
		if err := errors.Join(err, f.Close()); err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	story := storyOf(c.ID, lines)
	if len(story) == 0 {
		return fmt.Errorf("no log line names request %s", c.ID)
	}
	for _, l := range story {
		if _, err := fmt.Fprintln(common.Out, l.text()); err != nil {
			return err
		}
	}
	return nil
}

// logLine is one event of a log.
type logLine struct {
	at   time.Time
	from string
	// before is what a collector put before the event, such as the VM's name.
	before string
	name   string
	fields map[string]any
}

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// readLog reads the events of a log; lines that are none are passed over.
func readLog(from string, r io.Reader) ([]logLine, error) {
	var lines []logLine
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLogLine)
	for scan.Scan() {
		start := bytes.IndexByte(scan.Bytes(), '{')
		if start < 0 {
			continue
		}
		l := logLine{from: from, before: strings.TrimSpace(string(scan.Bytes()[:start]))}
		if json.Unmarshal(scan.Bytes()[start:], &l.fields) != nil {
			continue
		}
		text, _ := l.fields["time"].(string)
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			continue
		}
		l.at = at
		l.name, _ = l.fields["msg"].(string)
		lines = append(lines, l)
	}
	return lines, trace.Wrap(scan.Err())
}

const (
	// around is how long before and after a request events about its servers matter.
	around = 2 * time.Second
)

// storyOf returns the lines that name a request, and those about the servers, settings
// and key-value service that the daemon concerned logged around it, in order.
func storyOf(id string, lines []logLine) []logLine {
	var story []logLine
	servers := map[string]bool{}
	places := map[string]bool{}
	for _, l := range lines {
		if l.fields["request"] != id {
			continue
		}
		story = append(story, l)
		places[l.from+"|"+l.place()] = true
		for _, name := range l.servers() {
			servers[name] = true
		}
	}
	if len(story) == 0 {
		return nil
	}
	byTime := func(a, b logLine) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(story, byTime)
	from, to := story[0].at.Add(-around), story[len(story)-1].at.Add(around)
	for _, l := range lines {
		_, request := l.fields["request"]
		if request || l.at.Before(from) || l.at.After(to) || !places[l.from+"|"+l.place()] {
			continue
		}
		server, about := l.fields["server"].(string)
		if !about || servers[server] {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, byTime)
	return story
}

// place is the VM that logged a line, as far as the collector tells it.
func (l logLine) place() string {
	words := strings.Fields(l.before)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// servers are the backend servers that a line names.
func (l logLine) servers() []string {
	var names []string
	for _, field := range []string{"server", "failed_server"} {
		if name, ok := l.fields[field].(string); ok && name != "" {
			names = append(names, name)
		}
	}
	chain, _ := l.fields["chain"].(string)
	for _, hop := range strings.Fields(chain) {
		name, _, _ := strings.Cut(hop, "=")
		names = append(names, name)
	}
	return names
}

// text writes a line for a person.
func (l logLine) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-18s %s", l.at.Format("15:04:05.000"), l.name, l.place())
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		switch name {
		case "time", "level", "msg", "event":
			continue
		}
		if value := fmt.Sprint(l.fields[name]); value != "" {
			fmt.Fprintf(&b, "  %s=%s", name, value)
		}
	}
	return b.String()
}
