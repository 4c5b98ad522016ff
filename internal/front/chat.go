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

	"bulrushpond.example/bulrushpond/internal/conns"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Question is the body of a model request in the OpenAI format. Unknown fields are
// ignored, as client libraries expect. The names of Question and Message are part of
// the JSON type errors that callers receive.
type Question struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// maxMessages bounds the messages of one chat.
const maxMessages = 4096

// ParseModelRequest decodes and validates the body of a chat or text completion.
func ParseModelRequest(raw []byte, chat bool) (Question, error) {
	var request Question
	if err := json.Unmarshal(raw, &request); err != nil {
		return request, fmt.Errorf("the body is not JSON of the expected shape: %w", err)
	}
	switch {
	case request.Model == "":
		return request, errors.New("model is missing")
	case request.MaxTokens < 0:
		return request, errors.New("max_tokens must not be negative")
	case chat && (len(request.Messages) == 0 || len(request.Messages) > maxMessages):
		return request, fmt.Errorf("messages must hold 1 to %d turns", maxMessages)
	case !chat && request.Prompt == "":
		return request, errors.New("prompt is missing")
	}
	return request, nil
}

// promptText returns the prompt for the engines; chat messages become "role: content"
// lines.
func (q Question) promptText() string {
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

// cachedPrefixBytes is the length of the prompt prefix that identifies a cache entry.
// Shorter prompts are not worth caching.
const cachedPrefixBytes = 512

// promptPrefixHash returns the hash of the prompt's prefix, or 0 for a short prompt.
func promptPrefixHash(prompt string) uint64 {
	if len(prompt) < cachedPrefixBytes {
		return 0
	}
	return xxhash.Sum64String(prompt[:cachedPrefixBytes])
}

func (f *Front) serveChatCompletion(w http.ResponseWriter, r *http.Request) {
	f.serveModelRequest(w, r, true)
}

func (f *Front) serveTextCompletion(w http.ResponseWriter, r *http.Request) {
	f.serveModelRequest(w, r, false)
}

// serveModelRequest serves a chat completion, or a text completion if chat is false.
func (f *Front) serveModelRequest(w http.ResponseWriter, r *http.Request, chat bool) {
	c, failure := f.authenticate(r)
	if failure != nil {
		f.writeError(w, c, failure)
		return
	}
	arrivedAt := time.Now()
	failure = f.runModelRequest(w, r, c, chat, arrivedAt)
	f.observer.RequestEnded(c.team, failure)
}

// runModelRequest runs a model request, writes the response and returns the failure, or
// nil.
func (f *Front) runModelRequest(w http.ResponseWriter, r *http.Request, c caller, chat bool, arrivedAt time.Time) *verdt.Error {
	request, stream, failure := f.prepareModelRequest(w, r, c, chat)
	if failure != nil {
		f.writeError(w, c, failure)
		return failure
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline.Add(finalResultGrace))
	defer cancel()
	id, reply := f.streams.Start(request)
	defer reply.Close()
	reply.OnCut(conns.ClientOf(r.Context()).Drop)
	response := &modelResponse{front: f, w: w, caller: c, chat: chat, model: request.Model, id: fmt.Sprintf("req-%x", uint64(id)), arrivedAt: arrivedAt}
	if stream {
		failure = response.writeEventStream(ctx, reply)
	} else {
		failure = response.writeJSON(ctx, reply)
	}
	if ctx.Err() != nil || (failure != nil && failure.Reason == verdt.CallerGone) {
		f.streams.CallerGone(id)
	}
	return failure
}

// finalResultGrace is how long past the deadline to wait for the core's final result.
const finalResultGrace = time.Second

// prepareModelRequest reads and validates a model request. The boolean reports whether
// the response is to be streamed.
func (f *Front) prepareModelRequest(w http.ResponseWriter, r *http.Request, c caller, chat bool) (drive.ModelRequest, bool, *verdt.Error) {
	deadline, failure := c.deadline(r)
	if failure != nil {
		return drive.ModelRequest{}, false, failure
	}
	raw, failure := f.readBody(w, r, c)
	if failure != nil {
		return drive.ModelRequest{}, false, failure
	}
	request, err := ParseModelRequest(raw, chat)
	if err != nil {
		return drive.ModelRequest{}, false, verdt.New(verdt.NotRun, verdt.BadRequest, err.Error())
	}
	if request.MaxTokens > c.policy.MaxTokens {
		return drive.ModelRequest{}, false, verdt.New(verdt.NotRun, verdt.BadRequest, fmt.Sprintf("max_tokens may be at most %d", c.policy.MaxTokens))
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = c.policy.MaxTokens
	}
	prompt := request.promptText()
	return drive.ModelRequest{
		Team: c.team, Model: request.Model, Prompt: prompt, Prefix: promptPrefixHash(prompt), MaxTokens: request.MaxTokens, Deadline: deadline,
	}, request.Stream, nil
}

// modelResponse writes the response to one model request.
type modelResponse struct {
	front       *Front
	w           http.ResponseWriter
	caller      caller
	chat        bool
	model       string
	id          string
	arrivedAt   time.Time
	lastTokenAt time.Time
	tokenCount  int
}

// observeTokens reports the time to the first token, or the mean gap before n further
// tokens, to the observer.
func (r *modelResponse) observeTokens(n int) {
	now := time.Now()
	if r.tokenCount == 0 {
		r.front.observer.FirstToken(r.caller.team, now.Sub(r.arrivedAt))
	} else {
		r.front.observer.Gap(r.caller.team, now.Sub(r.lastTokenAt)/time.Duration(n))
	}
	r.lastTokenAt = now
	r.tokenCount += n
}

// writeJSON collects the whole response and writes it as one JSON body.
func (r *modelResponse) writeJSON(ctx context.Context, reply *drive.Reply) *verdt.Error {
	var text strings.Builder
	var buf []model.Token
	for {
		tokens, finish, err := reply.Next(ctx, buf[:0])
		if err != nil {
			return r.writeCallerGone()
		}
		for _, tok := range tokens {
			text.WriteString(tok.Text)
		}
		if len(tokens) > 0 {
			r.observeTokens(len(tokens))
		}
		buf = tokens
		if finish == nil {
			continue
		}
		if finish.Failure != nil {
			r.front.writeError(r.w, r.caller, finish.Failure)
			return finish.Failure
		}
		r.w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(r.w).Encode(r.completion(text.String(), finish.Tokens))
		return nil
	}
}

// writeCallerGone fails a request whose caller closed its connection or whose final
// result did not arrive in time.
func (r *modelResponse) writeCallerGone() *verdt.Error {
	failure := verdt.New(verdt.MayHaveRun, verdt.CallerGone, "the caller closed its connection")
	r.front.writeError(r.w, r.caller, failure)
	return failure
}

// writeEventStream writes the response as server-sent events: each token with its index
// as the event ID, then a chunk with the token count, then "[DONE]". A response without
// "[DONE]" is incomplete.
func (r *modelResponse) writeEventStream(ctx context.Context, reply *drive.Reply) *verdt.Error {
	controller := http.NewResponseController(r.w)
	started := false
	index := 0
	var buf []model.Token
	var events []byte
	for {
		tokens, finish, err := reply.Next(ctx, buf[:0])
		if err != nil {
			return r.writeCallerGone()
		}
		if finish != nil && finish.Failure != nil && !started && len(tokens) == 0 {
			r.front.writeError(r.w, r.caller, finish.Failure)
			return finish.Failure
		}
		if !started {
			started = true
			r.w.Header().Set("Content-Type", "text/event-stream")
			r.w.Header().Set("Cache-Control", "no-store")
		}
		events = events[:0]
		for _, tok := range tokens {
			events = r.appendTokenEvent(events, index, tok.Text)
			index++
		}
		if finish != nil {
			events = r.appendFinalEvents(events, finish)
		}
		if len(tokens) > 0 {
			r.observeTokens(len(tokens))
		}
		buf = tokens
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, writeErr := r.w.Write(events)
		flushErr := controller.Flush()
		if finish != nil {
			return finish.Failure
		}
		if writeErr != nil || flushErr != nil {
			return verdt.New(verdt.Ran, verdt.CallerGone, "the caller closed its connection")
		}
	}
}

// appendFinalEvents appends the last events of a stream: the token count and "[DONE]",
// or an error event.
func (r *modelResponse) appendFinalEvents(buf []byte, finish *msgs.Finish) []byte {
	if finish.Failure != nil {
		raw, _ := json.Marshal(ErrorBody{Error: errorDetail(finish.Failure)})
		buf = append(buf, "event: error\ndata: "...)
		buf = append(buf, raw...)
		return append(buf, "\n\n"...)
	}
	raw, _ := json.Marshal(r.finalChunk(finish.Tokens))
	buf = append(buf, "data: "...)
	buf = append(buf, raw...)
	return append(buf, "\n\ndata: [DONE]\n\n"...)
}

// ModelList is the response body of /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelInfo `json:"data"`
}

// ModelInfo is one model.
type ModelInfo struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// modelList returns the models that the policy allows, sorted by name. An empty
// AllowedModels allows all models.
func modelList(policy setts.Policy) ModelList {
	list := ModelList{Object: "list", Data: []ModelInfo{}}
	for _, name := range slices.Sorted(maps.Keys(policy.Models)) {
		if len(policy.AllowedModels) == 0 || slices.Contains(policy.AllowedModels, name) {
			list.Data = append(list.Data, ModelInfo{ID: name, Object: "model"})
		}
	}
	return list
}
