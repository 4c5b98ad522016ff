package drive

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// discardedAnswer counts the failures that a caller is sent.
type discardedAnswer struct{ failures int }

func (*discardedAnswer) Begin(model.AnswerHead) error { return nil }
func (*discardedAnswer) Event(string) error           { return nil }
func (*discardedAnswer) Flush() error                 { return nil }
func (*discardedAnswer) Complete()                    {}
func (*discardedAnswer) Abort()                       {}
func (*discardedAnswer) Answer(engine.Answer)         {}
func (a *discardedAnswer) Fail(*verdt.Error)          { a.failures++ }

// TestRefusedRequestsAreLoggedUpToLimit checks that all requests without a known route are answered, that no more than the limit
// are logged, and that the others are counted.
func TestRefusedRequestsAreLoggedUpToLimit(t *testing.T) {
	var out bytes.Buffer
	log := evlog.New(logr.FromSlogHandler(slog.NewJSONHandler(&out, nil)))
	e := NewEdge(log, nil, nil, relay.New("a", nil, 1), 1, quietObserver{})
	e.SetRouting(&setts.Routing{Revision: 1})
	const requests = 5 * refusalLinesBurst
	answer := &discardedAnswer{}
	for range requests {
		e.Serve(t.Context(), &InboundRequest{}, answer)
	}
	assert.Equal(t, answer.failures, requests)
	lines := strings.Count(out.String(), "\n")
	assert.Assert(t, lines >= refusalLinesBurst && lines < 2*refusalLinesBurst, "%d", lines)
	assert.Equal(t, uint64(lines)+e.UnloggedRefusals(), uint64(requests))
}
