// Package certificate builds TLS configurations from certificate files and reloads the files when they
// change, so that certificates can be renewed without a restart.
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

// Reloader provides the certificate of this process and the certificate authority of the other processes from
// files that may change. It is safe for concurrent use.
type Reloader struct {
	files settings.TLS

	mu          sync.Mutex
	modTimes    [3]time.Time // modification times of the loaded files
	certificate *tls.Certificate
	roots       *x509.CertPool // nil without an authority file
}

// Load reads the files. If a later reload fails, the last valid certificates stay in use, since a file may be
// read while it is being written.
func Load(files settings.TLS) (*Reloader, error) {
	r := &Reloader{files: files}
	if err := r.load(); err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "certificate"), "check the files named in [tls]")
	}
	return r, nil
}

// ServerConfig returns the TLS configuration of a listener. If an authority is configured, clients must
// present a certificate signed by it.
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

// ClientConfig returns the TLS configuration for connections to another process at IP:port. The certificate
// of that process must contain the address and be signed by the authority, or by a root of the system if no
// authority is configured.
func (r *Reloader) ClientConfig(address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{"h2"},
		ServerName:         host,
		InsecureSkipVerify: true, // VerifyConnection verifies against the current authority file
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

// verify checks the certificates of a server as crypto/tls does with fixed roots.
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

// current returns the certificate and the roots after reloading the files if they have changed.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readModTimes() != r.modTimes {
		r.load() //nolint:errcheck // the last valid certificates stay in use
	}
	return r.certificate, r.roots
}

// readModTimes returns the modification times of the files, zero for a file that cannot be read.
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
			return errors.Newf("%s contains no PEM certificate", r.files.Authority)
		}
	}
	r.certificate, r.roots, r.modTimes = &certificate, roots, modTimes
	return nil
}
