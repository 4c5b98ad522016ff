package crash

import (
	"strconv"
	"strings"
)

// FormatPart returns a part ID in the hexadecimal notation of callers.
func FormatPart(part uint64) string { return strconv.FormatUint(part, 16) }

// FormatParts returns part IDs in the hexadecimal notation of callers, separated by commas.
func FormatParts(parts []uint64) string {
	var b strings.Builder
	for i, part := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(FormatPart(part))
	}
	return b.String()
}
