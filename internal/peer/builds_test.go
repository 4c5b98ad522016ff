package peer

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/burn"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/internal/shape"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

const (
	// buildsDir holds a directory for each build that may run beside this one, named by its commit.
	buildsDir  = "testdata/builds"
	shapesFile = "shapes.json"
)

// exchanged returns pointers to the messages between daemons and the values in the key-value service
// that are CBOR, with all fields set.
func exchanged() map[string]any {
	messages := map[string]any{
		"request": &Request{}, "answer": &Answer{}, "frame": &drive.ProxyFrame{},
		"slot": &rings.Slot{}, "head": &rings.Head{}, "tree": &setts.Tree{}, "counts": &burn.Snapshot{},
	}
	for _, m := range messages {
		shape.Fill(m)
	}
	// The decoders of these check more than the layout.
	head, tree := messages["head"].(*rings.Head), messages["tree"].(*setts.Tree)
	head.Snapshot, head.Revision = 1, 3
	for i := range head.Entries {
		head.Entries[i].Revision = head.Revision - model.Revision(len(head.Entries)-1-i)
	}
	tree.Nodes[setts.Root] = setts.Node{Kind: 1, Settings: map[string]string{"name": "value"}, Changed: 1}
	return messages
}

// encode returns the bytes of a message as a daemon writes them.
func encode(t *testing.T, m any) []byte {
	t.Helper()
	var out strings.Builder
	assert.NilError(t, writeMessage(&out, m))
	return []byte(out.String())
}

func decode(t *testing.T, raw []byte, m any) {
	t.Helper()
	codec, err := sharedCodec()
	assert.NilError(t, err)
	assert.NilError(t, codec.dec.Unmarshal(raw, m))
}

// forEachBuild runs a test for each earlier build with the shapes of its messages.
func forEachBuild(t *testing.T, test func(t *testing.T, dir string, shapes map[string]*shape.Shape)) {
	dirs, err := filepath.Glob(filepath.Join(buildsDir, "*"))
	assert.NilError(t, err)
	assert.Assert(t, len(dirs) >= 2, "the golden messages are missing")
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			raw, err := os.ReadFile(filepath.Join(dir, shapesFile))
			assert.NilError(t, err)
			var shapes map[string]*shape.Shape
			assert.NilError(t, json.Unmarshal(raw, &shapes))
			test(t, dir, shapes)
		})
	}
}

// TestMessagesOfEarlierBuilds reads what earlier builds wrote with all fields set: every field must be
// taken over, and nothing be added when the message is written again.
func TestMessagesOfEarlierBuilds(t *testing.T) {
	forEachBuild(t, func(t *testing.T, dir string, shapes map[string]*shape.Shape) {
		for name := range shapes {
			golden, err := os.ReadFile(filepath.Join(dir, name+".cbor"))
			assert.NilError(t, err)
			read := reflect.New(reflect.TypeOf(exchanged()[name]).Elem()).Interface()
			decode(t, golden, read)
			var want, got any
			decode(t, golden, &want)
			decode(t, encode(t, read), &got)
			assert.DeepEqual(t, got, want)
		}
	})
}

// TestMessagesForEarlierBuilds reads what this build writes with all fields set as earlier builds do:
// they must get every field that they know, and ignore the others.
func TestMessagesForEarlierBuilds(t *testing.T) {
	now := exchanged()
	forEachBuild(t, func(t *testing.T, _ string, shapes map[string]*shape.Shape) {
		for name, earlier := range shapes {
			assert.DeepEqual(t, shape.Differences(name, earlier, shape.Of(reflect.TypeOf(now[name]))), []string(nil))
			read := reflect.New(earlier.Type())
			decode(t, encode(t, now[name]), read.Interface())
			assert.DeepEqual(t, shape.Unset(name, read.Elem()), []string(nil))
		}
	})
}

// TestStoredValuesOfEarlierBuilds reads values of earlier builds with the decoders of the key-value
// service, which check more than the layout.
func TestStoredValuesOfEarlierBuilds(t *testing.T) {
	forEachBuild(t, func(t *testing.T, dir string, _ map[string]*shape.Shape) {
		golden := func(name string) []byte {
			raw, err := os.ReadFile(filepath.Join(dir, name+".cbor"))
			assert.NilError(t, err)
			return raw
		}
		slot, err := rings.DecodeSlot(golden("slot"))
		assert.NilError(t, err)
		assert.Equal(t, len(slot.Entries), 2)
		head, err := rings.DecodeHead(golden("head"))
		assert.NilError(t, err)
		assert.Equal(t, head.Revision, model.Revision(3))
		tree, err := rings.DecodeTree(golden("tree"))
		assert.NilError(t, err)
		assert.Equal(t, tree.Nodes[setts.Root].Settings["name"], "value")
		counts, err := burn.DecodeSnapshot(golden("counts"))
		assert.NilError(t, err)
		assert.Equal(t, len(counts.Teams), 2)
	})
}

// TestMessagesOfLaterBuilds reads a message with fields and numbers that this build does not know.
func TestMessagesOfLaterBuilds(t *testing.T) {
	var q Request
	decode(t, encode(t, map[int]any{6: map[int]any{1: "d1", 2: map[int]any{1: "address", 99: []string{"x"}}, 99: 1.5}, 99: map[string]int{"x": 1}}), &q)
	assert.Equal(t, q.Hub.Status.Address, "address")
	var frame drive.ProxyFrame
	decode(t, encode(t, map[int]any{4: map[int]any{1: 200, 2: 200, 3: "text"}}), &frame)
	assert.Equal(t, frame.Failure.Message, "text")
	assert.Assert(t, !frame.Failure.Verdict.Retryable(false), "an unknown verdict must not count as not run")
}

// TestEmptyAnswerIsNoResult reads the answer of a daemon that does not know proxied requests as frames: it
// shows no result, so that the request ends as lost.
func TestEmptyAnswerIsNoResult(t *testing.T) {
	var frame drive.ProxyFrame
	decode(t, encode(t, Answer{}), &frame)
	assert.DeepEqual(t, frame, drive.ProxyFrame{})
}

// TestWriteGolden writes the golden messages of this build into a directory with the name in
// GOLDEN_BUILD, which is the build's commit.
func TestWriteGolden(t *testing.T) {
	build := os.Getenv("GOLDEN_BUILD")
	if build == "" {
		t.Skip("GOLDEN_BUILD is not set")
	}
	dir, shapes := filepath.Join(buildsDir, build), map[string]*shape.Shape{}
	assert.NilError(t, os.MkdirAll(dir, 0o755))
	for name, m := range exchanged() {
		shapes[name] = shape.Of(reflect.TypeOf(m))
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name+".cbor"), encode(t, m), 0o644))
	}
	raw, err := json.MarshalIndent(shapes, "", " ")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, shapesFile), append(raw, '\n'), 0o644))
}
