package boot

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"bulrushpond.example/bulrushpond/internal/front"
)

// AskCmd sends one model request to a daemon, as a caller does.
type AskCmd struct {
	Prompt    string `arg:"" help:"${help_prompt}"`
	URL       string `default:"http://127.0.0.1:7080" env:"BULRUSHPOND_URL" help:"${help_url}"`
	APIKey    string `required:"" env:"BULRUSHPOND_API_KEY" help:"${help_api_key}"`
	Model     string `required:"" help:"${help_model}"`
	Stream    bool   `help:"${help_stream}"`
	MaxTokens int    `help:"${help_max_tokens}"`
	OutputFlag
}

// Run implements the command.
func (c *AskCmd) Run(ctx context.Context, deps Dependencies) error {
	chatRequest := front.Question{Model: c.Model, Messages: []front.Message{{Role: "user", Content: c.Prompt}}, Stream: c.Stream, MaxTokens: c.MaxTokens}
	resp, err := postChatCompletion(ctx, c.URL, c.APIKey, chatRequest)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if c.Stream {
		return printStream(deps.Out, resp.Body)
	}
	var completion front.Completion
	if err := json.NewDecoder(resp.Body).Decode(&completion); err != nil {
		return err
	}
	return c.print(deps.Out, completion, func(w io.Writer) { _, _ = fmt.Fprintln(w, firstChoiceText(completion)) })
}

// firstChoiceText returns the text of the first choice, or an empty string.
func firstChoiceText(c front.Completion) string {
	if len(c.Choices) == 0 || c.Choices[0].Message == nil {
		return ""
	}
	return c.Choices[0].Message.Content
}

// postChatCompletion sends a chat completion request. Any status but 200 is returned as an
// error with the message, reason and verdict of the error body.
func postChatCompletion(ctx context.Context, baseURL, apiKey string, chatRequest front.Question) (*http.Response, error) {
	payload, err := json.Marshal(chatRequest)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/v1/chat/completions", bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var body front.ErrorBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&body); err != nil {
		return nil, fmt.Errorf("the daemon answered with status %d and no error body", resp.StatusCode)
	}
	return nil, fmt.Errorf("%s (%s, %s)", body.Error.Message, body.Error.Reason, body.Error.Verdict)
}

// streamChunk holds the printed fields of one event of a streamed completion.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *front.ErrorDetail `json:"error"`
}

// printStream prints the tokens of a server-sent event stream. A stream that ends without
// the [DONE] event is reported as truncated.
func printStream(w io.Writer, body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxResponseBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			_, err := fmt.Fprintln(w)
			return err
		}
		var chunk streamChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		if chunk.Error != nil {
			return fmt.Errorf("the stream was aborted: %s (%s)", chunk.Error.Message, chunk.Error.Verdict)
		}
		for _, choice := range chunk.Choices {
			_, _ = io.WriteString(w, choice.Delta.Content)
		}
	}
	return errors.New("the stream was truncated: the [DONE] event is missing")
}
