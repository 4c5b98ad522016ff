package boot

import (
	"bytes"
	"net"
	"os"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"bulrushpond.example/bulrushpond/internal/peer"
)

// File is a daemon's own settings file: what a VM knows of itself. All else
// comes from the operators' settings tree.
type File struct {
	// Daemon is the VM's name; the platform's membership list has the same.
	Daemon string `yaml:"daemon"`
	Zone   string `yaml:"availability_zone"`
	// Callers, Admin and Peers are IP numbers and ports to listen on.
	Callers string `yaml:"callers"`
	Admin   string `yaml:"admin"`
	Peers   string `yaml:"peers"`
	// Platform is the address of the key-value service and membership list.
	Platform string `yaml:"platform"`
	// AdminKeySHA256 is the digest of the operators' key; empty lets anybody in
	// who reaches the admin address.
	AdminKeySHA256 string `yaml:"admin_key_sha256"`
	// Seeds are peer addresses to ask when the platform is down at the start.
	Seeds []string  `yaml:"seeds,omitempty"`
	Keys  peer.Keys `yaml:"keys"`
}

// ReadFile reads and checks a daemon's settings file.
func ReadFile(path string) (File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return File{}, trace.ConvertSystemError(err)
	}
	f, err := ParseFile(raw)
	return f, trace.Wrap(err, "%s", path)
}

// ParseFile checks the text of a daemon's settings file.
func ParseFile(raw []byte) (File, error) {
	var f File
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(&f); err != nil {
		return File{}, trace.BadParameter("not a daemon's settings file: %s", err.Error())
	}
	if f.Daemon == "" {
		return File{}, trace.BadParameter("daemon is missing: the VM's name in the membership list")
	}
	addresses := map[string]string{"callers": f.Callers, "admin": f.Admin, "peers": f.Peers, "platform": f.Platform}
	for _, name := range []string{"callers", "admin", "peers", "platform"} {
		if err := checkAddress(name, addresses[name]); err != nil {
			return File{}, err
		}
	}
	for _, seed := range f.Seeds {
		if err := checkAddress("seeds", seed); err != nil {
			return File{}, err
		}
	}
	if _, err := f.Keys.TLS(); err != nil {
		return File{}, err
	}
	return f, nil
}

// checkAddress accepts an IP number with a port, and no host name: VMs are
// reached without a name service.
func checkAddress(name, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return trace.BadParameter("%s: %q is not an IP number with a port, such as 10.0.0.1:8080", name, address)
	}
	return nil
}
