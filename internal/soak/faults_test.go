package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// fault is a kind of fault. inject returns when the fault is over.
type fault struct {
	name   string
	inject func(tb *testbed, rnd *rand.Rand)
}

// faults holds all kinds of faults. Those that affect one daemon pick it at random.
var faults = []fault{
	{"kill", func(tb *testbed, rnd *rand.Rand) {
		d := rnd.IntN(daemonCount)
		tb.runFault("kill", d, false, func() {
			for range 1 + rnd.IntN(3) {
				tb.daemons[d].signal(syscall.SIGKILL)
				sleepBetween(rnd, 100*time.Millisecond, 1500*time.Millisecond)
			}
		})
	}},
	{"kill all daemons", func(tb *testbed, _ *rand.Rand) {
		tb.runFault("kill all daemons", allDaemons, false, func() { tb.killAllDaemons() })
	}},
	{"pause", func(tb *testbed, rnd *rand.Rand) {
		d := rnd.IntN(daemonCount)
		tb.runFault("pause", d, false, func() {
			tb.daemons[d].signal(syscall.SIGSTOP)
			sleepBetween(rnd, 100*time.Millisecond, 4*time.Second)
			tb.daemons[d].signal(syscall.SIGCONT)
		})
	}},
	{"pause the placement owner", func(tb *testbed, rnd *rand.Rand) {
		d := tb.placementOwner()
		tb.runFault("pause the placement owner", d, false, func() {
			tb.daemons[d].signal(syscall.SIGSTOP)
			sleepBetween(rnd, 2*time.Second, 5*time.Second)
			tb.daemons[d].signal(syscall.SIGCONT)
		})
	}},
	{"planned stop", func(tb *testbed, rnd *rand.Rand) {
		d := rnd.IntN(daemonCount)
		tb.runFault("planned stop", d, true, func() { tb.restart(tb.daemons[d], syscall.SIGTERM) })
	}},
	{"rolling stop", func(tb *testbed, rnd *rand.Rand) {
		for i, d := range tb.daemons {
			tb.runFault("rolling stop", i, true, func() { tb.restart(d, syscall.SIGTERM) })
			sleepBetween(rnd, 0, 500*time.Millisecond)
		}
	}},
	{"kill during a planned stop", func(tb *testbed, rnd *rand.Rand) {
		d := rnd.IntN(daemonCount)
		tb.runFault("kill during a planned stop", d, false, func() {
			tb.daemons[d].signal(syscall.SIGTERM)
			sleepBetween(rnd, 100*time.Millisecond, 3*time.Second)
			tb.restart(tb.daemons[d], syscall.SIGKILL)
		})
	}},
	{"reload", func(tb *testbed, rnd *rand.Rand) {
		d := rnd.IntN(daemonCount)
		tb.runFault("reload", d, true, func() {
			for range 1 + rnd.IntN(3) {
				tb.writeSettings(tb.daemons[d], d+rnd.IntN(2))
				tb.daemons[d].signal(syscall.SIGHUP)
				sleepBetween(rnd, 10*time.Millisecond, 300*time.Millisecond)
			}
		})
	}},
	{"store down", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("store down", allDaemons, false, func() {
			tb.platform.Store.SetDown(true)
			sleepBetween(rnd, 300*time.Millisecond, 6*time.Second)
			tb.platform.Store.SetDown(false)
		})
	}},
	{"store refuses one daemon", func(tb *testbed, rnd *rand.Rand) {
		d := rnd.IntN(daemonCount)
		tb.runFault("store refuses one daemon", d, false, func() {
			tb.daemons[d].storeLink.setRefusing(true)
			sleepBetween(rnd, 300*time.Millisecond, 6*time.Second)
			tb.daemons[d].storeLink.setRefusing(false)
		})
	}},
	{"one store link", func(tb *testbed, rnd *rand.Rand) {
		d := rnd.IntN(daemonCount)
		tb.runFault("one store link", d, false, func() { tb.disturbLink(rnd, tb.daemons[d].storeLink) })
	}},
	{"all store links", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("all store links", allDaemons, false, func() {
			var all sync.WaitGroup
			for _, d := range tb.daemons {
				linkRand := rand.New(rand.NewPCG(rnd.Uint64(), 0))
				all.Go(func() { tb.disturbLink(linkRand, d.storeLink) })
			}
			all.Wait()
		})
	}},
	{"store loses responses", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("store loses responses", allDaemons, false, func() {
			tb.platform.Store.DropAnswers(1 + rnd.IntN(5))
			sleepBetween(rnd, time.Second, 3*time.Second)
			tb.platform.Store.DropAnswers(0)
		})
	}},
	{"store compaction", func(tb *testbed, _ *rand.Rand) {
		tb.runFault("store compaction", allDaemons, false, tb.platform.Store.Compact)
	}},
	{"store restored", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("store restored", allDaemons, false, func() {
			for range 1 + rnd.IntN(2) {
				tb.platform.Store.SetDown(true)
				sleepBetween(rnd, 0, 2*time.Second)
				tb.platform.Store.SetDown(false)
				tb.platform.Restore(time.Duration(rnd.IntN(8000))*time.Millisecond, time.Duration(rnd.IntN(1200))*time.Millisecond)
				sleepBetween(rnd, 0, 2*time.Second)
			}
		})
	}},
	{"store clock shift", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("store clock shift", allDaemons, false, func() {
			offset := time.Duration(rnd.IntN(6000)-3000) * time.Millisecond
			tb.platform.Store.ShiftClock(offset)
			sleepBetween(rnd, 0, 3*time.Second)
			tb.platform.Store.ShiftClock(-offset)
		})
	}},
	{"caller link", func(tb *testbed, rnd *rand.Rand) {
		d := rnd.IntN(daemonCount)
		tb.runFault("caller link", d, false, func() { tb.disturbLink(rnd, tb.daemons[d].callerLink) })
	}},
	{"engine crash", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("engine crash", allDaemons, false, func() {
			for range 1 + rnd.IntN(2) {
				tb.replaceServer(rnd, true, func(s *fakes.Server) { s.Crash() })
			}
		})
	}},
	{"engine silent", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("engine silent", allDaemons, true, func() {
			tb.withRandomServer(rnd, true, func(s *fakes.Server) {
				silence := time.Duration(500+rnd.IntN(800)) * time.Millisecond
				s.Silence(silence)
				time.Sleep(silence)
			})
		})
	}},
	{"engine link", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("engine link", allDaemons, false, func() { tb.withRandomServer(rnd, true, func(s *fakes.Server) { tb.disturbLink(rnd, tb.link(s.ID)) }) })
	}},
	{"plain server link", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("plain server link", allDaemons, false, func() { tb.withRandomServer(rnd, false, func(s *fakes.Server) { tb.disturbLink(rnd, tb.link(s.ID)) }) })
	}},
	{"streams cut off", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("streams cut off", allDaemons, false, func() {
			for range 1 + rnd.IntN(5) {
				tb.withRandomServer(rnd, true, func(s *fakes.Server) { s.AbortNextStreamAfter(1 + rnd.IntN(streamEvents)) })
				sleepBetween(rnd, 0, 300*time.Millisecond)
			}
		})
	}},
	{"lost responses", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("lost responses", allDaemons, false, func() {
			tb.withRandomServer(rnd, false, func(s *fakes.Server) {
				s.DropAnswers(true)
				sleepBetween(rnd, 200*time.Millisecond, 2*time.Second)
				s.DropAnswers(false)
			})
		})
	}},
	{"engine drained", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("engine drained", allDaemons, true, func() { tb.drainServer(rnd, true) })
	}},
	{"plain server drained", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("plain server drained", allDaemons, true, func() { tb.drainServer(rnd, false) })
	}},
	{"server says that it leaves", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("server says that it leaves", allDaemons, true, func() {
			engine := rnd.IntN(2) == 0
			tb.withRandomServer(rnd, engine, func(s *fakes.Server) {
				tb.startServer(engine)
				time.Sleep(entryTTL)
				s.SayLeaving()
				time.Sleep(entryTTL)
				s.RemoveEntry()
				time.Sleep(drainTime)
				s.Crash()
			})
		})
	}},
	{"server asks for pauses", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("server asks for pauses", allDaemons, false, func() {
			tb.withRandomServer(rnd, rnd.IntN(2) == 0, func(s *fakes.Server) {
				s.Pause(time.Duration(200+rnd.IntN(3000)) * time.Millisecond)
				sleepBetween(rnd, 200*time.Millisecond, 3*time.Second)
				s.Pause(0)
			})
		})
	}},
	{"surge", func(tb *testbed, rnd *rand.Rand) { tb.surge(rnd) }},
	{cutFault, func(tb *testbed, rnd *rand.Rand) { tb.cutFromServers(rnd) }},
	{limitFault, func(tb *testbed, rnd *rand.Rand) { tb.nameLimit(rnd) }},
	{crashingFault, func(tb *testbed, rnd *rand.Rand) { tb.crashServers(rnd) }},
	{"engines added", func(tb *testbed, rnd *rand.Rand) {
		for range 1 + rnd.IntN(2) {
			tb.startServer(true)
		}
	}},
	{"config change", func(tb *testbed, _ *rand.Rand) { tb.writeConfig() }},
	{"several config changes", func(tb *testbed, rnd *rand.Rand) {
		for range 2 + rnd.IntN(5) {
			tb.writeConfig()
			sleepBetween(rnd, 50*time.Millisecond, 400*time.Millisecond)
		}
	}},
	{"config change, then kill all daemons", func(tb *testbed, rnd *rand.Rand) {
		tb.runFault("config change, then kill all daemons", allDaemons, false, func() {
			tb.writeConfig()
			sleepBetween(rnd, 0, 50*time.Millisecond)
			tb.killAllDaemons()
		})
	}},
}

