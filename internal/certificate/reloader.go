// Package certificate makes TLS configurations from certificate files that are read again when they
// change, so that certificates are renewed without a restart.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/settings"
)

// Reloader is the certificate of a process and the authority of the others. It is safe for concurrent use.
type Reloader struct {
	files settings.TLS

	mu      sync.Mutex
	stamps  [3]time.Time // modification times of the files loaded
	own     *tls.Certificate
	trusted *x509.CertPool // nil without an authority file
}

// Load reads the files. Later reads that fail keep the last good files in use, since a file may be
// seen half written.
func Load(files settings.TLS) (*Reloader, error) {
	p := &Reloader{files: files}
	if err := p.load(); err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "certificate"), "check the files named in [tls]")
	}
	return p, nil
}

// ServerConfig returns the configuration of a listener. With an authority, callers must present a
// certificate that it signed.
func (p *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		own, trusted := p.current()
		c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*own}, NextProtos: []string{"h2"}}
		if trusted != nil {
			c.ClientCAs = trusted
			c.ClientAuth = tls.RequireAndVerifyClientCert
		}
		return c, nil
	}}
}

// ClientConfig returns the configuration for connections to another process at IP:port. Its certificate
// must be signed by the authority, or by the system's ones if none is named, and carry the address.
func (p *Reloader) ClientConfig(address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{"h2"},
		ServerName:         host,
		InsecureSkipVerify: true, // VerifyConnection verifies against the authority file as it is now
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			own, _ := p.current()
			return own, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, trusted := p.current()
			return verify(state, trusted, host)
		},
	}
}

// verify checks a server's certificates as crypto/tls would with fixed roots.
func verify(state tls.ConnectionState, roots *x509.CertPool, host string) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("certificate: the server presented none")
	}
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: between, DNSName: host})
	return errors.WithHint(errors.Wrapf(err, "certificate: of %s", host), "issue a certificate with the IP address of that VM, signed by the authority")
}

// current returns the files in use after looking for newer ones.
func (p *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.read() != p.stamps {
		p.load() //nolint:errcheck // the last good files stay in use
	}
	return p.own, p.trusted
}

// read returns the modification times of the files.
func (p *Reloader) read() [3]time.Time {
	var stamps [3]time.Time
	for i, name := range []string{p.files.Certificate, p.files.Key, p.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func (p *Reloader) load() error {
	stamps := p.read()
	own, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return err
	}
	var trusted *x509.CertPool
	if p.files.Authority != "" {
		text, err := os.ReadFile(p.files.Authority)
		if err != nil {
			return err
		}
		trusted = x509.NewCertPool()
		if !trusted.AppendCertsFromPEM(text) {
			return errors.Newf("%s holds no PEM certificate", p.files.Authority)
		}
	}
	p.own, p.trusted, p.stamps = &own, trusted, stamps
	return nil
}
