package answer

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/answer/stubs"
	"bulrushpond.example/bulrushpond/internal/quota"
)

// TestConnTellsResetFromEnd checks that reads tell a reset from an end, whichever of a read and a write that is in progress notices it, and that
// all bytes before it can be read.
func TestConnTellsResetFromEnd(t *testing.T) {
	const request = "POST / HTTP/1.1\r\n\r\n"
	for _, s := range []struct {
		name string
		end  stubs.EndFunc
		want error
	}{
		{"reset", stubs.Reset, syscall.ECONNRESET},
		{"end", stubs.EndAndRead, nil},
		{"reset after the end", stubs.EndAndReset, nil},
	} {
		t.Run(s.name, func(t *testing.T) {
			address := stubs.ServeEarly(t, "answer", s.end)
			for range 5 * stubs.Tries {
				conn, err := Dialer((&net.Dialer{}).DialContext, quota.New(0))(t.Context(), "tcp", address)
				assert.NilError(t, err)
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = io.WriteString(conn, request)
					_, _ = conn.Write(make([]byte, stubs.LongUploadBytes))
				}()
				got, err := io.ReadAll(conn)
				if s.want == nil {
					assert.NilError(t, err)
				} else {
					assert.Assert(t, errors.Is(err, s.want), "%v", err)
				}
				assert.Equal(t, string(got), "answer")
				_ = conn.Close()
				<-written
			}
		})
	}
}

// TestConnWithoutState checks connections of which the kernel tells no state: a write that does not end must not keep a read from ending.
func TestConnWithoutState(t *testing.T) {
	ours, theirs := net.Pipe()
	conn, err := Dialer(func(context.Context, string, string) (net.Conn, error) { return endingConn{ours}, nil }, quota.New(0))(t.Context(), "", "")
	assert.NilError(t, err)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = conn.Write([]byte("nobody reads"))
	}()
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	_ = theirs.Close()
	<-written
}

// endingConn is a connection whose other side has ended.
type endingConn struct{ net.Conn }

func (endingConn) Read([]byte) (int, error) { return 0, io.EOF }
