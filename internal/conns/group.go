// Package conns bounds what the clients of a server hold together: connections, and the memory of what was read from them
// or is kept for them. When there is no room, the clients that need it least lose their connections first.
package conns

import (
	"container/list"
	"errors"
	"io"
	"sync"
	"time"
)

//go:generate enumer -type=Stage -transform=snake -output=stage_enumer.go

// Stage is what a client's connection is used for.
type Stage int

const (
	// Idle means that no request has begun.
	Idle Stage = iota
	// Reading means that a request has begun and was not read whole.
	Reading
	// Serving means that a request was read whole and has no answer yet, or only part of one.
	Serving
	// Writing means that a part of an answer is being written.
	Writing
)

// Limits bounds what the clients of a Group hold.
type Limits struct {
	// Clients is how many clients may have connections at a time, at least 1.
	Clients int
	// Refused is how many more clients may have one, to be told that there is no room.
	Refused int
	// Bytes is the memory that is kept for all clients together, in bytes.
	Bytes int64
}

// Counts counts what a Group did for want of room since it was created, and what it holds now.
type Counts struct {
	// Clients and HeldBytes are the connections that are open, and the memory that is counted for them.
	Clients   int   `json:"clients"`
	HeldBytes int64 `json:"held_bytes"`
	// Refused counts the clients that were told that there is no room, and Rejected those whose connections were closed
	// instead.
	Refused  uint64 `json:"refused"`
	Rejected uint64 `json:"rejected"`
	// DroppedIdle, DroppedReading and DroppedWriting count the connections that were closed to make room, by their stage.
	DroppedIdle    uint64 `json:"dropped_idle"`
	DroppedReading uint64 `json:"dropped_reading"`
	DroppedWriting uint64 `json:"dropped_writing"`
	// OutOfMemory counts the requests that were refused since there was no memory for them.
	OutOfMemory uint64 `json:"out_of_memory"`
	// LongHeads counts the connections that were closed since the head of a request was too long, and StalledWrites those
	// whose clients read nothing of their answers for too long.
	LongHeads     uint64 `json:"long_heads"`
	StalledWrites uint64 `json:"stalled_writes"`
}

// Since returns the counts since earlier ones, and whether any limit has acted since.
func (c Counts) Since(earlier Counts) (news Counts, acted bool) {
	c.Refused -= earlier.Refused
	c.Rejected -= earlier.Rejected
	c.DroppedIdle -= earlier.DroppedIdle
	c.DroppedReading -= earlier.DroppedReading
	c.DroppedWriting -= earlier.DroppedWriting
	c.OutOfMemory -= earlier.OutOfMemory
	c.LongHeads -= earlier.LongHeads
	c.StalledWrites -= earlier.StalledWrites
	return c, c.Refused+c.Rejected+c.DroppedIdle+c.DroppedReading+c.DroppedWriting+c.OutOfMemory+c.LongHeads+c.StalledWrites > 0
}

// ErrNoRoom is returned if the clients of a Group hold all memory that there is for them.
var ErrNoRoom = errors.New("other clients hold all memory that there is for requests")

// errDropped is returned for a client whose connection was closed to make room.
var errDropped = errors.New("the connection was closed to make room")

const (
	// stalledAfter is how long a client must have read nothing of its answer before its connection may be closed for another
	// client's.
	stalledAfter = 5 * time.Second
	// slowAfter is how long a client must have read nothing of its answer before it makes room in memory for a request.
	slowAfter = time.Second
)

// Group bounds what a number of clients hold together.
type Group struct {
	limits Limits

	mu sync.Mutex
	// stages holds the clients by their stage, those longest in it without progress first, and refused those that are to be
	// told that there is no room; guarded by mu.
	stages  [Writing + 1]*list.List
	refused *list.List
	held    int64
	counts  Counts
}

