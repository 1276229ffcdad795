package wire

import "google.golang.org/grpc"

// bufferSize is the size of the read and write buffers of a connection between processes in bytes. Most messages fit into
// it; with the 32 KiB of gRPC the buffers of 300 connections are most of the memory of a small VM.
const bufferSize = 4 << 10

// ClientBuffers sets small buffers for a client.
func ClientBuffers() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize)}
}

// ServerBuffers sets small buffers for a server.
func ServerBuffers() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize)}
}
