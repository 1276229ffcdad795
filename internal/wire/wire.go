// Package wire contains the protobuf messages and gRPC services that the processes of the system use to
// communicate. The code is generated from the .proto files in this folder.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative control.proto voter.proto forward.proto
