package rings

import (
	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// Follower keeps the settings in force at one daemon. Its revision never goes
// down, whoever offers what.
type Follower struct {
	force *setts.Force
	// recent are the newest changes, for peers that missed a few.
	recent []setts.Change
}

// recentChanges is how many changes a follower keeps for its peers.
const recentChanges = 64

// Force returns what is in force, or nil before the first revision.
func (f *Follower) Force() *setts.Force { return f.force }

// Revision returns the revision in force.
func (f *Follower) Revision() model.Revision {
	if f.force == nil {
		return 0
	}
	return f.force.Revision
}

// OfferTree takes a whole tree if it is newer than what is in force.
func (f *Follower) OfferTree(t setts.Tree) bool {
	if f.force != nil && t.Revision <= f.force.Revision {
		return false
	}
	f.force = setts.NewForce(t)
	f.recent = nil
	return true
}

// OfferChanges applies the changes that follow what is in force. It returns
// false where they leave a gap, so that a whole tree is needed.
func (f *Follower) OfferChanges(changes []setts.Change) (bool, error) {
	if f.force == nil && len(changes) > 0 && changes[0].Revision == 1 {
		// The log from its first change on starts from the empty tree.
		f.force = setts.NewForce(setts.NewTree())
	}
	for _, c := range changes {
		if f.force == nil || c.Revision > f.force.Revision+1 {
			return false, nil
		}
		if c.Revision <= f.force.Revision {
			continue
		}
		next, err := f.force.Next(c)
		if err != nil {
			return false, trace.BadParameter("settings revision %d cannot be applied: %s", c.Revision, err.Error())
		}
		f.force = next
		f.recent = append(f.recent, c)
		if len(f.recent) > recentChanges {
			f.recent = f.recent[1:]
		}
	}
	return true, nil
}

// Since returns the changes after a revision, or false where they are not all
// known any more.
func (f *Follower) Since(r model.Revision) ([]setts.Change, bool) {
	if r >= f.Revision() {
		return nil, true
	}
	for i, c := range f.recent {
		if c.Revision == r+1 {
			return f.recent[i:], true
		}
	}
	return nil, false
}
