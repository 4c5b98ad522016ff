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

// validFile returns a valid daemon settings file with new keys.
func validFile(t testing.TB) File {
	authority, err := peer.NewCertificateAuthority(time.Now().Add(time.Hour))
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
		name    string
		modify  func(*File)
		wantErr string
	}
	scenarios := []scenario{
		{"valid", func(*File) {}, ""},
		{"daemon missing", func(f *File) { f.Daemon = "" }, "daemon is missing"},
		{"host name instead of IP address", func(f *File) { f.Platform = "platform.local:4" }, "not an IP address with a port"},
		{"port missing", func(f *File) { f.Callers = "127.0.0.1" }, "not an IP address with a port"},
		{"seed without address", func(f *File) { f.Seeds = []string{"x"} }, "seeds"},
		{"invalid key", func(f *File) { f.Keys.Key = "x" }, "certificate and key"},
		{"invalid authority", func(f *File) { f.Keys.Authority = "x" }, "authority is not"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := validFile(t)
			s.modify(&f)
			raw, err := yaml.Marshal(f)
			assert.NilError(t, err)
			got, err := ParseFile(raw)
			if s.wantErr != "" {
				assert.ErrorContains(t, err, s.wantErr)
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
	raw, err := yaml.Marshal(validFile(f))
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

// TestDifferenceProducesTarget checks that applying the difference of two trees to the first
// produces the second.
func TestDifferenceProducesTarget(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		current, target := drawTree(t, "have"), drawTree(t, "want")
		for _, c := range Difference(current, target, true) {
			var err error
			if current, err = current.Apply(c); err != nil {
				t.Fatalf("change %+v: %v", c, err)
			}
		}
		assert.DeepEqual(t, current.Paths(), target.Paths())
		for _, path := range target.Paths() {
			for name, text := range target.Nodes[path].Settings {
				assert.Equal(t, current.Nodes[path].Settings[name], text)
			}
			assert.Equal(t, len(current.Nodes[path].Settings), len(target.Nodes[path].Settings))
		}
	})
}

// drawTree draws a tree with up to three nodes and at most one setting per node.
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
	invalidTree := filepath.Join(dir, "bad.yaml")
	assert.NilError(t, os.WriteFile(invalidTree, []byte("settings: {wieght: 1}\n"), 0o600))
	validTree := filepath.Join(dir, "good.yaml")
	assert.NilError(t, os.WriteFile(validTree, []byte("settings: {weight: 1}\n"), 0o600))
	type scenario struct {
		name       string
		args       []string
		wantCode   int
		wantOutput string
	}
	scenarios := []scenario{
		{"version", []string{"version"}, ExitSuccess, "bulrushpond 1.2.3 (abc)"},
		{"help", []string{"settings", "set", "--help"}, ExitSuccess, "--base"},
		{"command missing", []string{}, ExitUsage, "expected one of"},
		{"unknown flag", []string{"serve", "--colour"}, ExitUsage, "unknown flag"},
		{"settings reference", []string{"settings", "names"}, ExitSuccess, "| `weight` | `1` |"},
		{"valid tree", []string{"settings", "check", validTree}, ExitSuccess, "no problems"},
		{"invalid tree", []string{"settings", "check", invalidTree}, ExitUsage, "bad.yaml:1:20: /:wieght: unknown setting"},
		{"invalid tree as JSON", []string{"settings", "check", "--output", "json", invalidTree}, ExitUsage, `"line": 1`},
		{"value without name", []string{"settings", "set", "--at", "/", "--base", "0", "weight"}, ExitUsage, "not NAME=YAML"},
		{"tree instead of daemon settings file", []string{"serve", "--settings", validTree}, ExitUsage, "not a daemon's settings file"},
		{"daemon not running", []string{"status", "--admin", "127.0.0.1:1"}, ExitFailed, "connection refused"},
		{"keys already expired", []string{"keys", "d0", "--valid-until", "2001-01-01"}, ExitUsage, "not in the future"},
		{"issue keys", []string{"keys", "d0", "--valid-until", "2101-01-01"}, ExitSuccess, "BEGIN CERTIFICATE"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var out bytes.Buffer
			wantCode := Main(s.args, &out, &out, BuildInfo{Version: "1.2.3", Commit: "abc"})
			assert.Equal(t, wantCode, s.wantCode, out.String())
			assert.Assert(t, strings.Contains(out.String(), s.wantOutput), out.String())
		})
	}
}

// TestDevOncePrintsAnswerAndRoute runs the first command of the README.
func TestDevOncePrintsAnswerAndRoute(t *testing.T) {
	var out, errOut bytes.Buffer
	code := Main([]string{"dev", "--once", "Draft a roster for three interviewers"}, &out, &errOut, BuildInfo{})
	assert.Equal(t, code, ExitSuccess, errOut.String())
	want := strings.Join(fakes.Answer("user: Draft a roster for three interviewers\n", devLayers, 0), "")
	assert.Assert(t, strings.Contains(out.String(), want), out.String())
	assert.Assert(t, strings.Contains(out.String(), "engine-0 (layers 0-16) -> engine-1 (layers 16-32)") ||
		strings.Contains(out.String(), "-> engine-"), out.String())
}
