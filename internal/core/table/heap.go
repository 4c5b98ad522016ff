package table

import (
	"container/heap"
	"slices"
)

// Heap is a priority queue of values, least first by the function given to NewHeap.
type Heap[T any] struct{ h sliceHeap[T] }

// sliceHeap implements heap.Interface.
type sliceHeap[T any] struct {
	items []T
	less  func(a, b T) bool
}

func (h *sliceHeap[T]) Len() int           { return len(h.items) }
func (h *sliceHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *sliceHeap[T]) Swap(i, j int)      { h.items[i], h.items[j] = h.items[j], h.items[i] }
func (h *sliceHeap[T]) Push(x any)         { h.items = append(h.items, x.(T)) }

func (h *sliceHeap[T]) Pop() any {
	last := len(h.items) - 1
	x := h.items[last]
	h.items = h.items[:last]
	return x
}

// NewHeap returns an empty heap that is ordered by less.
func NewHeap[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{h: sliceHeap[T]{less: less}}
}

// Len returns the number of values.
func (q *Heap[T]) Len() int { return q.h.Len() }

// Push adds a value.
func (q *Heap[T]) Push(v T) { heap.Push(&q.h, v) }

// Min returns the least value; the heap must not be empty.
func (q *Heap[T]) Min() T { return q.h.items[0] }

// Pop removes and returns the least value; the heap must not be empty.
func (q *Heap[T]) Pop() T { return heap.Pop(&q.h).(T) }

// Fix restores the order after the least value was modified in place.
func (q *Heap[T]) Fix() { heap.Fix(&q.h, 0) }

// Remove removes one value for which match returns true, if there is any.
func (q *Heap[T]) Remove(match func(T) bool) {
	if i := slices.IndexFunc(q.h.items, match); i >= 0 {
		heap.Remove(&q.h, i)
	}
}
