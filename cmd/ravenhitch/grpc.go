package main

// This file owns the gRPC front of the server: its listener, its goroutine and the retry token keys that it
// uses. Package grpcfront submits the requests of clients on the event loop.

import (
	"fmt"
	"net"
	"os"
	"time"

	"ravenhitch/internal/config"
	"ravenhitch/internal/grpcfront"
	"ravenhitch/internal/retrytoken"
)

// storedMessagesPerMB is the number of unacknowledged messages of gRPC sessions per MB of the memory limit. Each takes up to a few
// hundred bytes.
const storedMessagesPerMB = 128

// startGRPC starts the gRPC front, which serves on goroutines of its own until closeGRPC.
func (s *server) startGRPC(cfg config.Config, operators config.OperatorSettings) error {
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
	s.grpcFront.SetLog(s.log)
	s.grpcFront.SetTraceSuffixes(operators.Trace)
	if cfg.MemoryMB > 0 {
		s.grpcFront.SetMaxStored(int(cfg.MemoryMB) * storedMessagesPerMB)
	}
	if s.tokenKeysPath = operators.RetryTokenKeysPath; s.tokenKeysPath != "" {
		keys, err := loadTokenKeys(s.tokenKeysPath)
		if err != nil {
			_ = listener.Close() // the caller gets the error of loadTokenKeys instead
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

// grpcStopped reports whether no gRPC call is served any more. Its first call begins to close the gRPC front, whose open
// calls need the event loop until they have ended. They are aborted grpcFlushUs after drainEnd, a time of the loop.
func (s *server) grpcStopped(drainEnd int64) bool {
	if s.grpcFront == nil {
		return true
	}
	timeout := time.Duration(drainEnd+grpcFlushUs-s.loop.Now()) * time.Microsecond
	s.grpcFront.BeginClose(timeout, func() { s.grpcDone = true })
	return s.grpcDone
}

// closeGRPC stops the gRPC front, aborts the calls that have not ended and waits for its goroutine.
func (s *server) closeGRPC() {
	if s.grpcFront == nil {
		return
	}
	s.grpcFront.Close()
	s.grpcServing.Wait()
}

// loadTokenKeys reads the retry token keys from the file at path.
func loadTokenKeys(path string) (*retrytoken.Keys, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("retry token keys: %w", err)
	}
	return retrytoken.ParseKeys(path, b)
}
