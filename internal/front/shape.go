package front

import (
	"encoding/json"
	"strconv"
)

// Completion is the body of a whole answer, and the last chunk of a streamed
// one, in the usual shape.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is the one choice of an answer.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

// Delta is the part of a chat answer that a chunk adds; the last one is empty.
type Delta struct{}

// Usage counts the answer's tokens, so that a cut answer can be told.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (a *answer) completion(text string, tokens int) Completion {
	c := Completion{ID: a.id, Object: "text_completion", Model: a.model, Usage: Usage{CompletionTokens: tokens}}
	choice := Choice{FinishReason: "stop"}
	if a.chat {
		c.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	c.Choices = []Choice{choice}
	return c
}

func (a *answer) lastChunk(tokens int) Completion {
	c := a.completion("", tokens)
	if a.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Message, c.Choices[0].Delta = nil, &Delta{}
	}
	return c
}

// appendToken adds one token's event. The frame is written by hand, so that a
// token costs no more than the quoting of its text.
func (a *answer) appendToken(line []byte, index int, text string) []byte {
	line = append(line, "id: "...)
	line = strconv.AppendInt(line, int64(index), 10)
	line = append(line, "\ndata: {\"id\":\""...)
	line = append(line, a.id...)
	if a.chat {
		line = append(line, `","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":`...)
	} else {
		line = append(line, `","object":"text_completion","choices":[{"index":0,"text":`...)
	}
	line = appendQuoted(line, text)
	if a.chat {
		line = append(line, '}')
	}
	return append(line, "}]}\n\n"...)
}

// appendQuoted adds a JSON string. Plain printable text, the usual case, is
// copied; all else goes through the library.
func appendQuoted(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			raw, err := json.Marshal(text)
			if err != nil {
				return append(line, `""`...)
			}
			return append(line, raw...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
