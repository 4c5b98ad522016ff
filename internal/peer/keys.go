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

// certServerName is the DNS name in every daemon's certificate. Daemons connect by IP
// address and VMs change their addresses, so daemons authenticate each other by the
// fleet's certificate authority, not by address.
const certServerName = "daemon.bulrushpond.internal"

// Keys holds the PEM blocks in a daemon's settings file.
type Keys struct {
	// Authority is the certificate of the fleet's certificate authority.
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// TLS returns the configuration for mutual TLS between daemons.
func (k Keys) TLS() (*tls.Config, error) {
	pair, err := tls.X509KeyPair([]byte(k.Certificate), []byte(k.Key))
	if err != nil {
		return nil, trace.BadParameter("loading the daemon's certificate and key: %s", err.Error())
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM([]byte(k.Authority)) {
		return nil, trace.BadParameter("the certificate authority is not a PEM certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      caPool,
		ClientCAs:    caPool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   certServerName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// CertificateAuthority is the certificate authority of a fleet.
type CertificateAuthority struct {
	cert *x509.Certificate
	pem  string
	key  *ecdsa.PrivateKey
}

// NewCertificateAuthority creates a self-signed certificate authority that is valid until notAfter.
func NewCertificateAuthority(notAfter time.Time) (*CertificateAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template := certificateTemplate("bulrushpond fleet authority", notAfter)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	certDER, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &CertificateAuthority{cert: cert, pem: encodePEM("CERTIFICATE", certDER), key: key}, nil
}

// Issue creates the private key and certificate of one daemon.
func (a *CertificateAuthority) Issue(daemon string, notAfter time.Time) (Keys, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Keys{}, trace.Wrap(err)
	}
	template := certificateTemplate(daemon, notAfter)
	template.DNSNames = []string{certServerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	certDER, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Keys{}, trace.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Keys{}, trace.Wrap(err)
	}
	return Keys{Authority: a.pem, Certificate: encodePEM("CERTIFICATE", certDER), Key: encodePEM("PRIVATE KEY", keyDER)}, nil
}

// maxClockSkew is the tolerated clock difference between two VMs.
const maxClockSkew = time.Hour

// certificateTemplate returns the fields that all certificates of a fleet share.
func certificateTemplate(commonName string, notAfter time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    time.Now().Add(-maxClockSkew),
		NotAfter:     notAfter,
	}
}

// encodePEM encodes DER bytes as one PEM block.
func encodePEM(blockType string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}))
}

// UnauthenticatedTLS returns the configuration for daemons on a platform that gives them no
// secrets: connections are encrypted but not authenticated, and the platform's network
// controls access, as for its key-value service.
func UnauthenticatedTLS(daemon string, notAfter time.Time) (*tls.Config, error) {
	authority, err := NewCertificateAuthority(notAfter)
	if err != nil {
		return nil, err
	}
	keys, err := authority.Issue(daemon, notAfter)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := keys.TLS()
	if err != nil {
		return nil, err
	}
	tlsConfig.ClientAuth, tlsConfig.ClientCAs = tls.NoClientCert, nil
	// Each daemon has its own authority, so peers have no common root to verify against.
	tlsConfig.InsecureSkipVerify = true
	return tlsConfig, nil
}
