package boot

import (
	"bytes"
	"net"
	"os"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"bulrushpond.example/bulrushpond/internal/peer"
)

// File is the settings file of one daemon, with the values that are specific to its VM.
// All other settings come from the operators' settings tree.
type File struct {
	// Daemon is the VM's name in the platform's membership list.
	Daemon string `yaml:"daemon"`
	Zone   string `yaml:"availability_zone"`
	// Callers, Admin and Peers are the IP addresses and ports to listen on.
	Callers string `yaml:"callers"`
	Admin   string `yaml:"admin"`
	Peers   string `yaml:"peers"`
	// Platform is the address of the key-value service and membership list.
	Platform string `yaml:"platform"`
	// AdminKeySHA256 is the hexadecimal digest of the operators' key. If it is empty, the
	// admin API requires no key.
	AdminKeySHA256 string `yaml:"admin_key_sha256"`
	// Seeds are the peer addresses that are asked if the platform is unavailable at start.
	Seeds []string  `yaml:"seeds,omitempty"`
	Keys  peer.Keys `yaml:"keys"`
}

// ReadFile reads and validates the settings file of a daemon.
func ReadFile(path string) (File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return File{}, trace.ConvertSystemError(err)
	}
	file, err := ParseFile(raw)
	return file, trace.Wrap(err, "%s", path)
}

// ParseFile parses and validates the settings file of a daemon. Unknown keys are errors.
func ParseFile(raw []byte) (File, error) {
	var file File
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(&file); err != nil {
		return File{}, trace.BadParameter("not a daemon's settings file: %s", err.Error())
	}
	if file.Daemon == "" {
		return File{}, trace.BadParameter("daemon is missing: the VM's name in the membership list")
	}
	addresses := map[string]string{"callers": file.Callers, "admin": file.Admin, "peers": file.Peers, "platform": file.Platform}
	for _, name := range []string{"callers", "admin", "peers", "platform"} {
		if err := validateAddress(name, addresses[name]); err != nil {
			return File{}, err
		}
	}
	for _, seed := range file.Seeds {
		if err := validateAddress("seeds", seed); err != nil {
			return File{}, err
		}
	}
	if _, err := file.Keys.TLS(); err != nil {
		return File{}, err
	}
	return file, nil
}

// validateAddress requires an IP address with a port. Host names are rejected, because VMs
// are reached without DNS.
func validateAddress(name, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return trace.BadParameter("%s: %q is not an IP address with a port, such as 10.0.0.1:8080", name, address)
	}
	return nil
}
