package wire

import "google.golang.org/grpc"

const (
	// bufferSize is the size of the read buffer of a connection between processes, and of the write buffer of a client, in
	// bytes. Most messages fit into it; with the 32 KiB of gRPC the buffers of 300 connections are most of the memory of
	// a small VM.
	bufferSize = 4 << 10
	// windowSize is the flow-control window of a stream and of a connection in bytes. A fixed one keeps gRPC from
	// measuring the bandwidth by a ping for each message, which costs as many wake-ups and packets as the message.
	windowSize = 256 << 10
)

// ClientOptions sets small buffers and fixed windows for a client.
func ClientOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithInitialWindowSize(windowSize), grpc.WithInitialConnWindowSize(windowSize),
	}
}

// ServerOptions sets small read buffers and fixed windows for a server. Its write buffers are those of gRPC, which
// connections share and hold only while they write: the state of a large site is 100 KB, and a system call for each 4 KiB
// of it takes a control VM longer than its encoding.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ReadBufferSize(bufferSize), grpc.InitialWindowSize(windowSize), grpc.InitialConnWindowSize(windowSize),
	}
}
