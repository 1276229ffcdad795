// Package wire holds the protobuf messages and gRPC services between the processes of the system.
// The code is generated from the .proto files beside it.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative control.proto voter.proto forward.proto
