package rtexchange

import (
	"net/http"
	"slices"
)

// Framing is how a response says where its body ends.
type Framing int

// The framings. The comments are the texts of String.
const (
	// ByLength is a body of an announced length, which may be 0, or none as after HEAD.
	ByLength Framing = iota // length
	// ByChunks is a body in chunks, the last of which is empty.
	ByChunks // chunks
	// ByConnection is a body that ends with its connection. A process that is killed
	// ends its connections in order, too, so such an end does not prove that the body
	// is complete.
	ByConnection // connection
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Framing -linecomment

// Framing returns how the response says where its body ends.
func (r *Response) Framing() Framing {
	switch {
	case slices.Contains(r.response.TransferEncoding, "chunked"):
		return ByChunks
	case r.response.ContentLength >= 0, r.response.Body == http.NoBody:
		return ByLength
	default:
		return ByConnection
	}
}