// NewGroup returns a Group without clients.
func NewGroup(limits Limits) *Group {
	g := &Group{limits: limits, refused: list.New()}
	for i := range g.stages {
		g.stages[i] = list.New()
	}
	return g
}

// Client is what one connection holds. Its methods may be called concurrently; those of nil do nothing.
type Client struct {
	group *Group
	// drop closes the connection.
	drop func()

	// All that follows is guarded by group.mu.
	stage Stage
	// since is when the client came to its stage, or made progress there.
	since time.Time
	held  int64
	// list holds the client as element; nil once it has gone.
	list    *list.List
	element *list.Element
}

// Add adds a client that is Idle, and drops another one if there is no room. drop closes the client's connection; it may be
// called from any goroutine. If Add returns nil, there is no room to tell the client so either.
func (g *Group) Add(drop func()) *Client {
	c := &Client{group: g, drop: drop}
	var victim *Client
	defer func() {
		if victim != nil {
			victim.drop()
		}
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.clients() >= g.limits.Clients {
		victim = g.leastNeeded(now)
	}
	switch {
	case victim != nil:
		g.dropLocked(victim)
	case g.clients() < g.limits.Clients:
	case g.limits.Refused == 0:
		g.counts.Rejected++
		return nil
	default:
		if g.refused.Len() >= g.limits.Refused {
			victim = clientAt(g.refused.Front())
			g.counts.Rejected++
			victim.remove()
		}
		g.counts.Refused++
		c.move(g.refused, now)
		return c
	}
	c.move(g.stages[Idle], now)
	return c
}

// Full reports whether there are as many clients as there may be.
func (g *Group) Full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clients() >= g.limits.Clients
}

// clients returns the number of clients, without those that are to be refused. The caller holds mu.
func (g *Group) clients() int {
	n := 0
	for _, l := range g.stages {
		n += l.Len()
	}
	return n
}

// leastNeeded returns the client whose connection makes room for another one: one without a request before one whose request
// is incomplete, and that before one that does not read its answer; nil if there is none. The caller holds mu.
func (g *Group) leastNeeded(now time.Time) *Client {
	for _, stage := range []Stage{Idle, Reading} {
		if front := g.stages[stage].Front(); front != nil {
			return clientAt(front)
		}
	}
	if c := clientAt(g.stages[Writing].Front()); c != nil && now.Sub(c.since) >= stalledAfter {
		return c
	}
	return nil
}

// largest returns the client whose connection makes most room in memory: any without a request first, then the incomplete
// request that holds most, then the answer that has made no progress for longest, if that is minStall at least. It returns
// nil if there is none but own. The caller holds mu.
func (g *Group) largest(own *Client, minStall time.Duration) *Client {
	if front := g.stages[Idle].Front(); front != nil && clientAt(front) != own {
		return clientAt(front)
	}
	var most *Client
	for e := g.stages[Reading].Front(); e != nil; e = e.Next() {
		if c := clientAt(e); most == nil || c.held > most.held {
			most = c
		}
	}
	if most != nil {
		return most
	}
	for e := g.stages[Writing].Front(); e != nil; e = e.Next() {
		if c := clientAt(e); c != own && time.Since(c.since) >= minStall {
			return c
		}
	}
	return nil
}

// clientAt returns the client of a list's element; nil for nil.
func clientAt(e *list.Element) *Client {
	if e == nil {
		return nil
	}
	c, _ := e.Value.(*Client)
	return c
}

// dropLocked takes out a client whose connection the caller has to close after it has released mu, which it holds.
func (g *Group) dropLocked(c *Client) {
	switch c.stage {
	case Idle:
		g.counts.DroppedIdle++
	case Reading:
		g.counts.DroppedReading++
	case Serving, Writing:
		g.counts.DroppedWriting++
	}
	c.remove()
}

// move puts the client at the end of a list. The caller holds group.mu.
func (c *Client) move(to *list.List, now time.Time) {
	c.since = now
	if c.list == to {
		to.MoveToBack(c.element)
		return
	}
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list, c.element = to, to.PushBack(c)
}

