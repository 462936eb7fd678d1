package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/radishgate/radishgate/common/counted"
	"github.com/radishgate/radishgate/peer/wire"
)

// testCA signs certificates for tests.
type testCA struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestCA(t *testing.T, name string) *testCA {
	t.Helper()
	a := &testCA{t: t, dir: t.TempDir()}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(der)
	a.writePEM("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *testCA) writePEM(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// tlsConfig makes the configuration of an entry with a certificate of this CA.
func (a *testCA) tlsConfig(name string) *tls.Config {
	a.t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, _ := x509.MarshalECPrivateKey(key)
	config, err := NewTLSConfig(a.writePEM(name+".pem", "CERTIFICATE", der), a.writePEM(name+".key", "EC PRIVATE KEY", keyDER), filepath.Join(a.dir, "authority.pem"))
	if err != nil {
		a.t.Fatal(err)
	}
	return config
}

func serveTLS(t *testing.T, tlsConfig *tls.Config) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: (&Server{OnHeartbeat: func(b *wire.Beat) *wire.Beat { return b }}).Handler(), TLSConfig: tlsConfig}
	go func() { _ = server.ServeTLS(listener, "", "") }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// A connection fails unless both ends present a certificate of the same CA.
func TestConnectionNeedsCertificatesOfSameCA(t *testing.T) {
	ourCA, otherCA := newTestCA(t, "ours"), newTestCA(t, "others")
	ourServer, otherServer := serveTLS(t, ourCA.tlsConfig("server")), serveTLS(t, otherCA.tlsConfig("server"))
	noCertificate := ourCA.tlsConfig("bare")
	noCertificate.Certificates = nil
	tests := []struct {
		name   string
		keys   *tls.Config
		server string
		passes bool
	}{
		{"both of the same CA", ourCA.tlsConfig("client"), ourServer, true},
		{"client of another CA", otherCA.tlsConfig("client"), ourServer, false},
		{"server of another CA", ourCA.tlsConfig("client"), otherServer, false},
		{"client without a certificate", noCertificate, ourServer, false},
		{"client without TLS", nil, ourServer, false},
	}
	for _, test := range tests {
		c := NewClient(test.keys, &counted.Counter{}, nil)
		_, err := c.SendHeartbeat(context.Background(), test.server, &wire.Beat{})
		if (err == nil) != test.passes {
			t.Errorf("%s: %v", test.name, err)
		}
		c.Close()
	}
}

// An unusable TLS file is reported with its name.
func TestTLSErrorNamesFile(t *testing.T) {
	a := newTestCA(t, "ours")
	a.tlsConfig("x")
	at := func(name string) string { return filepath.Join(a.dir, name) }
	for _, files := range [][3]string{
		{at("none.pem"), at("x.key"), at("authority.pem")}, {at("x.pem"), at("x.key"), at("none.pem")}, {at("x.pem"), at("x.key"), at("x.key")},
	} {
		var failure *TLSFileError
		if _, err := NewTLSConfig(files[0], files[1], files[2]); !errors.As(err, &failure) || failure.File == "" {
			t.Errorf("%v: %v", files, err)
		}
	}
}
