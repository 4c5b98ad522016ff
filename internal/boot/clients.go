package boot

import (
	"context"
	"errors"
	"log"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"bulrushpond.example/bulrushpond/internal/conns"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/peer"
)

// Names of the ports.
const (
	portCallers   = "callers"
	portReadiness = "readiness"
	portMetrics   = "metrics"
	portAdmin     = "admin"
	// portPeers are the connections of other daemons, and portPeerRequests their requests.
	portPeers        = "peers"
	portPeerRequests = "peer_requests"
)

const (
	// fileFDs are the descriptors that are left for files, as the platform counts them.
	fileFDs = 200
	// ownFDs are the descriptors that are left for what a daemon needs itself: the key-value service, other daemons, its
	// listeners, readiness checks, metrics, and the refusal of callers.
	ownFDs = 128
	// defaultFDs is the number of descriptors that a process has if its limit cannot be read.
	defaultFDs = 1024
	// minCallers is how many callers may have connections however few descriptors there are.
	minCallers = 16
	// refusedCallers is how many more callers may have a connection, to be told that there is no room.
	refusedCallers = 16
	// callersMemoryShare is the part of the VM's memory that callers' requests may take, and defaultCallersMemory what they
	// may take if the memory is not limited, in bytes.
	callersMemoryShare   = 0.2
	defaultCallersMemory = 64 << 20
	// answersMemoryShare is the part that long answers may take while they are read, and defaultAnswersMemory what they may
	// take if the memory is not limited, in bytes.
	answersMemoryShare   = 0.125
	defaultAnswersMemory = 32 << 20
	// eventsMemoryShare is the part that events which callers have not read may take, and defaultEventsMemory what they may
	// take if the memory is not limited, in bytes.
	eventsMemoryShare   = 0.05
	defaultEventsMemory = 32 << 20
	// peersMemoryShare is the part that requests of other daemons may take, and defaultPeersMemory what they may take if the
	// memory is not limited, in bytes.
	peersMemoryShare   = 0.0625
	defaultPeersMemory = 64 << 20
	// receiveBytes and sendBytes are how much the kernel keeps of what a client has sent and of what it has to get, in bytes,
	// before it makes the client or the daemon wait. The kernel doubles them for its own use. What was not read counts as the
	// daemon's memory.
	receiveBytes = 16 << 10
	sendBytes    = 32 << 10
	// clientsInterval is how often the limits that were reached are logged.
	clientsInterval = 10 * time.Second
)

// checkLimits, metricsLimits and adminLimits are the limits for what the clients of the readiness port, of the metrics and of
// the API for operators hold.
var (
	adminLimits   = conns.Limits{Clients: 32, Refused: 4, Bytes: 16 << 20}
	checkLimits   = conns.Limits{Clients: 32, Refused: 4, Bytes: 4 << 20}
	metricsLimits = conns.Limits{Clients: 16, Refused: 4, Bytes: 4 << 20}
)

const (
	// maxMetricsHeadBytes bounds the head of a request for metrics.
	maxMetricsHeadBytes = 8 << 10
	// metricsIdleTimeout closes idle connections of those who read metrics.
	metricsIdleTimeout = time.Minute
)

// maxCallers returns how many callers may have connections at a time. Each may need one more to a backend server.
func maxCallers(maxFDs int) int { return max(minCallers, (maxFDs-fileFDs-ownFDs)/2) }

// shareOf returns a part of the VM's memory in bytes, or fallback if the memory is not limited.
func shareOf(memoryBytes int64, share float64, fallback int64) int64 {
	if memoryBytes <= 0 {
		return fallback
	}
	return int64(share * float64(memoryBytes))
}

// listenClients opens a port for clients, whose connections have small buffers in the kernel.
func listenClients(ctx context.Context, l evlog.Log, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		var err error
		controlErr := socket.Control(func(fd uintptr) {
			// Accepted connections inherit it.
			err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBytes))
		})
		if err = errors.Join(err, controlErr); err != nil {
			l.Error(err, evlog.WorkFailed, "part", "socket buffers of "+address)
		}
		return nil
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, trace.Wrap(err)
}

