package controlvm_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/certificate"
	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/settings"
)

// selfSigned writes a self-signed certificate for the loopback address.
func selfSigned(t *testing.T) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")}, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	require.NoError(t, err)
	secret, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	folder := t.TempDir()
	own, private := filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	require.NoError(t, os.WriteFile(own, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600))
	require.NoError(t, os.WriteFile(private, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}), 0o600))
	return settings.TLS{Certificate: own, Key: private, Authority: own}
}

// Guards against voters that cannot connect to each other over TLS, and against accepting clients without a
// certificate.
func TestTLS(t *testing.T) {
	files := selfSigned(t)
	vms := newTestVMs(t, 3)
	for _, s := range vms {
		s.options.TLS = files
	}
	startAll(vms)
	pair, err := certificate.Load(files)
	require.NoError(t, err)
	c := controlvm.NewClient(addresses(vms), pair)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	accept(t, ctx, c, "one", 0)

	plain, _ := client(t, vms...)
	limited, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	_, err = plain.Status(limited)
	require.Error(t, err)
}
