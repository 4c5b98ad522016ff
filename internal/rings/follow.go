package rings

import (
	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// Follower holds the settings in force at one daemon. Its revision never
// decreases, whatever order trees and changes arrive in.
type Follower struct {
	current *setts.EffectiveSettings
	// recentChanges are the newest applied changes, served to peers that lag.
	recentChanges []setts.Change
}

// maxRecentChanges is how many changes a Follower keeps for lagging peers.
const maxRecentChanges = 64

// EffectiveSettings returns the settings in force, or nil before the first revision.
func (f *Follower) EffectiveSettings() *setts.EffectiveSettings { return f.current }

// Revision returns the revision in force.
func (f *Follower) Revision() model.Revision {
	if f.current == nil {
		return 0
	}
	return f.current.Revision
}

// ApplyTree replaces the settings in force by a whole tree if it is newer, and
// reports whether it did.
func (f *Follower) ApplyTree(t setts.Tree) bool {
	if f.current != nil && t.Revision <= f.current.Revision {
		return false
	}
	f.current = setts.NewEffectiveSettings(t)
	f.recentChanges = nil
	return true
}

// ApplyChanges applies the changes that follow the revision in force. It returns
// false if a whole tree is needed: there is a gap before one of the changes, or there
// are no settings to apply them to.
func (f *Follower) ApplyChanges(changes []setts.Change) (bool, error) {
	if f.current == nil && len(changes) > 0 && changes[0].Revision == 1 {
		// Revision 1 applies to the empty tree.
		f.current = setts.NewEffectiveSettings(setts.NewTree())
	}
	for _, c := range changes {
		if f.current == nil || c.Revision > f.current.Revision+1 {
			return false, nil
		}
		if c.Revision <= f.current.Revision {
			continue
		}
		next, err := f.current.Next(c)
		if err != nil {
			return false, trace.BadParameter("settings revision %d cannot be applied: %s", c.Revision, err.Error())
		}
		f.current = next
		f.recentChanges = append(f.recentChanges, c)
		if len(f.recentChanges) > maxRecentChanges {
			f.recentChanges = f.recentChanges[1:]
		}
	}
	return f.current != nil, nil
}

// ChangesSince returns the changes after a revision, or false if some of them are no
// longer kept.
func (f *Follower) ChangesSince(r model.Revision) ([]setts.Change, bool) {
	if r >= f.Revision() {
		return nil, true
	}
	for i, c := range f.recentChanges {
		if c.Revision == r+1 {
			return f.recentChanges[i:], true
		}
	}
	return nil, false
}
