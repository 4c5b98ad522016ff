package route

import "math"

// edge is a directed edge of a flow network. Edges are stored in pairs: the reverse of
// edge i is edge i^1.
type edge struct {
	to       int
	capacity float64
	flow     float64
}

// Network computes a maximum flow by Dinic's algorithm. Edges can't be added after Solve,
// and Solve can be called only once.
type Network struct {
	edges []edge
	// out lists the indices of each node's outgoing edges.
	out [][]int
	// level is each node's distance from the source in the residual graph, or -1.
	level []int
	// nextEdge is the index in out of the first edge of each node that is not exhausted
	// in the current phase.
	nextEdge []int
}

// epsilon is the residual capacity, in tokens a second, up to which an edge counts as
// saturated.
const epsilon = 1e-9

// NewNetwork returns a network with a number of nodes, numbered from 0, and no edges.
func NewNetwork(nodes int) *Network {
	return &Network{out: make([][]int, nodes), level: make([]int, nodes), nextEdge: make([]int, nodes)}
}

// Add adds an edge and returns its ID.
func (n *Network) Add(from, to int, capacity float64) int {
	id := len(n.edges)
	n.edges = append(n.edges, edge{to: to, capacity: capacity}, edge{to: from})
	n.out[from] = append(n.out[from], id)
	n.out[to] = append(n.out[to], id+1)
	return id
}

// Flow returns the flow over an edge after Solve.
func (n *Network) Flow(id int) float64 { return n.edges[id].flow }

// Solve returns the maximum flow between two nodes.
func (n *Network) Solve(source, sink int) float64 {
	total := 0.0
	for n.assignLevels(source, sink) {
		clear(n.nextEdge)
		for {
			pushed := n.augment(source, sink, math.Inf(1))
			if pushed <= epsilon {
				break
			}
			total += pushed
		}
	}
	return total
}

// assignLevels sets each node's level by breadth-first search over the residual graph, and
// reports whether the sink can be reached.
func (n *Network) assignLevels(source, sink int) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[source] = 0
	queue := []int{source}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		for _, id := range n.out[node] {
			e := n.edges[id]
			if n.level[e.to] < 0 && e.capacity-e.flow > epsilon {
				n.level[e.to] = n.level[node] + 1
				queue = append(queue, e.to)
			}
		}
	}
	return n.level[sink] >= 0
}

// augment adds flow along one path of rising levels from a node to the sink, at most
// limit, and returns how much; 0 if there is no such path left.
func (n *Network) augment(node, sink int, limit float64) float64 {
	if node == sink {
		return limit
	}
	for ; n.nextEdge[node] < len(n.out[node]); n.nextEdge[node]++ {
		id := n.out[node][n.nextEdge[node]]
		e := &n.edges[id]
		if n.level[e.to] != n.level[node]+1 || e.capacity-e.flow <= epsilon {
			continue
		}
		pushed := n.augment(e.to, sink, math.Min(limit, e.capacity-e.flow))
		if pushed > epsilon {
			e.flow += pushed
			n.edges[id^1].flow -= pushed
			return pushed
		}
	}
	return 0
}
