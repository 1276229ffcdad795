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

	mu          sync.Mutex
	modTimes    [3]time.Time // modification times of the files loaded
	certificate *tls.Certificate
	roots       *x509.CertPool // nil without an authority file
}

// Load reads the files. Later reads that fail keep the last good files in use, since a file may be
// seen half written.
func Load(files settings.TLS) (*Reloader, error) {
	r := &Reloader{files: files}
	if err := r.load(); err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "certificate"), "check the files named in [tls]")
	}
	return r, nil
}

// ServerConfig returns the configuration of a listener. With an authority, callers must present a
// certificate that it signed.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		certificate, roots := r.current()
		c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate}, NextProtos: []string{"h2"}}
		if roots != nil {
			c.ClientCAs = roots
			c.ClientAuth = tls.RequireAndVerifyClientCert
		}
		return c, nil
	}}
}

// ClientConfig returns the configuration for connections to another process at IP:port. Its certificate
// must be signed by the authority, or by the system's ones if none is named, and carry the address.
func (r *Reloader) ClientConfig(address string) *tls.Config {
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
			certificate, _ := r.current()
			return certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, roots := r.current()
			return verify(state, roots, host)
		},
	}
}

// verify checks a server's certificates as crypto/tls would with fixed roots.
func verify(state tls.ConnectionState, roots *x509.CertPool, host string) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("certificate: the server presented none")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, DNSName: host})
	return errors.WithHint(errors.Wrapf(err, "certificate: of %s", host), "issue a certificate with the IP address of that VM, signed by the authority")
}

// current returns the files in use after looking for newer ones.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readModTimes() != r.modTimes {
		r.load() //nolint:errcheck // the last good files stay in use
	}
	return r.certificate, r.roots
}

// readModTimes returns the modification times of the files.
func (r *Reloader) readModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, name := range []string{r.files.Certificate, r.files.Key, r.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

func (r *Reloader) load() error {
	modTimes := r.readModTimes()
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return err
	}
	var roots *x509.CertPool
	if r.files.Authority != "" {
		text, err := os.ReadFile(r.files.Authority)
		if err != nil {
			return err
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(text) {
			return errors.Newf("%s holds no PEM certificate", r.files.Authority)
		}
	}
	r.certificate, r.roots, r.modTimes = &certificate, roots, modTimes
	return nil
}
