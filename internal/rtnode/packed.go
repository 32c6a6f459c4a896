package rtnode

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"github.com/rhubarbtally/rhubarbtally/internal/rtconfig"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// packed keeps the document in force in gzip for peers. At the size to design
// for, plain documents alone would take most of the 17 KB/s of a node.
// The zero value is ready to use.
type packed struct {
	mu      sync.Mutex
	version rtid.Version
	body    []byte
}

// of returns the body of a document in gzip.
func (p *packed) of(config rtconfig.Config) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != config.Version {
		p.body = pack(config.Body)
		p.version = config.Version
	}
	return p.body
}

func pack(body []byte) []byte {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	// Writes to a buffer return no error.
	_, _ = writer.Write(body)
	_ = writer.Close()
	return bytes.Clone(buffer.Bytes())
}

// unpack returns what pack was given, at most a document's largest size.
func unpack(body []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("unpack document: %w", err)
	}
	// One byte over the limit lets the checks of the document refuse it.
	plain, err := io.ReadAll(io.LimitReader(reader, int64(rtdocument.MaxSize)+1))
	if err != nil {
		return nil, fmt.Errorf("unpack document: %w", err)
	}
	return plain, nil
}
