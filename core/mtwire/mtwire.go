// Package mtwire holds the protobuf messages that daemons exchange and that
// they keep in the platform's store, with the generated code committed so that
// a build needs no generator.
//
// The .proto files name no Go types of their own; the packages of the domain
// convert to and from them. Field numbers are never used again once released:
// values in the store outlive every process.
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
