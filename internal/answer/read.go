package answer

import (
	"encoding/json"
	"io"
)

// ErrTooLong is returned for answers that are longer than they may be.
var ErrTooLong = broken(TooLong, "the answer is too long")

// ReadAll reads a body to its end. It fails with ErrTooLong if the body has more than maxBytes, and if it breaks off.
func ReadAll(body io.Reader, maxBytes int) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, int64(maxBytes)+1))
	if err == nil && len(raw) > maxBytes {
		err = ErrTooLong
	}
	return raw, err
}

// Discard reads a body that is not used to its end, and fails as ReadAll does.
func Discard(body io.Reader, maxBytes int) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, int64(maxBytes)+1))
	if err == nil && n > int64(maxBytes) {
		err = ErrTooLong
	}
	return err
}

// Decode decodes a whole body from JSON.
func Decode(body []byte, value any) error {
	if err := json.Unmarshal(body, value); err != nil {
		return &BrokenError{Fault: Malformed, Err: err}
	}
	return nil
}
