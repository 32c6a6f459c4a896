package rtexchange

import (
	"errors"
	"io"
	"net"
	"time"
)

// bodyReader reads the body of a response. The end of the connection is an end of the
// body only if the target had received the whole request: a target that closes before
// that has failed, or has refused the rest of the request, whatever the status says.
type bodyReader struct {
	reader   io.Reader
	response *Response
}

// Read implements io.Reader.
func (b *bodyReader) Read(buffer []byte) (int, error) {
	n, err := b.reader.Read(buffer)
	if errors.Is(err, io.EOF) && b.response.Framing() == ByConnection && !b.response.requestReceived() {
		err = ErrUnread
	}
	return n, err
}

// requestReceived reports whether the request was written and, as far as the network
// tells, received. It is called after the end of the connection, and ends the write.
//
// An end in order proves nothing about the request: the kernel reports a reset only once,
// so if the writer of the request gets the error, the reader gets an end in order. And the
// kernel takes up to some megabytes of a request that its target never receives.
func (r *Response) requestReceived() bool {
	// A write that has handed all bytes to the kernel returns without an error even if its
	// goroutine runs only now; one that waits for the target ends with an error.
	if err := r.connection.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		_ = r.connection.Close() // ends a write as well; nothing more is received
	}
	if r.writeTask.Stop() != nil {
		return false
	}
	return unacknowledged(r.connection) == 0
}

// unacknowledged returns the number of bytes that were written to a connection and that
// its peer has not acknowledged, or 0 if the connection cannot tell. A peer that closes
// in order acknowledges at the same time what it has received.
func unacknowledged(connection net.Conn) int {
	if tcp, ok := connection.(*net.TCPConn); ok {
		return unacknowledgedTCP(tcp)
	}
	return 0
}
