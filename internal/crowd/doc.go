// Package crowd runs the real programs against crowds of misbehaving clients, and checks that these neither end a
// process nor take what other clients need. The tests read the memory and the descriptors of the processes, so they run one
// at a time, and not under the race detector, which the processes are never built with.
package crowd
