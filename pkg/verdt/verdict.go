// Package verdt holds the router's error type. Each error carries a Verdict,
// which says whether the request may have run on a backend server, and keeps it
// on the way from the backend connection to the caller.
package verdt

//go:generate enumer -type=Verdict -transform=snake -text -output=verdict_enumer.go

// Verdict is what the router knows about the execution of a request.
type Verdict uint8

const (
	// NotRun means that no attempt of the request ran and none can still run.
	NotRun Verdict = iota
	// MayHaveRun means that the request may have run, or may still run.
	MayHaveRun
	// Ran means that the request is known to have run.
	Ran
)

// Merge merges two verdicts on the same request, such as those of two attempts:
// Ran takes precedence over MayHaveRun, and MayHaveRun over NotRun.
func (v Verdict) Merge(other Verdict) Verdict {
	return max(v, other)
}

// Retryable reports whether the router may retry the request on its own. An
// idempotent request may be retried after any verdict.
func (v Verdict) Retryable(idempotent bool) bool {
	return v == NotRun || idempotent
}
