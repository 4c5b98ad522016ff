package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Question is the body of a model request, in the usual shape. Fields that the
// router does not know are accepted and ignored, as callers' libraries expect.
type Question struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// maxMessages bounds the turns of one chat.
const maxMessages = 4096

// ParseQuestion reads the body of a chat or a plain completion.
func ParseQuestion(raw []byte, chat bool) (Question, error) {
	var q Question
	if err := json.Unmarshal(raw, &q); err != nil {
		return q, fmt.Errorf("the body is not JSON of the expected shape: %w", err)
	}
	switch {
	case q.Model == "":
		return q, errors.New("model is missing")
	case q.MaxTokens < 0:
		return q, errors.New("max_tokens must not be negative")
	case chat && (len(q.Messages) == 0 || len(q.Messages) > maxMessages):
		return q, fmt.Errorf("messages must hold 1 to %d turns", maxMessages)
	case !chat && q.Prompt == "":
		return q, errors.New("prompt is missing")
	}
	return q, nil
}

// text returns what the engines are asked.
func (q Question) text() string {
	if len(q.Messages) == 0 {
		return q.Prompt
	}
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// prefixBytes is how much of a prompt stands for its cached prefix. Shorter
// prompts are not worth a place in a cache.
const prefixBytes = 512

func prefixOf(text string) uint64 {
	if len(text) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(text[:prefixBytes])
}

func (f *Front) serveChat(w http.ResponseWriter, r *http.Request) { f.serveQuestion(w, r, true) }

func (f *Front) serveCompletion(w http.ResponseWriter, r *http.Request) {
	f.serveQuestion(w, r, false)
}

func (f *Front) serveQuestion(w http.ResponseWriter, r *http.Request, chat bool) {
	c, failure := f.identify(r)
	if failure != nil {
		f.fail(w, c, failure)
		return
	}
	arrived := time.Now()
	failure = f.answerQuestion(w, r, c, chat, arrived)
	f.watch.Ended(c.team, failure)
}

// answerQuestion serves one model request and returns how it failed, or nil.
func (f *Front) answerQuestion(w http.ResponseWriter, r *http.Request, c caller, chat bool, arrived time.Time) *verdt.Error {
	ask, stream, failure := f.prepare(w, r, c, chat)
	if failure != nil {
		f.fail(w, c, failure)
		return failure
	}
	ctx, cancel := context.WithDeadline(r.Context(), ask.Deadline.Add(finalAnswerGrace))
	defer cancel()
	id, reply := f.streams.Start(ask)
	a := &answer{front: f, w: w, caller: c, chat: chat, model: ask.Model, id: fmt.Sprintf("req-%x", uint64(id)), arrived: arrived}
	if stream {
		failure = a.stream(ctx, reply)
	} else {
		failure = a.whole(ctx, reply)
	}
	if ctx.Err() != nil || (failure != nil && failure.Reason == verdt.CallerGone) {
		f.streams.Gone(id)
	}
	return failure
}

// finalAnswerGrace is how long after the deadline the final answer of the core is awaited.
const finalAnswerGrace = time.Second

// prepare checks a model request.
func (f *Front) prepare(w http.ResponseWriter, r *http.Request, c caller, chat bool) (drive.Ask, bool, *verdt.Error) {
	deadline, failure := c.deadline(r)
	if failure != nil {
		return drive.Ask{}, false, failure
	}
	raw, failure := f.readBody(w, r, c)
	if failure != nil {
		return drive.Ask{}, false, failure
	}
	q, err := ParseQuestion(raw, chat)
	if err != nil {
		return drive.Ask{}, false, verdt.New(verdt.NotRun, verdt.BadRequest, err.Error())
	}
	if q.MaxTokens > c.policy.MaxTokens {
		return drive.Ask{}, false, verdt.New(verdt.NotRun, verdt.BadRequest, fmt.Sprintf("max_tokens may be at most %d", c.policy.MaxTokens))
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = c.policy.MaxTokens
	}
	text := q.text()
	return drive.Ask{
		Team: c.team, Model: q.Model, Prompt: text, Prefix: prefixOf(text), MaxTokens: q.MaxTokens, Deadline: deadline,
	}, q.Stream, nil
}

// answer is one answer on its way to the caller.
type answer struct {
	front   *Front
	w       http.ResponseWriter
	caller  caller
	chat    bool
	model   string
	id      string
	arrived time.Time
	last    time.Time
	tokens  int
}

// observe times the tokens for the burn report.
func (a *answer) observe(n int) {
	now := time.Now()
	if a.tokens == 0 {
		a.front.watch.FirstToken(a.caller.team, now.Sub(a.arrived))
	} else {
		a.front.watch.Gap(a.caller.team, now.Sub(a.last)/time.Duration(n))
	}
	a.last = now
	a.tokens += n
}

// whole sends the answer in one piece.
func (a *answer) whole(ctx context.Context, reply *drive.Reply) *verdt.Error {
	var text strings.Builder
	var buf []model.Token
	for {
		tokens, finish, err := reply.Next(ctx, buf[:0])
		if err != nil {
			return a.abandoned()
		}
		for _, tok := range tokens {
			text.WriteString(tok.Text)
		}
		if len(tokens) > 0 {
			a.observe(len(tokens))
		}
		buf = tokens
		if finish == nil {
			continue
		}
		if finish.Failure != nil {
			a.front.fail(a.w, a.caller, finish.Failure)
			return finish.Failure
		}
		a.w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(a.w).Encode(a.completion(text.String(), finish.Tokens))
		return nil
	}
}

// abandoned is a request whose caller left or whose final answer never came.
func (a *answer) abandoned() *verdt.Error {
	f := verdt.New(verdt.MayHaveRun, verdt.CallerGone, "the caller closed its connection")
	a.front.fail(a.w, a.caller, f)
	return f
}

// stream sends the answer as server-sent events: each token with its index as
// the event's id, then the token count, then the end mark. An answer without
// the end mark was cut.
func (a *answer) stream(ctx context.Context, reply *drive.Reply) *verdt.Error {
	control := http.NewResponseController(a.w)
	started := false
	index := 0
	var buf []model.Token
	var line []byte
	for {
		tokens, finish, err := reply.Next(ctx, buf[:0])
		if err != nil {
			return a.abandoned()
		}
		if finish != nil && finish.Failure != nil && !started && len(tokens) == 0 {
			a.front.fail(a.w, a.caller, finish.Failure)
			return finish.Failure
		}
		if !started {
			started = true
			a.w.Header().Set("Content-Type", "text/event-stream")
			a.w.Header().Set("Cache-Control", "no-store")
		}
		line = line[:0]
		for _, tok := range tokens {
			line = a.appendToken(line, index, tok.Text)
			index++
		}
		if finish != nil {
			line = a.appendEnd(line, finish)
		}
		if len(tokens) > 0 {
			a.observe(len(tokens))
		}
		buf = tokens
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, werr := a.w.Write(line)
		ferr := control.Flush()
		if finish != nil {
			return finish.Failure
		}
		if werr != nil || ferr != nil {
			return verdt.New(verdt.Ran, verdt.CallerGone, "the caller closed its connection")
		}
	}
}

// appendEnd adds the last events of a stream.
func (a *answer) appendEnd(line []byte, finish *msgs.Finish) []byte {
	if finish.Failure != nil {
		raw, _ := json.Marshal(ErrorBody{Error: detailOf(finish.Failure)})
		line = append(line, "event: error\ndata: "...)
		line = append(line, raw...)
		return append(line, "\n\n"...)
	}
	raw, _ := json.Marshal(a.lastChunk(finish.Tokens))
	line = append(line, "data: "...)
	line = append(line, raw...)
	return append(line, "\n\ndata: [DONE]\n\n"...)
}

// ModelList is the body of the list of models.
type ModelList struct {
	Object string     `json:"object"`
	Data   []ModelRow `json:"data"`
}

// ModelRow is one model.
type ModelRow struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func modelList(p setts.Policy) ModelList {
	list := ModelList{Object: "list", Data: []ModelRow{}}
	for _, name := range slices.Sorted(maps.Keys(p.Models)) {
		if len(p.AllowedModels) == 0 || slices.Contains(p.AllowedModels, name) {
			list.Data = append(list.Data, ModelRow{ID: name, Object: "model"})
		}
	}
	return list
}
