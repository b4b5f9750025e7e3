package mtforward

import (
	"context"
	"slices"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/protobuf/proto"
)

// minCompressed is the size in bytes from which a reply with changes is compressed. Compressing
// smaller ones costs more processor time than the link gains.
const minCompressed = 32 << 10

// compressionLevel is the fastest one: a daemon may send the same changes to all daemons of its
// availability zone.
const compressionLevel = 1

func init() {
	if err := gzip.SetLevel(compressionLevel); err != nil {
		panic(err) // the level is a constant
	}
}

// compressLarge makes the reply to a call compressed if it is large and the client can read that.
// A client of an earlier release can't.
func compressLarge(ctx context.Context, reply proto.Message) {
	if proto.Size(reply) < minCompressed {
		return
	}
	if supported, err := grpc.ClientSupportedCompressors(ctx); err != nil || !slices.Contains(supported, gzip.Name) {
		return
	}
	_ = grpc.SetSendCompressor(ctx, gzip.Name) // otherwise it is sent as it is
}
