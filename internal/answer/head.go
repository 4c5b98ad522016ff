package answer

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"
)

// ErrStatus is returned for an answer whose status is none of HTTP, or that switches protocols, which no client here asks for.
var ErrStatus = broken(Status, "the status of the answer is none of HTTP")

// ErrFieldName is returned for an answer in whose head a line does not begin with the name of a field: the name holds a blank or a control byte, or
// the line begins with a blank, as a continued one does, which no server may send.
var ErrFieldName = broken(FieldName, "the head of the answer has a line that does not begin with the name of a field")

// ErrFraming is returned for an answer of HTTP/1.0 in chunks, which that version does not have: nobody knows where its body ends.
var ErrFraming = broken(Malformed, "the answer is of HTTP/1.0 and in chunks")

// MaxHeadBytes bounds the status line and headers of an answer together with all interim (1xx) answers before it.
const MaxHeadBytes = 64 << 10

// lowerTransferEncoding is the name of the field that says that a body comes in chunks.
const lowerTransferEncoding = "transfer-encoding"

const (
	// maxStatusBytes is how many bytes of a status line are kept. The status is within them.
	maxStatusBytes = 64
	// statusDigits is the length of a status, and maxStatus the highest one.
	statusDigits = 3
	maxStatus    = 599
	// fieldBytes is about the memory of a field beside its bytes.
	fieldBytes = 128
)

// headPart is a part of an answer.
type headPart uint8

const (
	statusLine headPart = iota
	lineStart
	// lineEnd is the LF of a blank line, after its CR.
	lineEnd
	fieldName
	fieldValue
	afterHead
)

// headCheck checks the bytes of the heads of an answer and of the interim (1xx) answers before it, as they arrive. It leaves to net/http what
// net/http checks. The zero value expects a head.
type headCheck struct {
	part headPart
	// status holds the beginning of the status line, up to statusBytes.
	status      [maxStatusBytes]byte
	statusBytes int
	// interim is set in the head of an interim answer.
	interim bool
	// http10 is set if the version of the answer is HTTP/1.0.
	http10 bool
	// matched is how many bytes of the current name match lowerTransferEncoding, below 0 once one does not.
	matched int
	// read is how many bytes of the head, and of the interim ones before it, were read.
	read int
	// bytes is about the memory that the head takes, together with the interim ones before it.
	bytes int64
	// failure is what is wrong with the head.
	failure *BrokenError
}

// check checks the next bytes of an answer. If they break its head, it sets failure and returns it, with how many of them come before.
func (h *headCheck) check(b []byte) (valid int, failure *BrokenError) {
	for valid < len(b) && h.part != afterHead && h.failure == nil {
		valid += h.checkPart(b[valid:])
	}
	h.bytes += int64(valid)
	if h.read += valid; h.failure == nil && h.part != afterHead && h.read >= MaxHeadBytes {
		h.failure = ErrTooLong
	}
	if h.failure != nil {
		return valid, h.failure
	}
	return len(b), nil
}

// checkPart checks the bytes that belong to the current part, and returns their number.
func (h *headCheck) checkPart(b []byte) int {
	end := bytes.IndexByte(b, '\n')
	switch h.part {
	case statusLine:
		line := b
		if end >= 0 {
			line = b[:end]
		}
		h.statusBytes += copy(h.status[h.statusBytes:], line)
		if end < 0 {
			return len(b)
		}
		if h.failure = h.endStatusLine(); h.failure != nil {
			return end
		}
		h.part = lineStart
		return end + 1
	case lineStart:
		return h.startLine(b)
	case lineEnd:
		if b[0] != '\n' {
			h.failure = ErrFieldName
			return 0
		}
		return h.endLine()
	case fieldName:
		return h.checkName(b)
	case fieldValue:
		if end < 0 {
			return len(b)
		}
		h.part = lineStart
		return end + 1
	case afterHead:
	}
	return len(b)
}

// endStatusLine checks the status. It leaves other bytes than a status line to net/http.
func (h *headCheck) endStatusLine() *BrokenError {
	line := bytes.TrimRight(h.status[:h.statusBytes], "\r")
	if !bytes.HasPrefix(line, []byte("HTTP/")) {
		return nil
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	h.http10 = string(version) == "HTTP/1.0"
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.ParseUint(string(text), 10, 16)
	if err != nil || len(text) != statusDigits {
		return ErrStatus
	}
	h.interim = status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
	if !h.interim && !isFinal(int(status)) {
		return ErrStatus
	}
	return nil
}

// isFinal reports whether a status is that of a final answer.
func isFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// CheckHead returns what is wrong with the head of a final answer that was passed on, or nil.
func CheckHead(status int, header http.Header) error {
	switch {
	case !isFinal(status):
		return ErrStatus
	case !hasFieldNames(header):
		return ErrFieldName
	}
	return nil
}

// startLine takes the first byte of a line of the head. A line that is blank ends the head.
func (h *headCheck) startLine(b []byte) int {
	switch {
	case b[0] == '\r':
		// Only an LF may follow.
		h.part = lineEnd
	case b[0] == '\n':
		return h.endLine()
	case !isToken[b[0]]:
		h.failure = ErrFieldName
		return 0
	default:
		h.part, h.matched = fieldName, 0
		return 0
	}
	return 1
}

// endLine takes the LF of a blank line.
func (h *headCheck) endLine() int {
	h.part = afterHead
	if h.interim {
		*h = headCheck{read: h.read, bytes: h.bytes}
	}
	return 1
}

// checkName checks the bytes of the name of a field, and returns the number of those that belong to it, with the colon.
func (h *headCheck) checkName(b []byte) int {
	for i, c := range b {
		switch {
		case c == ':' && h.http10 && h.matched == len(lowerTransferEncoding):
			h.failure = ErrFraming
			return i
		case c == ':':
			h.part = fieldValue
			h.bytes += fieldBytes
			return i + 1
		case !isToken[c]:
			h.failure = ErrFieldName
			return i
		}
		h.matchTransferEncoding(c)
	}
	return len(b)
}

// matchTransferEncoding compares the next byte of a name with lowerTransferEncoding.
func (h *headCheck) matchTransferEncoding(c byte) {
	const upperToLower = 'a' - 'A'
	if c >= 'A' && c <= 'Z' {
		c += upperToLower
	}
	if h.matched >= 0 && h.matched < len(lowerTransferEncoding) && c == lowerTransferEncoding[h.matched] {
		h.matched++
	} else {
		h.matched = -1
	}
}

// hasFieldNames reports whether all names of a header are those of fields.
func hasFieldNames(header http.Header) bool {
	for name := range header {
		if name == "" || strings.IndexFunc(name, func(r rune) bool { return r >= utf8.RuneSelf || !isToken[r] }) >= 0 {
			return false
		}
	}
	return true
}

// isToken holds the bytes of which the name of a field may consist.
var isToken = func() (set [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		set[c] = true
	}
	return set
}()
