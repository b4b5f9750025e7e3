// Package mtwire contains the protobuf messages that daemons exchange and store in
// the platform's store. The generated code is committed, so that a build needs no
// generator.
//
// The messages are used for encoding only; the packages that work with the data
// define their own Go types and convert to and from the messages. Field numbers
// are never reused once released, because values in the store outlive every
// process.
//
// # Usage
//
// After a change to a .proto file run
//
//	go generate ./core/mtwire
//
// with protoc 3.21, protoc-gen-go v1.36.12 and protoc-gen-go-grpc v1.6.2.
package mtwire

//go:generate sh -c "protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative *.proto"
