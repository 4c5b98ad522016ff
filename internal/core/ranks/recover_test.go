package ranks_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/ranks"
)

// TestRefusalsEndWithTheShortage answers a shortage of the most important rank that ends, with few and with many ranks behind it: two
// seconds later requests of all ranks are admitted, since nobody is short of room any more.
func TestRefusalsEndWithTheShortage(t *testing.T) {
	for _, count := range []int{2, 3, 10} {
		t.Run(fmt.Sprintf("ranks=%d", count), func(t *testing.T) {
			var numbers []int
			for number := range count {
				numbers = append(numbers, number)
			}
			st := ranks.New(1)
			st.SetServices(map[string][]int{"m": numbers})
			end := start.Add(3 * time.Second)
			lastRefused := start
			for now := start; now.Before(end.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
				if now.Before(end) && now.Sub(start)%(250*time.Millisecond) == 0 {
					st.SetOthers(now, now.Add(board.StatusTTL), shortage()[:1])
				} else if now.Sub(start)%(250*time.Millisecond) == 0 {
					st.SetOthers(now, now.Add(board.StatusTTL), nil)
				}
				for number := range count {
					place, admitted := st.Admit(now, "m", number)
					if !admitted {
						st.Refused(now, "m", number)
						lastRefused = now
						continue
					}
					st.Queued("m", number)
					st.Started(now, "m", number, place)
				}
			}
			assert.Assert(t, lastRefused.Sub(end) <= 2*time.Second, "refused until %s after the shortage", lastRefused.Sub(end))
		})
	}
}
