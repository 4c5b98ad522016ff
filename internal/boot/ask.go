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

// AskCmd sends one request as a caller.
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
func (c *AskCmd) Run(ctx context.Context, common Common) error {
	q := front.Question{Model: c.Model, Messages: []front.Message{{Role: "user", Content: c.Prompt}}, Stream: c.Stream, MaxTokens: c.MaxTokens}
	resp, err := postQuestion(ctx, c.URL, c.APIKey, q)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if c.Stream {
		return printStream(common.Out, resp.Body)
	}
	var answer front.Completion
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return err
	}
	return c.print(common.Out, answer, func(w io.Writer) { _, _ = fmt.Fprintln(w, contentOf(answer)) })
}

func contentOf(c front.Completion) string {
	if len(c.Choices) == 0 || c.Choices[0].Message == nil {
		return ""
	}
	return c.Choices[0].Message.Content
}

func postQuestion(ctx context.Context, base, key string, q front.Question) (*http.Response, error) {
	raw, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&body); err != nil {
		return nil, fmt.Errorf("the daemon answered %d", resp.StatusCode)
	}
	return nil, fmt.Errorf("%s (%s, %s)", body.Error.Message, body.Error.Reason, body.Error.Verdict)
}

type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *front.ErrorDetail `json:"error"`
}

// printStream prints a streamed answer. Without the end mark it was cut.
func printStream(w io.Writer, body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxAnswerBytes)
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
			return fmt.Errorf("the answer was cut: %s (%s)", chunk.Error.Message, chunk.Error.Verdict)
		}
		for _, choice := range chunk.Choices {
			_, _ = io.WriteString(w, choice.Delta.Content)
		}
	}
	return errors.New("the answer was cut: the end mark is missing")
}
