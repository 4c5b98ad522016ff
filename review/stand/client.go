package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	ID string
	// Status is 0 if there was no answer.
	Status   int
	Signed   bool
	Body     string
	Complete bool
	Err      error
	// SentAt is when the last byte of the request was written, and EndedAt when the answer ended.
	SentAt, EndedAt time.Time
	Header          http.Header
}

func (a answer) String() string {
	return fmt.Sprintf("%s: status %d, signed %t, complete %t, %d bytes, %v", a.ID, a.Status, a.Signed, a.Complete, len(a.Body), a.Err)
}

var lastRequest atomic.Int64

// requestText returns an ID and the text of a request with that ID.
func requestText(key, method, path string, deadlineMs int, body string) (id, text string) {
	id = fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, callersHost, id, deadlineMs, key)
	if strings.HasPrefix(path, "/draft/") || strings.HasPrefix(path, "/once/") {
		fmt.Fprintf(&b, "Model: m0\r\nToken-Usage: 760,200\r\nPrompt-Prefix: 5c1e07a2:40,%s:720\r\n", id)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return id, b.String()
}

// send sends a request on a new connection and reads the answer.
func (w *world) send(address, method, path string, deadline time.Duration, body string) answer {
	return w.sendWithKey(apiKey, address, method, path, deadline, body)
}

// sendWithKey is send with another key.
func (w *world) sendWithKey(key, address, method, path string, deadline time.Duration, body string) answer {
	id, text := requestText(key, method, path, int(deadline.Milliseconds()), body)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{ID: id, Err: err, EndedAt: time.Now()}
	}
	defer func() { _ = conn.Close() }()
	return w.exchange(conn, id, method, deadline, []string{text}, 0)
}

// exchange sends the parts of a request with a pause between them, and reads the answer.
func (w *world) exchange(conn net.Conn, id, method string, deadline time.Duration, parts []string, pause time.Duration) answer {
	a := answer{ID: id}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			a.Err, a.EndedAt = err, time.Now()
			w.record.printf("fail  %s", a)
			return a
		}
	}
	a.SentAt = time.Now()
	w.record.printf("sent  %s", id)
	_ = conn.SetReadDeadline(a.SentAt.Add(deadline + time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.Err, a.EndedAt = err, time.Now()
		w.record.printf("got   %s", a)
		return a
	}
	var body bytes.Buffer
	_, a.Err = io.Copy(&body, resp.Body)
	a.Status, a.Header, a.Body, a.EndedAt = resp.StatusCode, resp.Header, body.String(), time.Now()
	a.Signed, a.Complete = resp.Header.Get("Response-Signature") != "", a.Err == nil
	if errors.Is(a.Err, io.ErrUnexpectedEOF) {
		a.Err = errors.New("the connection ended within the answer")
	}
	w.record.printf("got   %s", a)
	return a
}
