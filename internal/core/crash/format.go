// Package crash finds the prompt parts that crash engines: each engine that begins an answer to a
// request with such a part ends, whatever else the request holds.
package crash

import (
	"strconv"
	"strings"
)

// FormatParts returns part IDs in the hexadecimal notation of callers, separated by commas.
func FormatParts(parts []uint64) string {
	var b strings.Builder
	for i, part := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(part, 16))
	}
	return b.String()
}
