package fakes

import (
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const maxValueBytes = 1 << 20

type leaseRow struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the state of the key-value stand-in. It is told the time, so that
// tests can run it in theirs.
type Store struct {
	entries map[string]model.Entry
	leases  map[model.LeaseID]leaseRow
	last    uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: map[string]model.Entry{}, leases: map[model.LeaseID]leaseRow{}}
}

// Get returns the live entry of a key.
func (s *Store) Get(now time.Time, key string) model.Entry {
	s.expire(now)
	e, ok := s.entries[key]
	if !ok {
		return model.Entry{Key: key}
	}
	return e
}

// CAS carries out a conditional write.
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
	s.last++
	if op.Delete {
		delete(s.entries, op.Key)
	} else {
		value := append([]byte(nil), op.Value...)
		s.entries[op.Key] = model.Entry{Key: op.Key, Value: value, Revision: s.last, Lease: op.Lease}
	}
	return s.last, model.Done
}

// Grant makes a lease.
func (s *Store) Grant(now time.Time, ttl time.Duration) model.LeaseID {
	s.last++
	id := model.LeaseID(s.last)
	s.leases[id] = leaseRow{ttl: ttl, expires: now.Add(ttl)}
	return id
}

// KeepAlive renews a lease, or returns Conflict where it has lapsed.
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

// expire drops lapsed leases with their keys.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
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