// sleepBetween sleeps for a random time between shortest and longest.
func sleepBetween(rnd *rand.Rand, shortest, longest time.Duration) {
	time.Sleep(shortest + time.Duration(rnd.Int64N(int64(longest-shortest)+1)))
}

// killAllDaemons kills all daemons at once and waits until their processes are restarted.
func (tb *testbed) killAllDaemons() {
	for _, d := range tb.daemons {
		d.signal(syscall.SIGKILL)
	}
	time.Sleep(2 * restartDelay)
}

// disturbLink injects a random fault into a link for a random time: a reset, refused connections,
// a stall of one or both directions, or a delay.
func (tb *testbed) disturbLink(rnd *rand.Rand, l *link) {
	slow := directionFault{delay: time.Duration(20+rnd.IntN(200)) * time.Millisecond}
	switch rnd.IntN(6) {
	case 0:
		l.resetAll()
	case 1:
		l.setRefusing(true)
		defer l.setRefusing(false)
	case 2:
		l.setFaults(directionFault{stalled: true}, directionFault{stalled: true})
	case 3:
		l.setFaults(directionFault{stalled: true}, directionFault{})
	case 4:
		l.setFaults(directionFault{}, directionFault{stalled: true})
	case 5:
		l.setFaults(slow, slow)
	}
	sleepBetween(rnd, 200*time.Millisecond, 4*time.Second)
	l.setFaults(directionFault{}, directionFault{})
}

