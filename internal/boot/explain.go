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

	"bulrushpond.example/bulrushpond/internal/core/crash"
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
	// blockWindow is how long before a request the decisions on its prompt parts are included.
	blockWindow = crash.BlockDuration
)

// tellsUnusable reports whether an event says that a server asked not to be used.
func (e logEvent) tellsUnusable() bool {
	return e.name == evlog.ServerPaused.String() || e.name == evlog.ServerSaidLeaving.String() || e.name == evlog.ServerLimited.String()
}

// parts returns the prompt parts of the request that an event is about.
func (e logEvent) parts() []string {
	text, _ := e.fields["parts"].(string)
	return strings.Split(text, ",")
}

// requestLog is what the events of one request name.
type requestLog struct {
	servers, parts, hosts map[string]bool
	from, to              time.Time
}

// newRequestLog collects what the events of a request name, which are ordered by time.
func newRequestLog(events []logEvent) requestLog {
	l := requestLog{servers: map[string]bool{}, parts: map[string]bool{}, hosts: map[string]bool{}}
	l.from, l.to = events[0].at, events[len(events)-1].at
	for _, event := range events {
		l.hosts[event.file+"|"+event.host()] = true
		for _, name := range event.servers() {
			l.servers[name] = true
		}
		for _, part := range event.parts() {
			l.parts[part] = true
		}
	}
	return l
}

// concerns reports whether an event that names no request tells something about this one.
func (l requestLog) concerns(event logEvent) bool {
	if !l.hosts[event.file+"|"+event.host()] || event.at.After(l.to.Add(contextWindow)) {
		return false
	}
	if part, ok := event.fields["part"].(string); ok {
		return l.parts[part] && event.at.After(l.from.Add(-blockWindow))
	}
	if event.tellsUnusable() {
		return event.at.After(l.from.Add(-unusableWindow))
	}
	if event.at.Before(l.from.Add(-contextWindow)) {
		return false
	}
	server, namesServer := event.fields["server"].(string)
	return !namesServer || l.servers[server]
}

// requestTimeline returns the events that name a request, and those that the same daemons
// logged within contextWindow of it, except events of other requests and of servers that
// the request didn't use, the unusable servers of unusableWindow before, and the blocks of its
// prompt parts of blockWindow before. The events are ordered by time.
func requestTimeline(id string, events []logEvent) []logEvent {
	var timeline []logEvent
	for _, event := range events {
		if event.fields["request"] == id {
			timeline = append(timeline, event)
		}
	}
	if len(timeline) == 0 {
		return nil
	}
	byTime := func(a, b logEvent) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(timeline, byTime)
	request := newRequestLog(timeline)
	for _, event := range events {
		if _, namesRequest := event.fields["request"]; !namesRequest && request.concerns(event) {
			timeline = append(timeline, event)
		}
	}
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
