package place

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick is one tick of the owner of the placement once all of a large fleet's engines hold their layers.
func BenchmarkTick(b *testing.B) {
	for _, zones := range []int{3, 24} {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) {
			f := newFleet()
			for z := range zones {
				f.add(fmt.Sprintf("z%d", z), "small", 40)
				f.add(fmt.Sprintf("z%d", z), "large", 10)
			}
			f.run(b, 20*time.Second, noneLost)
			for b.Loop() {
				f.now = f.now.Add(100 * time.Millisecond)
				f.planner.Tick(f.now, f.profile, f.members)
			}
		})
	}
}
