package route

import "math"

// edge is one directed edge of a flow network, paired with its reverse.
type edge struct {
	to       int
	capacity float64
	flow     float64
}

// Network computes a maximum flow by Dinic's algorithm. It is built once and
// solved once.
type Network struct {
	edges []edge
	out   [][]int
	level []int
	next  []int
}

// epsilon is the rate, in tokens a second, below which a residual edge counts
// as full.
const epsilon = 1e-9

// NewNetwork returns a network of nodes numbered from 0.
func NewNetwork(nodes int) *Network {
	return &Network{out: make([][]int, nodes), level: make([]int, nodes), next: make([]int, nodes)}
}

// Add makes an edge and returns its number.
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
	for n.rank(source, sink) {
		clear(n.next)
		for {
			pushed := n.push(source, sink, math.Inf(1))
			if pushed <= epsilon {
				break
			}
			total += pushed
		}
	}
	return total
}

// rank orders the nodes by their distance from the source.
func (n *Network) rank(source, sink int) bool {
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

// push sends flow along one path of rising rank.
func (n *Network) push(node, sink int, limit float64) float64 {
	if node == sink {
		return limit
	}
	for ; n.next[node] < len(n.out[node]); n.next[node]++ {
		id := n.out[node][n.next[node]]
		e := &n.edges[id]
		if n.level[e.to] != n.level[node]+1 || e.capacity-e.flow <= epsilon {
			continue
		}
		pushed := n.push(e.to, sink, math.Min(limit, e.capacity-e.flow))
		if pushed > epsilon {
			e.flow += pushed
			n.edges[id^1].flow -= pushed
			return pushed
		}
	}
	return 0
}
