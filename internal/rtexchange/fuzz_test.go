package rtexchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
)

// textConn is a connection on which a text is received byte by byte, and then an
// error. Nothing is received before it is needed.
type textConn struct {
	net.Conn
	text []byte
	end  error
	read int
}

func (c *textConn) Read(buffer []byte) (int, error) {
	if c.read == len(c.text) {
		return 0, c.end
	}
	n := copy(buffer[:min(len(buffer), 1)], c.text[c.read:])
	c.read += n
	return n, nil
}

// endsWithConnection reports whether the response has neither a length nor
// chunks.
func (r *Response) endsWithConnection() bool {
	return r.ContentLength() < 0 && len(r.response.TransferEncoding) == 0 && r.response.Body != http.NoBody
}

// exchange reads a response and its body. It returns the number of bytes read
// for the header and for all.
func exchange(text []byte, end error, method string, limit int64) (response *Response, body []byte, head, all int, err error) {
	connection := &textConn{text: text, end: end}
	response, err = newResponseHead(connection).read(connection, method)
	head = connection.read
	if err == nil {
		body, err = response.ReadAll(limit, nil)
	}
	return response, body, head, connection.read, err
}

// Guards against a response that makes this process panic or read more than its
// limits, and against one that was cut off or reset and counts as complete.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1",
		"HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\nid: 2\n\n",
		"HTTP/1.0 200 OK\r\n\r\nid: 1\r\n\r\nid: 2",
		"HTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 204 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 042 x\nContent-Length: 2\n\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, text []byte, isHead bool) {
		const limit = 1000
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		response, body, head, all, err := exchange(text, io.EOF, method, limit)
		if head > maxHeadSize || len(body) > limit {
			t.Errorf("read a header of %d bytes and a body of %d", head, len(body))
		}
		if err != nil {
			return
		}
		if length := response.ContentLength(); !isHead && length > 0 && int64(len(body)) != length {
			t.Errorf("complete with %d bytes, announced %d", len(body), length)
		}
		// A response that ends with its connection uses the whole text.
		if _, _, _, _, err := exchange(text, syscall.ECONNRESET, method, limit); err == nil && response.endsWithConnection() {
			t.Error("complete after a reset")
		}
		if _, _, _, _, err := exchange(text[:all-1], io.EOF, method, limit); err == nil && !response.endsWithConnection() {
			t.Errorf("complete without its last byte, %q", text[all-1])
		}
	})
}

// Guards against events that are not the bytes of the stream, and against a
// stream that was broken off inside an event and counts as complete.
func FuzzEvents(f *testing.F) {
	for _, text := range []string{"", "id: 1\ndata: a\n\nid: 2\n\n", "id: 1\r\n\r\nid: 2", "\n\n\r\r\n:\n", "id: 1\n\r\nid"} {
		f.Add([]byte(text), uint16(16))
	}
	f.Fuzz(func(t *testing.T, text []byte, bufferSize uint16) {
		response := &Response{Body: bufio.NewReaderSize(bytes.NewReader(text), int(bufferSize))}
		var events []byte
		for {
			buffered := response.EventBuffered()
			event, err := response.NextEvent(nil)
			// A complete event with a line that is no field of one is an error, too.
			if buffered && err != nil && !errors.Is(err, errNotAnEvent) {
				t.Fatalf("an event was buffered, got error %v", err)
			}
			if err != nil {
				whole := len(text) == 0 || bytes.HasSuffix(events, []byte("\n")) && len(events) == len(text)
				if errors.Is(err, io.EOF) != whole {
					t.Errorf("got error %v after %d of %d bytes", err, len(events), len(text))
				}
				return
			}
			events = append(events, event.Bytes...)
			if len(event.Bytes) > maxEventSize || !bytes.HasPrefix(text, events) {
				t.Fatalf("event %q is not a part of the stream", event.Bytes)
			}
		}
	})
}
