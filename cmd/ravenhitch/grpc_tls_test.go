package main

// This file tests TLS and the health service of the gRPC front.

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

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/config"
	"ravenhitch/internal/grpcfront/edgepb"
	"ravenhitch/internal/testbed"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its private key to files.
func writeCertificate(t *testing.T) (certPath, keyPath string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	certPath, keyPath = filepath.Join(dir, "cert"), filepath.Join(dir, "key")
	for path, block := range map[string]*pem.Block{certPath: {Type: "CERTIFICATE", Bytes: cert}, keyPath: {Type: "PRIVATE KEY", Bytes: private}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certPath, keyPath
}

// With a certificate, the gRPC front accepts only TLS connections. Its health service reports SERVING before
// a shutdown and NOT_SERVING during the shutdown. Offers are still served during the shutdown.
func TestTLSAndHealth(t *testing.T) {
	certPath, keyPath := writeCertificate(t)
	server := startTestServer(t, serverOptions{operators: config.OperatorSettings{GRPCListen: "127.0.0.1:0", GRPCCert: certPath, GRPCKey: keyPath}}, "a")
	creds, err := credentials.NewClientTLSFromFile(certPath, "")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := grpc.NewClient(server.grpcAddr, grpc.WithTransportCredentials(creds))
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, conn)
	client := edgepb.NewOrchestratorClient(conn)
	ctx, cancel := context.WithTimeout(context.Background(), testbed.Timeout)
	defer cancel()
	health := func() healthpb.HealthCheckResponse_ServingStatus {
		response, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
		if err != nil {
			t.Error(err)
		}
		return response.GetStatus()
	}

	binding, err := client.Place(ctx, newOffer(testbed.RequestID(1), "guide-web", "ok-1", 0))
	if err != nil || binding.GetNode() != "a" {
		t.Errorf("offer over TLS: got %v, error %v, want a binding to worker a", binding, err)
	}
	if _, err := server.grpcClient(t).Place(ctx, newOffer(testbed.RequestID(2), "guide-web", "ok-2", 0)); status.Code(err) != codes.Unavailable {
		t.Errorf("offer without TLS: got status %v, want Unavailable", err)
	}
	if status := health(); status != healthpb.HealthCheckResponse_SERVING {
		t.Errorf("health before the shutdown: got %v, want SERVING", status)
	}
	server.Stop()
	server.onLoop(t, func() {})
	if status := health(); status != healthpb.HealthCheckResponse_NOT_SERVING {
		t.Errorf("health during the shutdown: got %v, want NOT_SERVING", status)
	}
	if _, err := client.Place(ctx, newOffer(testbed.RequestID(3), "guide-web", "ok-3", 0)); err != nil {
		t.Errorf("offer during the shutdown: got error %v, want none", err)
	}
}