// processLimits returns the limits for what callers hold, from the limits of the process.
func processLimits(l evlog.Log) conns.Limits {
	limits := conns.Limits{Clients: maxCallers(processFDs(l)), Refused: refusedCallers, Bytes: defaultCallersMemory}
	// A negative limit only reads it.
	if memory := debug.SetMemoryLimit(-1); memory < math.MaxInt64 {
		limits.Bytes = int64(callersMemoryShare / memoryLimitShare * float64(memory))
	}
	return limits
}

// processFDs returns the number of descriptors that the process may have open.
func processFDs(l evlog.Log) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		l.Error(err, evlog.WorkFailed, "part", "limit of descriptors", "detail", defaultFDs)
		return defaultFDs
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// clientPorts are the ports of a daemon that limit what their clients hold, by name.
type clientPorts struct {
	listeners map[string]*conns.Listener
	// groups are the clients of the port for other daemons.
	groups map[string]*conns.Group
}

// newClientPorts returns the ports for HTTP and that for other daemons.
func newClientPorts(listeners map[string]*conns.Listener, peers *peer.Server) clientPorts {
	p := clientPorts{listeners: listeners, groups: map[string]*conns.Group{}}
	p.groups[portPeers], p.groups[portPeerRequests] = peers.Limited()
	return p
}

// serverErrors logs what net/http has to say about a server, which clients may cause: at most serverErrorsBurst lines at once,
// and then one in serverErrorsPause.
type serverErrors struct {
	log     evlog.Log
	port    string
	limiter *rate.Limiter
}

const (
	serverErrorsBurst = 10
	serverErrorsPause = time.Second
	// maxServerErrorBytes bounds one such line.
	maxServerErrorBytes = 4 << 10
)

// newServerErrors returns the ErrorLog of the HTTP server of a port.
func newServerErrors(l evlog.Log, port string) *log.Logger {
	return log.New(serverErrors{log: l, port: port, limiter: rate.NewLimiter(rate.Every(serverErrorsPause), serverErrorsBurst)}, "", 0)
}

// Write implements io.Writer.
func (e serverErrors) Write(line []byte) (int, error) {
	if e.limiter.Allow() {
		e.log.Error(errors.New(string(line[:min(len(line), maxServerErrorBytes)])), evlog.WorkFailed, "part", e.port)
	}
	return len(line), nil
}

// serve returns the service that serves a port with an HTTP server.
func (p clientPorts) serve(l evlog.Log, name string, server *http.Server) httpService {
	listener := p.listeners[name]
	server.ErrorLog = newServerErrors(l, name)
	listener.Attach(server)
	return httpService{name: name, server: server, listener: listener}
}

// counts returns what the clients of each port hold, and how often limits acted.
func (p clientPorts) counts() map[string]conns.Counts {
	counts := map[string]conns.Counts{}
	for name, listener := range p.listeners {
		counts[name] = listener.Counts()
	}
	for name, group := range p.groups {
		counts[name] = group.Counts()
	}
	return counts
}

// report returns the task that logs which limits were reached.
func (p clientPorts) report(l evlog.Log) periodicTask {
	last := p.counts()
	return periodicTask{name: "clients", interval: clientsInterval, run: func(context.Context) {
		now := p.counts()
		for name, counts := range now {
			if news, acted := counts.Since(last[name]); acted {
				l.Info(evlog.ClientsLimited, "port", name, "clients", news.Clients, "held_bytes", news.HeldBytes, "refused", news.Refused,
					"rejected", news.Rejected, "dropped_idle", news.DroppedIdle, "dropped_reading", news.DroppedReading,
					"dropped_writing", news.DroppedWriting, "out_of_memory", news.OutOfMemory, "long_heads", news.LongHeads,
					"stalled_writes", news.StalledWrites)
			}
		}
		last = now
	}}
}
