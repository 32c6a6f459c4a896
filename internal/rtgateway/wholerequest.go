package rtgateway

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// wholeRequestBytes is the length of the hash that stands for a whole request.
const wholeRequestBytes = 16

// allParts returns the parts of the prompt and, as the last one, that of the whole
// request.
func (q *request) allParts() []rtid.Part {
	return append(slices.Clip(q.info.Parts), q.wholePart())
}

// wholePart returns the part that stands for the whole request. Requests have the same
// one in all processes if their method, host, path, organisation, body and the shared
// parts of their prompts are the same, whatever their IDs and other headers. It is a
// cryptographic hash, so that no caller can find a request with the part of another
// organisation's request. The first call must precede the return of the body's memory.
func (q *request) wholePart() rtid.Part {
	if q.whole != "" {
		return q.whole
	}
	hash := sha256.New()
	organisation := ""
	if q.organisation != nil {
		organisation = string(q.organisation.Name)
	}
	fields := []string{q.r.Method, q.r.Host, q.r.RequestURI, organisation, strconv.Itoa(len(q.info.Parts))}
	for _, part := range q.info.Parts {
		fields = append(fields, string(part))
	}
	for _, field := range fields {
		// Writes to a hash never fail. Lengths separate the fields.
		_ = binary.Write(hash, binary.BigEndian, uint64(len(field)))
		_, _ = hash.Write([]byte(field))
	}
	for _, piece := range q.body {
		_, _ = hash.Write(piece)
	}
	q.whole = rtid.WholeRequest(hash.Sum(nil)[:wholeRequestBytes])
	return q.whole
}
