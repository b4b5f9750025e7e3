package mtcall

import (
	"bytes"
	"io"
)

// Body is the content of a request or an answer, in segments: a large one is never copied into one
// piece. Its segments are shared and must not be modified.
type Body [][]byte

// SegmentSize is the size in bytes of the segments in which large bodies are read. A message between
// daemons with one of them fits a buffer of 32 KiB.
const SegmentSize = 32<<10 - 128

// BodyOf returns a body of one segment, or an empty one.
func BodyOf(content []byte) Body {
	if len(content) == 0 {
		return nil
	}
	return Body{content}
}

// Len returns the size of the body in bytes.
func (b Body) Len() int {
	n := 0
	for _, segment := range b {
		n += len(segment)
	}
	return n
}

// Reader returns a reader of the body.
func (b Body) Reader() io.Reader {
	readers := make([]io.Reader, 0, len(b))
	for _, segment := range b {
		readers = append(readers, bytes.NewReader(segment))
	}
	return io.MultiReader(readers...)
}

// Bytes returns the body in one piece, which is a copy if it has several segments.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}
