package main

// This file owns the gRPC front of the server: its listener, its goroutine, and the retry token keys
// that it is given. What clients ask for is submitted on the event loop by package grpcfront.

import (
	"fmt"
	"net"
	"os"

	"ravenhitch/internal/config"
	"ravenhitch/internal/grpcfront"
	"ravenhitch/internal/retrytoken"
)

// startGRPC serves the gRPC front on goroutines of its own, until closeGRPC.
func (s *server) startGRPC(operators config.OperatorSettings) error {
	creds, err := grpcfront.Credentials(operators.GRPCCert, operators.GRPCKey)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", operators.GRPCListen)
	if err != nil {
		return fmt.Errorf("grpc: %w", err)
	}
	s.grpcAddr = listener.Addr().String()
	s.grpcFront = grpcfront.New(s.loop, s.dispatcher, creds)
	if s.tokenKeysPath = operators.RetryTokenKeys; s.tokenKeysPath != "" {
		keys, err := loadTokenKeys(s.tokenKeysPath)
		if err != nil {
			_ = listener.Close() // the keys' error is the one to report
			return err
		}
		s.grpcFront.SetKeys(keys)
	}
	s.grpcServing.Go(func() {
		if err := s.grpcFront.Serve(listener); err != nil {
			s.log.Error("gRPC server failed", "err", err)
		}
	})
	return nil
}

// closeGRPC ends the gRPC front and waits for its goroutine. The event loop must have ended.
func (s *server) closeGRPC() {
	if s.grpcFront == nil {
		return
	}
	s.grpcFront.Close()
	s.grpcServing.Wait()
}

// loadTokenKeys reads the file of the retry token keys.
func loadTokenKeys(path string) (*retrytoken.Keys, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("retry token keys: %w", err)
	}
	return retrytoken.ParseKeys(path, b)
}
