package answer

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

//go:generate enumer -type=Fault -transform=snake -output=fault_enumer.go

// Fault is what is wrong with a broken answer.
type Fault uint8

const (
	// Malformed means that bytes were sent that are no answer.
	Malformed Fault = iota
	// Cut means that the server ended the connection within the answer.
	Cut
	// Reset means that the server reset the connection within the answer.
	Reset
	// Status means that the status is none of HTTP.
	Status
	// FieldName means that a line of the head or the trailer does not begin with the name of a field.
	FieldName
	// TooLong means that the answer, or a part of it, is longer than it may be.
	TooLong
	// NoRoom means that all answers that are being read are longer together than they may be.
	NoRoom
)

// BrokenError is the error of reading a broken answer.
type BrokenError struct {
	Fault Fault
	// Err says more. It may quote what the server sent.
	Err error
}

// Error implements error. It returns as much as Clip.
func (b *BrokenError) Error() string { return Clip(b.Err.Error()) }

// Unwrap returns what says more.
func (b *BrokenError) Unwrap() error { return b.Err }

// broken returns a BrokenError.
func broken(fault Fault, message string) *BrokenError {
	return &BrokenError{Fault: fault, Err: errors.New(message)}
}

// asBroken returns the error of an exchange on a connection after the answer had begun: a BrokenError, unless it was the client that ended the
// exchange.
func asBroken(ctx context.Context, conn exchangeConn, err error) error {
	if ctx.Err() != nil {
		return err
	}
	if cause := conn.readFailure(); cause != nil {
		return cause
	}
	var known *BrokenError
	switch {
	case errors.As(err, &known), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return err
	case errors.Is(err, syscall.ECONNRESET):
		return &BrokenError{Fault: Reset, Err: err}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.EPIPE):
		return &BrokenError{Fault: Cut, Err: err}
	}
	return &BrokenError{Fault: Malformed, Err: err}
}

// Observer learns of broken answers. Its methods may be called concurrently.
type Observer interface {
	// AnswerBroken reports a broken answer of a server. detail may quote what the server sent.
	AnswerBroken(server string, fault Fault, detail string)
}

// Observe reports the error of an exchange with a server if it is that of a broken answer.
func Observe(o Observer, server string, err error) {
	var b *BrokenError
	if errors.As(err, &b) {
		o.AnswerBroken(server, b.Fault, Clip(err.Error()))
	}
}

// NoObserver ignores broken answers.
type NoObserver struct{}

// AnswerBroken implements Observer.
func (NoObserver) AnswerBroken(string, Fault, string) {}

// MaxQuotedBytes bounds what is quoted of a server's answer.
const MaxQuotedBytes = 500

// Clip returns the first MaxQuotedBytes of a text that may quote what a server sent.
func Clip(text string) string { return text[:min(len(text), MaxQuotedBytes)] }

// Counts counts broken answers by what is wrong with them. The zero value is ready to use.
type Counts struct {
	byFault [NoRoom + 1]atomic.Uint64
}

// Add counts a broken answer.
func (c *Counts) Add(fault Fault) { c.byFault[fault].Add(1) }

// Read returns the counts that are not 0, by the names of the faults.
func (c *Counts) Read() map[string]uint64 {
	counts := map[string]uint64{}
	for fault := range c.byFault {
		if n := c.byFault[fault].Load(); n > 0 {
			counts[Fault(fault).String()] = n
		}
	}
	return counts
}
