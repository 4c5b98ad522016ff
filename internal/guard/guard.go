// Package guard keeps the failure of one piece of work inside the part of the daemon that does it.
package guard

import (
	"fmt"
	"runtime/debug"
	"sync"
)

// maxStackBytes bounds the stack in an error, which is logged as one line.
const maxStackBytes = 4 << 10

// PanicError is a panic that Run recovered.
type PanicError struct {
	// Value is what panic was called with.
	Value any
	// Stack is the beginning of the stack of the panic, of maxStackBytes at most.
	Stack string
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }

// Run calls f. If f panics, it returns a *PanicError.
func Run(f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			stack := debug.Stack()
			err = &PanicError{Value: value, Stack: string(stack[:min(len(stack), maxStackBytes)])}
		}
	}()
	f()
	return nil
}

// Go calls f in a goroutine of wg. If f panics, the goroutine ends with a call of onPanic.
func Go(wg *sync.WaitGroup, onPanic func(error), f func()) {
	wg.Go(func() {
		if err := Run(f); err != nil {
			onPanic(err)
		}
	})
}

// Locked calls f with a lock held, which is released even if f panics.
func Locked[T any](mu sync.Locker, f func() T) T {
	mu.Lock()
	defer mu.Unlock()
	return f()
}
