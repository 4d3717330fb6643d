package grpcfront

// This file owns the end of the watches of the health service. The service itself never ends a watch, and a server that
// waits for its calls to end would wait for the client.

import (
	"context"

	"google.golang.org/grpc"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
)

// endWatchAtClose is a grpc.StreamServerInterceptor that ends a watch with errShutdown when the front begins to close.
func (f *Front) endWatchAtClose(service any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if info.FullMethod != healthpb.Health_Watch_FullMethodName {
		return handler(service, stream)
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	defer context.AfterFunc(f.closed, cancel)()
	err := handler(service, streamWithContext{stream, ctx})
	if f.closed.Err() != nil && stream.Context().Err() == nil {
		return errShutdown
	}
	return err
}

// streamWithContext is a stream with another context than its own.
type streamWithContext struct {
	grpc.ServerStream
	ctx context.Context
}

// Context implements grpc.ServerStream.
func (s streamWithContext) Context() context.Context { return s.ctx }
