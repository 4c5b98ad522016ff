// Package verdt says whether a request may have run. Every failure that
// leaves the router carries one Verdict, from the first byte written to a
// backend server up to the caller.
package verdt

//go:generate enumer -type=Verdict -transform=snake -text -output=verdict_enumer.go

// Verdict says what is known about the execution of a request.
type Verdict uint8

const (
	// NotRun means that no copy of the request ran and none can still run.
	NotRun Verdict = iota
	// MayHaveRun means that the request may have run, or may still run.
	MayHaveRun
	// Ran means that the request is known to have run.
	Ran
)

// Worse returns the weaker of two claims about one request: Ran wins over
// MayHaveRun, and MayHaveRun over NotRun.
func (v Verdict) Worse(other Verdict) Verdict {
	return max(v, other)
}

// Retryable reports whether the router itself may send the request again. An
// idempotent request may be repeated whatever its verdict.
func (v Verdict) Retryable(idempotent bool) bool {
	return v == NotRun || idempotent
}
