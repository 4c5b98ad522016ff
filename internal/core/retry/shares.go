package retry

// Demand is what one daemon wants of the retry budget of a service.
type Demand struct {
	Service string `cbor:"1,keyasint"`
	// PerSecond is the number of retries that the daemon would send a second, whether or not it may.
	PerSecond float64 `cbor:"2,keyasint"`
	// InUse is the number of retries of the burst that it sent within the last window.
	InUse float64 `cbor:"3,keyasint,omitempty"`
}

// Grant is one daemon's share of the burst of a service's retry budget.
type Grant struct {
	Service string `cbor:"1,keyasint"`
	// Burst is the number of retries that the daemon may send in a window in addition to the earned ones.
	Burst float64 `cbor:"2,keyasint"`
}
