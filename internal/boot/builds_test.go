package boot

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/elect"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// storedValues returns the values that a daemon writes to the key-value service, by the name of their key.
func storedValues(t *testing.T) map[string][]byte {
	t.Helper()
	blocks, err := encodeBlocks(storedBlocks())
	assert.NilError(t, err)
	return map[string][]byte{placementKey: claimedValue(t), fleetKey: []byte(strconv.Itoa(storedDaemons)), partBlocksKey: blocks}
}

const storedDaemons = 42

func storedBlocks() []crash.Block {
	until := time.Date(2026, time.December, 4, 10, 0, 0, 500, time.UTC)
	return []crash.Block{{Part: 0x1f, Until: until}, {Part: 1 << 63, Until: until.Add(time.Second)}}
}

// claimedValue returns the value with which a daemon claims the placement.
func claimedValue(t *testing.T) []byte {
	t.Helper()
	now := time.Now()
	election := &elect.State{Process: "10.0.0.1:7" + ownerSeparator + "1f", DutyKey: placementKey, FleetStarts: true}
	view := elect.OwnerView{Known: true}
	grant := election.Next(now, view)
	assert.Equal(t, grant.Kind, elect.Grant)
	election.Result(now, grant, model.Done, 7, model.Position{Revision: 1})
	claim := election.Next(now, view)
	assert.Equal(t, claim.Kind, elect.Claim)
	return claim.CAS.Value
}

// TestStoredValuesOfEarlierBuilds compares the values of this build with those of earlier ones, which
// read them and whose values this build reads: the forms must be the same.
func TestStoredValuesOfEarlierBuilds(t *testing.T) {
	now := storedValues(t)
	dirs, err := filepath.Glob("testdata/builds/*")
	assert.NilError(t, err)
	assert.Assert(t, len(dirs) >= 2, "the golden values are missing")
	for _, dir := range dirs {
		for key, value := range now {
			golden, err := os.ReadFile(filepath.Join(dir, filepath.Base(key)))
			assert.NilError(t, err)
			assert.Equal(t, string(value), string(golden), "%s of %s", key, dir)
		}
	}
	blocks, err := decodeBlocks(now[partBlocksKey])
	assert.NilError(t, err)
	assert.DeepEqual(t, blocks, storedBlocks())
	assert.Equal(t, elect.ProcessOf(string(now[placementKey])), "10.0.0.1:7/1f")
}

// TestStoredBlocksOfLaterBuilds reads blocks with a field that this build does not know.
func TestStoredBlocksOfLaterBuilds(t *testing.T) {
	blocks, err := decodeBlocks([]byte(`[{"part":"1f","until":"2026-12-04T10:00:00Z","later":1}]`))
	assert.NilError(t, err)
	assert.Equal(t, blocks[0].Part, uint64(0x1f))
}

// TestWriteGolden writes the golden values of this build into a directory with the name in
// GOLDEN_BUILD, which is the build's commit.
func TestWriteGolden(t *testing.T) {
	build := os.Getenv("GOLDEN_BUILD")
	if build == "" {
		t.Skip("GOLDEN_BUILD is not set")
	}
	dir := filepath.Join("testdata/builds", build)
	assert.NilError(t, os.MkdirAll(dir, 0o755))
	for key, value := range storedValues(t) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, filepath.Base(key)), value, 0o644))
	}
}
