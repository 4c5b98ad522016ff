package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/gravitational/trace"
)

// serverName is the name in every daemon's certificate. Daemons are reached by
// IP number, and VMs change theirs, so the fleet's own authority is what counts.
const serverName = "daemon.bulrushpond.internal"

// Keys are the PEM texts in a daemon's settings file.
type Keys struct {
	// Authority is the certificate of the fleet's own authority.
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// TLS returns the configuration of mutual TLS among the daemons.
func (k Keys) TLS() (*tls.Config, error) {
	pair, err := tls.X509KeyPair([]byte(k.Certificate), []byte(k.Key))
	if err != nil {
		return nil, trace.BadParameter("the daemon's certificate and key: %s", err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(k.Authority)) {
		return nil, trace.BadParameter("the authority is not a PEM certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   serverName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// Authority signs the certificates of a fleet's daemons.
type Authority struct {
	cert *x509.Certificate
	pem  string
	key  *ecdsa.PrivateKey
}

// NewAuthority makes an authority that is valid until a moment.
func NewAuthority(until time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template := certificate("bulrushpond fleet authority", until)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Authority{cert: cert, pem: pemOf("CERTIFICATE", raw), key: key}, nil
}

// Issue makes the keys of one daemon.
func (a *Authority) Issue(daemon string, until time.Time) (Keys, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Keys{}, trace.Wrap(err)
	}
	template := certificate(daemon, until)
	template.DNSNames = []string{serverName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Keys{}, trace.Wrap(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Keys{}, trace.Wrap(err)
	}
	return Keys{Authority: a.pem, Certificate: pemOf("CERTIFICATE", raw), Key: pemOf("PRIVATE KEY", private)}, nil
}

// clockSkew is how far the clocks of two VMs may differ.
const clockSkew = time.Hour

func certificate(name string, until time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockSkew),
		NotAfter:     until,
	}
}

func pemOf(kind string, raw []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}))
}

// NetworkTLS returns the configuration for daemons on a platform that gives them no
// secret of their own: links are encrypted, and who may connect is left to the
// platform's network, as it is for its key-value service.
func NetworkTLS(daemon string, until time.Time) (*tls.Config, error) {
	authority, err := NewAuthority(until)
	if err != nil {
		return nil, err
	}
	keys, err := authority.Issue(daemon, until)
	if err != nil {
		return nil, err
	}
	conf, err := keys.TLS()
	if err != nil {
		return nil, err
	}
	conf.ClientAuth, conf.ClientCAs = tls.NoClientCert, nil
	// Each daemon signs for itself, so there is nothing to hold a certificate against.
	conf.InsecureSkipVerify = true
	return conf, nil
}
