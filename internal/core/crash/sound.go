package crash

import "time"

// soundParts holds the parts that engines answered, and when they last did. It is bounded: once
// recent is full, it replaces older, so that parts that were used lately stay.
type soundParts struct {
	limit         int
	recent, older map[uint64]time.Time
}

func newSoundParts(limit int) soundParts {
	return soundParts{limit: limit, recent: map[uint64]time.Time{}}
}

// add records that a part is sound.
func (s *soundParts) add(now time.Time, part uint64) {
	if _, known := s.recent[part]; !known && len(s.recent) >= s.limit {
		s.older, s.recent = s.recent, map[uint64]time.Time{}
	}
	s.recent[part] = now
}

// has reports whether a part is known as sound.
func (s *soundParts) has(now time.Time, part uint64) bool {
	at, known := s.recent[part]
	if !known {
		at, known = s.older[part]
	}
	return known && now.Sub(at) < soundTTL
}
