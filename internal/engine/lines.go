package engine

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	jsonv2 "github.com/go-json-experiment/json"

	"bulrushpond.example/bulrushpond/internal/answer"
	"bulrushpond.example/bulrushpond/internal/quota"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// lineBufferBytes is the size of a stream's buffer at first, and maxLineBytes bounds a line.
	lineBufferBytes = 4 << 10
	maxLineBytes    = 1 << 20
	// maxBytesPerToken bounds the text of a stream, which is maxLineBytes and this much for each token that its request allows, or
	// maxTextBytes if it names no number.
	maxBytesPerToken = 1 << 10
	maxTextBytes     = 16 << 20
	// freeStreamBytes is what each stream may hold whatever others hold.
	freeStreamBytes = 64 << 10
)

// Line is one line of an engine's streamed response: a token or a stage's failure.
type Line struct {
	model.Token
	// Error is set on the last line of a stream that failed.
	Error string `json:"error,omitempty"`
	// Server is the server whose stage failed.
	Server model.ServerID `json:"server,omitempty"`
}

// Errors of streams that are broken.
var (
	errMalformedLine = &answer.BrokenError{Fault: answer.Malformed, Err: errors.New("the engine sent a malformed line")}
	errEndedEarly    = &answer.BrokenError{Fault: answer.Cut, Err: errors.New("the engine ended the stream early")}
)

// readLines passes the tokens of a stream to sink, up to the end token. It fails with a *verdt.Error if the engine says that a stage failed. Its
// buffer and the text that it has passed on, which is kept so that the request can go on at another engine, take what room allows.
func readLines(body io.Reader, maxTokens int, room *quota.Bytes, sink func(model.Token)) error {
	holder := room.Holder(freeStreamBytes)
	defer holder.Release()
	maxText := maxTextBytes
	if maxTokens > 0 {
		maxText = maxLineBytes + maxBytesPerToken*maxTokens
	}
	textBytes := 0
	lines := newLineScanner(body, holder)
	for lines.Scan() {
		var line Line
		if err := jsonv2.Unmarshal(lines.Bytes(), &line); err != nil {
			return errMalformedLine
		}
		if line.Error != "" {
			return verdt.New(verdt.MayHaveRun, verdt.StageFailed, answer.Clip(line.Error), verdt.Server(answer.Clip(string(line.Server))))
		}
		if textBytes += len(line.Text); textBytes > maxText {
			return &answer.BrokenError{Fault: answer.TooLong, Err: fmt.Errorf("a stream of over %d bytes for %d tokens", maxText, maxTokens)}
		}
		if err := holder.Take(int64(len(line.Text))); err != nil {
			return answer.ErrNoRoom
		}
		sink(line.Token)
		if line.End {
			return nil
		}
	}
	switch err := lines.Err(); {
	case err == nil:
		return errEndedEarly
	case errors.Is(err, bufio.ErrTooLong):
		return answer.ErrTooLong
	case errors.Is(err, quota.ErrUsedUp):
		return answer.ErrNoRoom
	default:
		return err
	}
}

// newLineScanner returns a scanner of lines of at most maxLineBytes. Its buffer counts for the holder.
func newLineScanner(body io.Reader, holder *quota.Holder) *bufio.Scanner {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, lineBufferBytes), maxLineBytes)
	bufferBytes := lineBufferBytes
	scanner.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		advance, line, err := bufio.ScanLines(data, atEOF)
		if err != nil || advance > 0 || len(data) < bufferBytes {
			return advance, line, err
		}
		// The buffer is full, and the scanner doubles it.
		if err := holder.Take(int64(bufferBytes)); err != nil {
			return 0, nil, err
		}
		bufferBytes *= 2
		return 0, nil, nil
	})
	return scanner
}
