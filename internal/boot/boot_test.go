package boot

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/internal/peer"
	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

func goodFile(t testing.TB) File {
	authority, err := peer.NewAuthority(time.Now().Add(time.Hour))
	assert.NilError(t, err)
	keys, err := authority.Issue("d0", time.Now().Add(time.Hour))
	assert.NilError(t, err)
	return File{
		Daemon: "d0", Zone: "a", Callers: "127.0.0.1:1", Admin: "127.0.0.1:2", Peers: "127.0.0.1:3",
		Platform: "127.0.0.1:4", Keys: keys,
	}
}

func TestParseFile(t *testing.T) {
	type scenario struct {
		name  string
		spoil func(*File)
		want  string
	}
	scenarios := []scenario{
		{"good", func(*File) {}, ""},
		{"no name", func(f *File) { f.Daemon = "" }, "daemon is missing"},
		{"host name", func(f *File) { f.Platform = "platform.local:4" }, "not an IP number with a port"},
		{"no port", func(f *File) { f.Callers = "127.0.0.1" }, "not an IP number with a port"},
		{"bad seed", func(f *File) { f.Seeds = []string{"x"} }, "seeds"},
		{"bad key", func(f *File) { f.Keys.Key = "x" }, "certificate and key"},
		{"bad authority", func(f *File) { f.Keys.Authority = "x" }, "authority is not"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := goodFile(t)
			s.spoil(&f)
			raw, err := yaml.Marshal(f)
			assert.NilError(t, err)
			got, err := ParseFile(raw)
			if s.want != "" {
				assert.ErrorContains(t, err, s.want)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, got, f)
		})
	}
	_, err := ParseFile([]byte("daemon: x\ncolour: blue\n"))
	assert.ErrorContains(t, err, "line 2")
}

func FuzzParseFile(f *testing.F) {
	raw, err := yaml.Marshal(goodFile(f))
	assert.NilError(f, err)
	f.Add(raw)
	f.Add([]byte("daemon: [1"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		file, err := ParseFile(raw)
		if err == nil {
			assert.Assert(t, file.Daemon != "")
		}
	})
}

// TestDifference: applying the difference of two trees to the first gives the
// second.
func TestDifference(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		have, want := drawTree(t, "have"), drawTree(t, "want")
		for _, c := range Difference(have, want, true) {
			var err error
			if have, err = have.Apply(c); err != nil {
				t.Fatalf("change %+v: %v", c, err)
			}
		}
		assert.DeepEqual(t, have.Paths(), want.Paths())
		for _, path := range want.Paths() {
			for name, text := range want.Nodes[path].Settings {
				assert.Equal(t, have.Nodes[path].Settings[name], text)
			}
			assert.Equal(t, len(have.Nodes[path].Settings), len(want.Nodes[path].Settings))
		}
	})
}

func drawTree(t *rapid.T, label string) setts.Tree {
	tree := setts.NewTree()
	for _, path := range []string{"/a", "/a/b", "/c"} {
		parent, _ := setts.Parent(path)
		if _, ok := tree.Nodes[parent]; !ok || !rapid.Bool().Draw(t, label) {
			continue
		}
		node := setts.Node{Kind: setts.Kind(strings.Count(path, "/")), Settings: map[string]string{}}
		if rapid.Bool().Draw(t, label) {
			node.Settings["weight"] = rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, label)
		}
		tree.Nodes[path] = node
	}
	return tree
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.yaml")
	assert.NilError(t, os.WriteFile(bad, []byte("settings: {wieght: 1}\n"), 0o600))
	good := filepath.Join(dir, "good.yaml")
	assert.NilError(t, os.WriteFile(good, []byte("settings: {weight: 1}\n"), 0o600))
	type scenario struct {
		name string
		args []string
		code int
		says string
	}
	scenarios := []scenario{
		{"version", []string{"version"}, ExitDone, "bulrushpond 1.2.3 (abc)"},
		{"help", []string{"settings", "set", "--help"}, ExitDone, "--base"},
		{"no command", []string{}, ExitUsage, "expected one of"},
		{"unknown flag", []string{"serve", "--colour"}, ExitUsage, "unknown flag"},
		{"names", []string{"settings", "names"}, ExitDone, "| `weight` | `1` |"},
		{"good tree", []string{"settings", "check", good}, ExitDone, "no problems"},
		{"bad tree", []string{"settings", "check", bad}, ExitUsage, "bad.yaml:1:20: /:wieght: unknown setting"},
		{"bad tree as json", []string{"settings", "check", "--output", "json", bad}, ExitUsage, `"line": 1`},
		{"bad value", []string{"settings", "set", "--at", "/", "--base", "0", "weight"}, ExitUsage, "not NAME=YAML"},
		{"daemon file", []string{"serve", "--settings", good}, ExitUsage, "not a daemon's settings file"},
		{"no daemon", []string{"status", "--admin", "127.0.0.1:1"}, ExitFailed, "connection refused"},
		{"keys in the past", []string{"keys", "d0", "--valid-until", "2001-01-01"}, ExitUsage, "not in the future"},
		{"keys", []string{"keys", "d0", "--valid-until", "2101-01-01"}, ExitDone, "BEGIN CERTIFICATE"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var out bytes.Buffer
			code := Main(s.args, &out, &out, BuildInfo{Version: "1.2.3", Commit: "abc"})
			assert.Equal(t, code, s.code, out.String())
			assert.Assert(t, strings.Contains(out.String(), s.says), out.String())
		})
	}
}

// TestDevOnce is the README's first command.
func TestDevOnce(t *testing.T) {
	var out, errOut bytes.Buffer
	code := Main([]string{"dev", "--once", "Draft a roster for three interviewers"}, &out, &errOut, BuildInfo{})
	assert.Equal(t, code, ExitDone, errOut.String())
	want := strings.Join(fakes.Answer("user: Draft a roster for three interviewers\n", devLayers, 0), "")
	assert.Assert(t, strings.Contains(out.String(), want), out.String())
	assert.Assert(t, strings.Contains(out.String(), "engine-0 (layers 0-16) -> engine-1 (layers 16-32)") ||
		strings.Contains(out.String(), "-> engine-"), out.String())
}
