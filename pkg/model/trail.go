package model

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ExtendTrail adds one stage to trail, the digest of the stages before it. Engines
// that report trails compute the same function.
func ExtendTrail(trail uint64, server ServerID, span Span) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], trail)
	binary.LittleEndian.PutUint64(buf[8:], uint64(span.From))
	binary.LittleEndian.PutUint64(buf[16:], uint64(span.To))
	d := xxhash.New()
	_, _ = d.Write(buf[:])
	_, _ = d.WriteString(string(server))
	return d.Sum64()
}

// TrailOf returns the trail expected in every token that passed through all stages
// of a route.
func TrailOf(r Route) uint64 {
	trail := uint64(0)
	for _, h := range r.Hops {
		trail = ExtendTrail(trail, h.Server, h.Span)
	}
	return trail
}
