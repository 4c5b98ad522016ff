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

	"bulrushpond.example/bulrushpond/internal/evlog"
)

// ExplainCmd shows the events of one request from the logs of one or several daemons.
type ExplainCmd struct {
	ID    string   `arg:"" help:"${help_explain_id}"`
	Files []string `arg:"" optional:"" type:"existingfile" help:"${help_explain_files}"`
}

// Run implements the command.
func (c *ExplainCmd) Run(deps Dependencies) error {
	var events []logEvent
	if len(c.Files) == 0 {
		read, err := readLogEvents("", os.Stdin)
		if err != nil {
			return err
		}
		events = read
	}
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		read, err := readLogEvents(path, f)
		if err := errors.Join(err, f.Close()); err != nil {
			return err
		}
		events = append(events, read...)
	}
	selected := requestTimeline(c.ID, events)
	if len(selected) == 0 {
		return fmt.Errorf("no log event names request %s", c.ID)
	}
	for _, event := range selected {
		if _, err := fmt.Fprintln(deps.Out, event.format()); err != nil {
			return err
		}
	}
	return nil
}

// logEvent is one event of a log.
type logEvent struct {
	at   time.Time
	file string
	// prefix is the text before the JSON object, such as the VM's name that a log
	// collector adds.
	prefix string
	name   string
	fields map[string]any
}

// maxLogLineBytes limits the length of one line of a log.
const maxLogLineBytes = 1 << 20

// readLogEvents reads the events of a log. Lines without a JSON event are skipped.
func readLogEvents(file string, r io.Reader) ([]logEvent, error) {
	var events []logEvent
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		event := logEvent{file: file, prefix: strings.TrimSpace(string(scanner.Bytes()[:start]))}
		if json.Unmarshal(scanner.Bytes()[start:], &event.fields) != nil {
			continue
		}
		timestamp, _ := event.fields["time"].(string)
		at, err := time.Parse(time.RFC3339Nano, timestamp)
		if err != nil {
			continue
		}
		event.at = at
		event.name, _ = event.fields["msg"].(string)
		events = append(events, event)
	}
	return events, trace.Wrap(scanner.Err())
}

const (
	// contextWindow is how long before and after a request other events are included.
	contextWindow = 2 * time.Second
	// unusableWindow is how long before a request the events are included that say which
	// servers the daemon could not use, whether the request used them or not.
	unusableWindow = time.Minute
)

// tellsUnusable reports whether an event says that a server asked not to be used.
func (e logEvent) tellsUnusable() bool {
	return e.name == evlog.ServerPaused.String() || e.name == evlog.ServerSaidLeaving.String()
}

// requestTimeline returns the events that name a request, and those that the same daemons
// logged within contextWindow of it, except events of other requests and of servers that
// the request didn't use, and the unusable servers of unusableWindow before. The events are
// ordered by time.
func requestTimeline(id string, events []logEvent) []logEvent {
	var timeline []logEvent
	requestServers := map[string]bool{}
	hosts := map[string]bool{}
	for _, event := range events {
		if event.fields["request"] != id {
			continue
		}
		timeline = append(timeline, event)
		hosts[event.file+"|"+event.host()] = true
		for _, name := range event.servers() {
			requestServers[name] = true
		}
	}
	if len(timeline) == 0 {
		return nil
	}
	byTime := func(a, b logEvent) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(timeline, byTime)
	var unusable []logEvent
	from, to := timeline[0].at.Add(-contextWindow), timeline[len(timeline)-1].at.Add(contextWindow)
	for _, event := range events {
		_, namesRequest := event.fields["request"]
		if event.tellsUnusable() && event.at.Before(from) && event.at.After(timeline[0].at.Add(-unusableWindow)) && hosts[event.file+"|"+event.host()] {
			unusable = append(unusable, event)
			continue
		}
		if namesRequest || event.at.Before(from) || event.at.After(to) || !hosts[event.file+"|"+event.host()] {
			continue
		}
		server, namesServer := event.fields["server"].(string)
		if !namesServer || requestServers[server] || event.tellsUnusable() {
			timeline = append(timeline, event)
		}
	}
	timeline = append(timeline, unusable...)
	slices.SortStableFunc(timeline, byTime)
	return timeline
}

// host returns the last word of the prefix: the name of the VM that logged the event, if
// the log collector adds it.
func (e logEvent) host() string {
	words := strings.Fields(e.prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// servers returns the backend servers that an event names.
func (e logEvent) servers() []string {
	var names []string
	for _, field := range []string{"server", "failed_server"} {
		if name, ok := e.fields[field].(string); ok && name != "" {
			names = append(names, name)
		}
	}
	chain, _ := e.fields["chain"].(string)
	for _, hop := range strings.Fields(chain) {
		name, _, _ := strings.Cut(hop, "=")
		names = append(names, name)
	}
	return names
}

// format returns the event as one line of text, with its fields sorted by name.
func (e logEvent) format() string {
	var line strings.Builder
	fmt.Fprintf(&line, "%s  %-18s %s", e.at.Format("15:04:05.000"), e.name, e.host())
	for _, name := range slices.Sorted(maps.Keys(e.fields)) {
		switch name {
		case "time", "level", "msg", "event":
			continue
		}
		if value := fmt.Sprint(e.fields[name]); value != "" {
			fmt.Fprintf(&line, "  %s=%s", name, value)
		}
	}
	return line.String()
}
