package front

import (
	"encoding/json"
	"strconv"
)

// Completion is the body of an unstreamed response, and the last chunk of a streamed
// one, in the OpenAI format.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is the only choice of a response.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

// Delta is the empty delta of a chat stream's last chunk; appendTokenEvent writes the
// others.
type Delta struct{}

// Usage holds the response's token count, so that a caller can detect an incomplete
// response.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// completion returns the response body for a complete text.
func (r *modelResponse) completion(text string, tokens int) Completion {
	body := Completion{ID: r.id, Object: "text_completion", Model: r.model, Usage: Usage{CompletionTokens: tokens}}
	choice := Choice{FinishReason: "stop"}
	if r.chat {
		body.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	body.Choices = []Choice{choice}
	return body
}

// finalChunk returns the last chunk of a streamed response, which has no text.
func (r *modelResponse) finalChunk(tokens int) Completion {
	chunk := r.completion("", tokens)
	if r.chat {
		chunk.Object = "chat.completion.chunk"
		chunk.Choices[0].Message, chunk.Choices[0].Delta = nil, &Delta{}
	}
	return chunk
}

// appendTokenEvent appends the event of one token. It builds the JSON by hand, so that
// quoting the text is the only encoding cost per token.
func (r *modelResponse) appendTokenEvent(buf []byte, index int, text string) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(index), 10)
	buf = append(buf, "\ndata: {\"id\":\""...)
	buf = append(buf, r.id...)
	if r.chat {
		buf = append(buf, `","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":`...)
	} else {
		buf = append(buf, `","object":"text_completion","choices":[{"index":0,"text":`...)
	}
	buf = appendJSONString(buf, text)
	if r.chat {
		buf = append(buf, '}')
	}
	return append(buf, "}]}\n\n"...)
}

// appendJSONString appends text as a JSON string. Printable ASCII without quotes and
// backslashes, the usual case, is copied; other text goes through encoding/json.
func appendJSONString(buf []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			raw, err := json.Marshal(text)
			if err != nil {
				return append(buf, `""`...)
			}
			return append(buf, raw...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, text...)
	return append(buf, '"')
}
