package model

//go:generate enumer -type=Outcome -transform=snake -text -output=outcome_enumer.go

// Outcome is how a call to the key-value service ended.
type Outcome uint8

const (
	// Done means that the call succeeded.
	Done Outcome = iota
	// Conflict means that the comparison failed and nothing was written.
	Conflict
	// Refused means that the service rejected the call without any effect, because
	// of its rate limit or because it is down.
	Refused
	// Unknown means that no response arrived: a write may have taken effect, or may
	// still do so later.
	Unknown
)

// LeaseID identifies a lease; 0 means none.
type LeaseID uint64

// Entry is a key with its value. Revision 0 means that the key does not exist.
type Entry struct {
	Key      string  `json:"key"`
	Value    []byte  `json:"value"`
	Revision uint64  `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// CAS is a compare-and-swap write of one key.
type CAS struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expect is the revision that the key must have; 0 means that the key must not
	// exist. A revision is never reused, not even after a deletion.
	Expect uint64 `json:"expect"`
	// Lease is the lease whose expiry deletes the key; 0 means none.
	Lease LeaseID `json:"lease,omitempty"`
	// Delete deletes the key instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}
