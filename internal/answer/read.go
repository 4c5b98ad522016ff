package answer

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"bulrushpond.example/bulrushpond/internal/quota"
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

// ErrNoRoom is returned for a long answer if all that are being read take too much together.
var ErrNoRoom = &BrokenError{Fault: NoRoom, Err: quota.ErrUsedUp}

// ReadLong is ReadAll for bodies that may be long: all readers of a room hold together what it allows, beyond quota.ShortBodyBytes each, and fail
// with ErrNoRoom otherwise.
func ReadLong(body io.Reader, maxBytes int, room *quota.Bytes) ([]byte, error) {
	raw, release, err := room.Read(body, maxBytes, nil)
	release()
	switch {
	case errors.Is(err, quota.ErrTooLong):
		err = ErrTooLong
	case errors.Is(err, quota.ErrUsedUp):
		err = ErrNoRoom
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

// Decode decodes the whole body of a response from JSON. If that fails, no request uses the connection again.
func Decode(resp *http.Response, body []byte, value any) error {
	if err := json.Unmarshal(body, value); err != nil {
		DropConn(resp)
		return &BrokenError{Fault: Malformed, Err: err}
	}
	return nil
}
