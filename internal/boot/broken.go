package boot

import (
	"golang.org/x/time/rate"

	"bulrushpond.example/bulrushpond/internal/answer"
	"bulrushpond.example/bulrushpond/internal/evlog"
)

const (
	// maxBrokenAnswerLines is how many broken answers a second are logged, and brokenAnswerLinesBurst how many at once. All are counted.
	maxBrokenAnswerLines   = 20
	brokenAnswerLinesBurst = 100
)

// brokenAnswers counts and logs broken answers. It implements answer.Observer.
type brokenAnswers struct {
	answer.Counts
	log   evlog.Log
	lines *rate.Limiter
}

func newBrokenAnswers(log evlog.Log) *brokenAnswers {
	return &brokenAnswers{log: log, lines: rate.NewLimiter(maxBrokenAnswerLines, brokenAnswerLinesBurst)}
}

// AnswerBroken implements answer.Observer.
func (b *brokenAnswers) AnswerBroken(server string, fault answer.Fault, detail string) {
	b.Add(fault)
	if b.lines.Allow() {
		b.log.Info(evlog.AnswerBroken, "server", server, "reason", fault.String(), "detail", detail)
	}
}
