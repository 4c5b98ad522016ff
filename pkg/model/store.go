package model

//go:generate enumer -type=Outcome -transform=snake -text -output=outcome_enumer.go

// Outcome is how a call to the key-value service ended.
type Outcome uint8

const (
	// Done means that the call took effect.
	Done Outcome = iota
	// Conflict means that the compare failed: nothing was written.
	Conflict
	// Refused means that the service refused the call before any effect,
	// because of its rate limit or because it is down.
	Refused
	// Unknown means that no answer came: a write may have landed, or may
	// still land later.
	Unknown
)

// LeaseID names a lease; 0 is none.
type LeaseID uint64

// Entry is one key's value. Revision 0 means that the key is absent.
type Entry struct {
	Key      string  `json:"key"`
	Value    []byte  `json:"value"`
	Revision uint64  `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// CAS is a conditional write of one key.
type CAS struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expect is the revision that the key must have; 0 means absent. No
	// revision is ever used twice, also not after a deletion.
	Expect uint64 `json:"expect"`
	// Lease deletes the key when it lapses; 0 keeps the key.
	Lease LeaseID `json:"lease,omitempty"`
	// Delete removes the key instead of writing it.
	Delete bool `json:"delete,omitempty"`
}
