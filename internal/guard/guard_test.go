package guard

import (
	"errors"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRun(t *testing.T) {
	assert.NilError(t, Run(func() {}))
	err := Run(func() { panic("no such layer") })
	var failure *PanicError
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Value, "no such layer")
	assert.Assert(t, strings.Contains(err.Error(), "TestRun"), "%s", err)
	assert.Assert(t, len(failure.Stack) <= maxStackBytes)
}

func TestGo(t *testing.T) {
	var wg sync.WaitGroup
	failures := make(chan error, 2)
	Go(&wg, func(err error) { failures <- err }, func() { panic("x") })
	Go(&wg, func(err error) { failures <- err }, func() {})
	wg.Wait()
	assert.Equal(t, len(failures), 1)
	assert.ErrorContains(t, <-failures, "panic: x")
}

func TestLockedReleasesTheLock(t *testing.T) {
	var mu sync.Mutex
	assert.Equal(t, Locked(&mu, func() int { return 7 }), 7)
	assert.Assert(t, Run(func() { Locked(&mu, func() int { panic("x") }) }) != nil)
	assert.Assert(t, mu.TryLock())
}
