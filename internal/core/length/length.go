// Package length estimates how many tokens answers will have, from what the callers expect and from
// the answers of late.
package length

// Sketch summarizes the lengths of a service's answers of late, of one or more daemons.
type Sketch struct {
	Service string `cbor:"1,keyasint"`
	// Answers is the number of complete answers, and Tokens the sum of their lengths.
	Answers int `cbor:"2,keyasint"`
	Tokens  int `cbor:"3,keyasint"`
	// Ratios counts the answers by the ratio of their length to the caller's estimate, in buckets
	// of a factor of two from 1/8 to 8; empty if the callers gave none.
	Ratios []int `cbor:"4,keyasint,omitempty"`
}
