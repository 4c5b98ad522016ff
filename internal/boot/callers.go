package boot

import (
	"net"
	"net/http"
	"sync"
)

// callerServer is the HTTP server for callers. It knows its connections with a request, since http.Server.Shutdown closes
// a connection without an answer if its first request comes late.
type callerServer struct {
	*http.Server
	listener net.Listener

	mu sync.Mutex
	// busy holds the connections on which a request is being read or answered; guarded by mu.
	busy map[net.Conn]struct{}
}

// newCallerServer returns a callerServer that uses server.
func newCallerServer(server *http.Server, listener net.Listener) *callerServer {
	c := &callerServer{Server: server, listener: listener, busy: map[net.Conn]struct{}{}}
	server.ConnState = c.recordState
	return c
}

// recordState records the new state of a connection.
func (c *callerServer) recordState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateActive {
		c.busy[conn] = struct{}{}
		return
	}
	delete(c.busy, conn)
}

// active returns the number of connections on which a request is being read or answered.
func (c *callerServer) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}

// stopAccepting closes the listener and the idle connections, and each other connection after its next answer.
func (c *callerServer) stopAccepting() {
	_ = c.listener.Close()
	c.SetKeepAlivesEnabled(false)
}
