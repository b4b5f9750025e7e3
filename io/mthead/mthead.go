// Package mthead reads the heads of HTTP/1.x messages from connections, so that they can be checked before
// they are parsed.
//
// # Usage
//
//	head, reader, err := mthead.Await(reader, connection, 64<<10)
//	err = mthead.CheckResponse(head) // of core/mthead
//	response, err := http.ReadResponse(reader, request)
package mthead

import (
	"bufio"
	"bytes"
	"io"

	"magnoliaturn/core/mthead"
)

// Await waits for the head of a message on r, whose bytes come from source, and returns it without consuming
// it, until the next read. The reader that it returns goes on where r does, with a larger buffer if the head needs
// it. It fails with bufio.ErrBufferFull if the head exceeds a limit in bytes, and with io.ErrUnexpectedEOF if it
// breaks off.
func Await(r *bufio.Reader, source io.Reader, limit int) ([]byte, *bufio.Reader, error) {
	for searched := 0; ; {
		if searched == r.Size() {
			r = enlarge(r, source, limit)
		}
		if _, err := r.Peek(searched + 1); err == io.EOF && searched > 0 {
			return nil, r, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, r, err
		}
		received, _ := r.Peek(r.Buffered())
		if size := mthead.End(received, searched); size > 0 {
			return received[:size], r, nil
		}
		searched = len(received)
	}
}

// enlarge returns a reader with a buffer of at least size bytes that begins with what r has buffered.
func enlarge(r *bufio.Reader, source io.Reader, size int) *bufio.Reader {
	if size <= r.Size() {
		return r
	}
	buffered, _ := r.Peek(r.Buffered())
	return bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), source), size)
}
