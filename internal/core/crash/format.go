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