// entryTTL is how long the platform keeps the entry of a server that stopped responding.
const entryTTL = 2 * time.Second

// replaceServer stops a random server, and starts a new one when the old one's entry has expired.
func (tb *testbed) replaceServer(rnd *rand.Rand, engine bool, stop func(*fakes.Server)) {
	tb.withRandomServer(rnd, engine, func(s *fakes.Server) {
		stop(s)
		time.Sleep(entryTTL)
		s.RemoveEntry()
		tb.startServer(engine)
	})
}

// drainTime is how long a draining server keeps serving.
const drainTime = 3 * time.Second

// drainServer replaces a random server without a disruption: it starts a new one, drains the old
// one and then removes it.
func (tb *testbed) drainServer(rnd *rand.Rand, engine bool) {
	tb.withRandomServer(rnd, engine, func(s *fakes.Server) {
		tb.startServer(engine)
		time.Sleep(entryTTL)
		s.Drain()
		time.Sleep(drainTime)
		s.RemoveEntry()
		s.Crash()
	})
}

// placementOwner returns the index of the daemon that owns the placement of layers, or 0 if none
// does.
func (tb *testbed) placementOwner() int {
	for i, d := range tb.daemons {
		if tb.platform.Store.ValueContains("bulrushpond/placement", d.ip) {
			return i
		}
	}
	return 0
}
