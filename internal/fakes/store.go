package fakes

import (
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// maxValueBytes is the maximum size of a value.
const maxValueBytes = 1 << 20

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the state of the fake key-value service. Its methods take the current time, so that
// tests can run it in virtual time.
type Store struct {
	entries map[string]model.Entry
	leases  map[model.LeaseID]lease
	// lastID is the last number used; revisions and lease IDs share one sequence.
	lastID uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: map[string]model.Entry{}, leases: map[model.LeaseID]lease{}}
}

// Get returns the entry of a key, or one with revision 0 if the key doesn't exist.
func (s *Store) Get(now time.Time, key string) model.Entry {
	s.expire(now)
	e, ok := s.entries[key]
	if !ok {
		return model.Entry{Key: key}
	}
	return e
}

// CAS writes or deletes an entry if its revision is the expected one, and returns the new
// revision. It returns Refused for a value that is too large, and Conflict for another revision
// or an expired lease.
func (s *Store) CAS(now time.Time, op model.CAS) (uint64, model.Outcome) {
	if len(op.Value) > maxValueBytes {
		return 0, model.Refused
	}
	if s.Get(now, op.Key).Revision != op.Expect {
		return 0, model.Conflict
	}
	if _, ok := s.leases[op.Lease]; op.Lease != 0 && !ok {
		return 0, model.Conflict
	}
	s.lastID++
	if op.Delete {
		delete(s.entries, op.Key)
	} else {
		value := append([]byte(nil), op.Value...)
		s.entries[op.Key] = model.Entry{Key: op.Key, Value: value, Revision: s.lastID, Lease: op.Lease}
	}
	return s.lastID, model.Done
}

// Grant creates a lease.
func (s *Store) Grant(now time.Time, ttl time.Duration) model.LeaseID {
	s.lastID++
	id := model.LeaseID(s.lastID)
	s.leases[id] = lease{ttl: ttl, expires: now.Add(ttl)}
	return id
}

// KeepAlive renews a lease, or returns Conflict if it has expired.
func (s *Store) KeepAlive(now time.Time, id model.LeaseID) model.Outcome {
	s.expire(now)
	l, ok := s.leases[id]
	if !ok {
		return model.Conflict
	}
	l.expires = now.Add(l.ttl)
	s.leases[id] = l
	return model.Done
}

// expire deletes expired leases and the entries attached to them.
func (s *Store) expire(now time.Time) {
	for id, held := range s.leases {
		if now.Before(held.expires) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.entries {
			if e.Lease == id {
				delete(s.entries, key)
			}
		}
	}
}
