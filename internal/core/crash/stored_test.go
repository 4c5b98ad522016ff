package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStored checks when the stored blocks are written again, and that a daemon that does not know
// them yet keeps them.
func TestStored(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	until := now.Add(5 * time.Minute)
	type scenario struct {
		name          string
		stored, known []Block
		sound         []uint64
		want          []Block
		changed       bool
	}
	for _, s := range []scenario{
		{"nothing", nil, nil, nil, nil, false},
		{"a new block", nil, []Block{{bad, until}}, nil, []Block{{bad, until}}, true},
		{"stored already", []Block{{bad, until}}, []Block{{bad, until}}, nil, nil, false},
		{"a little longer", []Block{{bad, until}}, []Block{{bad, until.Add(storedSlack)}}, nil, nil, false},
		{"longer", []Block{{bad, until}}, []Block{{bad, until.Add(2 * storedSlack)}}, nil, []Block{{bad, until.Add(2 * storedSlack)}}, true},
		{"not known here", []Block{{other, until}}, nil, nil, nil, false},
		{"one more", []Block{{other, until}}, []Block{{bad, until}}, nil, []Block{{other, until}, {bad, until}}, true},
		{"ended", []Block{{other, now}}, nil, nil, nil, false},
		{"ended, with another", []Block{{other, now}}, []Block{{bad, until}}, nil, []Block{{bad, until}}, true},
		{"sound", []Block{{bad, until}}, nil, []uint64{bad}, nil, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			st := New(PromptParts())
			st.ApplyStored(now, s.known)
			st.RecordSound(now, s.sound)
			blocks, changed := st.Stored(now, s.stored)
			assert.DeepEqual(t, blocks, s.want)
			assert.Equal(t, changed, s.changed)
		})
	}
}

// TestApplyStored checks that stored blocks are adopted until they end, unless their part is known
// as sound, and that a block without a sensible end is bounded.
func TestApplyStored(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	st := New(PromptParts())
	st.RecordSound(now, []uint64{subject})
	st.ApplyStored(now, []Block{{bad, now.Add(time.Minute)}, {subject, now.Add(time.Minute)}, {caller, now}, {other, now.AddDate(9, 0, 0)}})
	changes := st.Check(now)
	assert.Equal(t, len(changes), 2)
	until, _ := st.Blocked(now, []uint64{bad})
	assert.Equal(t, until, now.Add(time.Minute))
	until, _ = st.Blocked(now, []uint64{other})
	assert.Equal(t, until, now.Add(BlockDuration))
	for _, part := range []uint64{subject, caller} {
		_, blocked := st.Blocked(now, []uint64{part})
		assert.Assert(t, !blocked)
	}
}
