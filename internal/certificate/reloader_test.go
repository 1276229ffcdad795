package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/certificate"
	"fireflyrudder.example/fireflyrudder/internal/settings"
)

// authority is a certificate authority for tests.
type authority struct {
	t      *testing.T
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	serial int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	return a
}

// issue creates a certificate for an IP address and writes the certificate, key and authority files.
func (a *authority) issue(folder, ip string) settings.TLS {
	a.serial++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(100 + a.serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	own, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	root, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	require.NoError(a.t, err)
	secret, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	files := settings.TLS{
		Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), Authority: filepath.Join(folder, "ca.pem"),
	}
	a.write(files.Certificate, "CERTIFICATE", own)
	a.write(files.Key, "EC PRIVATE KEY", secret)
	a.write(files.Authority, "CERTIFICATE", root)
	return files
}

func (a *authority) write(file, kind string, content []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	require.NoError(a.t, os.WriteFile(file, text, 0o600))
	// Some file systems have coarse modification times; distinct times ensure that the file is reloaded.
	modTime := time.Now().Add(time.Duration(a.serial) * time.Second)
	require.NoError(a.t, os.Chtimes(file, modTime, modTime))
}

// handshake performs a TLS handshake and returns the serial number of the server certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer l.Close()
	refused := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			err = c.(*tls.Conn).Handshake()
			c.Close()
		}
		refused <- err
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-refused
}

// Guards against a renewed certificate that takes effect only after a restart, against a partially written
// file that breaks TLS, and against accepting certificates of another authority.
func TestReload(t *testing.T) {
	folder := t.TempDir()
	a := newAuthority(t)
	reloader, err := certificate.Load(a.issue(folder, "127.0.0.1"))
	require.NoError(t, err)
	serial, err := handshake(t, reloader.ServerConfig(), reloader.ClientConfig("127.0.0.1:1"))
	require.NoError(t, err)
	require.EqualValues(t, 101, serial)

	files := a.issue(folder, "127.0.0.1")
	serial, err = handshake(t, reloader.ServerConfig(), reloader.ClientConfig("127.0.0.1:1"))
	require.NoError(t, err)
	require.EqualValues(t, 102, serial)

	require.NoError(t, os.WriteFile(files.Key, []byte("half"), 0o600))
	serial, err = handshake(t, reloader.ServerConfig(), reloader.ClientConfig("127.0.0.1:1"))
	require.NoError(t, err)
	require.EqualValues(t, 102, serial)

	a.issue(folder, "127.0.0.1")
	_, err = handshake(t, reloader.ServerConfig(), reloader.ClientConfig("127.0.0.2:1"))
	require.ErrorContains(t, err, "127.0.0.2", "the certificate belongs to another VM")
	stranger, err := certificate.Load(newAuthority(t).issue(t.TempDir(), "127.0.0.1"))
	require.NoError(t, err)
	_, err = handshake(t, stranger.ServerConfig(), reloader.ClientConfig("127.0.0.1:1"))
	require.Error(t, err)
	unverified := stranger.ClientConfig("127.0.0.1:1")
	unverified.VerifyConnection = nil
	_, err = handshake(t, reloader.ServerConfig(), unverified)
	require.Error(t, err)
	require.NoError(t, os.WriteFile(files.Authority, nil, 0o600))
	_, err = certificate.Load(files)
	require.Error(t, err)
}