// remove takes the client out of its group. The caller holds group.mu.
func (c *Client) remove() {
	if c.list == nil {
		return
	}
	c.list.Remove(c.element)
	c.list = nil
	c.group.held -= c.held
	c.held = 0
}

// Remove takes the client out of its group, once its connection is closed.
func (c *Client) Remove() {
	if c == nil {
		return
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.remove()
}

// Drop closes the client's connection.
func (c *Client) Drop() {
	if c != nil {
		c.drop()
	}
}

// Refused reports whether the client is to be told that there is no room.
func (c *Client) Refused() bool {
	if c == nil {
		return false
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.list == c.group.refused
}

// SetStage sets the stage of the client, which makes progress with it.
func (c *Client) SetStage(stage Stage) {
	if c == nil {
		return
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.setStage(stage)
}

// setStage is SetStage for a caller that holds group.mu. It returns the stage before.
func (c *Client) setStage(stage Stage) Stage {
	before := c.stage
	c.stage = stage
	if c.list != nil && c.list != c.group.refused {
		c.move(c.group.stages[stage], time.Now())
	}
	return before
}

// isReading reports whether the client's request was not read whole.
func (c *Client) isReading() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.stage == Reading
}

// write sets the stage to Writing, and returns a function that sets it back.
func (c *Client) write() (written func()) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	before := c.setStage(Writing)
	return func() { c.SetStage(before) }
}

// Take counts memory for the client, until Reset, and drops others to make room for it. It fails if there is none, and if the
// client itself was dropped. The request of a client that fails must be refused.
func (c *Client) Take(bytes int64) error { return c.take(bytes, false) }

// Keep is Take for an answer, which is kept even if there is no room.
func (c *Client) Keep(bytes int64) {
	// Only clients that were dropped fail here, and their connections are closed.
	_ = c.take(bytes, true)
}

func (c *Client) take(bytes int64, keep bool) error {
	if c == nil {
		return nil
	}
	var victims []*Client
	defer func() {
		for _, victim := range victims {
			victim.drop()
		}
	}()
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.list == nil {
		return errDropped
	}
	c.held += bytes
	g.held += bytes
	minStall := slowAfter
	if keep {
		minStall = 0
	}
	for g.held > g.limits.Bytes {
		victim := g.largest(c, minStall)
		if victim == nil && keep {
			return nil
		}
		if victim == nil || victim == c {
			c.held -= bytes
			g.held -= bytes
			g.counts.OutOfMemory++
			return ErrNoRoom
		}
		g.dropLocked(victim)
		victims = append(victims, victim)
	}
	return nil
}

// bytesPerReadByte is the memory that counts for each byte of a Reader: buffers that grow have some of their bytes twice.
const bytesPerReadByte = 2

// Reader returns a reader of a request's body that counts what it reads for the client, and fails if there is no room.
func (c *Client) Reader(body io.Reader) io.Reader {
	if c == nil {
		return body
	}
	return &countingReader{client: c, body: body}
}

// countingReader counts what is read for a client.
type countingReader struct {
	client *Client
	body   io.Reader
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if takeErr := r.client.Take(bytesPerReadByte * int64(n)); takeErr != nil {
		return 0, takeErr
	}
	return n, err
}

// Reset ends the counting of memory for the client, but for the given number of bytes.
func (c *Client) Reset(bytes int64) {
	if c == nil {
		return
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.list == nil {
		return
	}
	c.group.held += bytes - c.held
	c.held = bytes
}

// Reject counts a client whose connection was refused before it was opened.
func (g *Group) Reject() { g.count(func(c *Counts) { c.Rejected++ }) }

// count changes the counts.
func (g *Group) count(change func(*Counts)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.counts)
}

// Counts returns the counts.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := g.counts
	counts.Clients, counts.HeldBytes = g.clients()+g.refused.Len(), g.held
	return counts
}
