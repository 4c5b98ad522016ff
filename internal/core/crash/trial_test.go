package crash

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestSoundRequestBesideCrashingOneIsFreed guards against a sound request that comes again and is refused for ten
// minutes, because it was sent to the same three servers or more as one that crashes them and no other server was left to answer
// it.
// Both come at all daemons all the time; the one that crashes reaches servers at most three times later than three seconds after the
// third crash.
func TestSoundRequestBesideCrashingOneIsFreed(t *testing.T) {
	// The servers are away for outage after the third crash, so that neither request is answered before the block.
	const learnBound, outage, maxLate, maxWait = 3 * time.Second, 2 * time.Second, 3, 8 * time.Second
	type scenario struct {
		name            string
		daemons         int
		crashing, sound uint64
		// shared is how many servers ended under both, of three or of as many.
		shared int
	}
	var scenarios []scenario
	for _, daemons := range []int{1, 3, 7} {
		for shared := 1; shared <= 5; shared++ {
			for _, digests := range [][2]uint64{{bad, other}, {other, bad}} {
				name := fmt.Sprintf("%d daemons, crashing %x, %d servers shared", daemons, digests[0], shared)
				scenarios = append(scenarios, scenario{name: name, daemons: daemons, crashing: digests[0], sound: digests[1], shared: shared})
			}
		}
	}
	for _, tc := range scenarios {
		t.Run(tc.name, func(t *testing.T) {
			daemons, crashing, sound := tc.daemons, tc.crashing, tc.sound
			f := newTestFleet(t, daemons)
			for i := range f.daemons {
				f.daemons[i] = New(Requests())
			}
			f.pass(2 * time.Second)
			servers := 0
			for i := range max(3, tc.shared) {
				d := f.daemons[i%daemons]
				d.RecordCrash(f.now, model.ServerID(strconv.Itoa(servers)), []uint64{crashing})
				if i >= tc.shared {
					servers++
				}
				d.RecordCrash(f.now, model.ServerID(strconv.Itoa(servers)), []uint64{sound})
				servers++
			}
			third := f.now
			late, accepted := 0, time.Time{}
			for f.now.Sub(third) < 20*time.Second {
				f.pass(exchangeInterval)
				if f.now.Sub(third) < outage {
					continue
				}
				resolved := !accepted.IsZero()
				for _, d := range f.daemons {
					crashingUntil, crashingRefused := d.BlockedUntil(f.now, crashing)
					soundUntil, soundRefused := d.BlockedUntil(f.now, sound)
					assert.Assert(t, resolved || crashingRefused || soundRefused, "both are tried at one time")
					if crashingRefused {
						assert.Assert(t, crashingUntil.After(f.now))
					} else {
						d.RecordCrash(f.now, model.ServerID(strconv.Itoa(servers)), []uint64{crashing})
						servers++
						if f.now.Sub(third) > learnBound {
							late++
						}
					}
					if soundRefused {
						assert.Assert(t, soundUntil.After(f.now))
						assert.Assert(t, f.now.Sub(third) < maxWait, "refused %s after the third crash", f.now.Sub(third))
						continue
					}
					d.RecordSound(f.now, []uint64{sound})
					if accepted.IsZero() {
						accepted = f.now
					}
				}
			}
			assert.Assert(t, late <= maxLate, "the request reached servers %d times late", late)
			assert.Assert(t, !accepted.IsZero())
			f.pass(2 * learnedEvidenceTTL)
			for i := range f.daemons {
				assert.DeepEqual(t, f.blocked(i), []uint64{crashing})
			}
		})
	}
}

// TestTriedRequestIsNotTriedAgain guards against a request that crashes a server in each of its turns, while the sound
// one that is blocked with it does not come. That one is free again as soon as the other explains all its ends.
func TestTriedRequestIsNotTriedAgain(t *testing.T) {
	const maxLate = 3
	for shared := 1; shared <= 3; shared++ {
		t.Run(fmt.Sprintf("%d servers shared", shared), func(t *testing.T) {
			f := newTestFleet(t, 3)
			for i := range f.daemons {
				f.daemons[i] = New(Requests())
			}
			f.pass(2 * time.Second)
			for i, d := range f.daemons {
				d.RecordCrash(f.now, model.ServerID(strconv.Itoa(i)), []uint64{bad})
				soundServer := i
				if i >= shared {
					soundServer += 10
				}
				d.RecordCrash(f.now, model.ServerID(strconv.Itoa(soundServer)), []uint64{other})
			}
			third, servers, late := f.now, 20, 0
			for f.now.Sub(third) < 30*time.Second {
				f.pass(exchangeInterval)
				if f.now.Sub(third) < 2*time.Second {
					continue
				}
				for _, d := range f.daemons {
					if _, refused := d.BlockedUntil(f.now, bad); !refused {
						d.RecordCrash(f.now, model.ServerID(strconv.Itoa(servers)), []uint64{bad})
						servers++
						late++
					}
				}
			}
			assert.Assert(t, late > 0 && late <= maxLate, "tried %d times", late)
			want := []uint64{bad, other}
			if shared == 3 {
				want = want[:1]
			}
			for i := range f.daemons {
				assert.DeepEqual(t, f.blocked(i), want)
			}
		})
	}
}
