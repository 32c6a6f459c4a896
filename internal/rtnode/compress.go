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

// compressedDocument caches the document in force in gzip format for peers. At
// the design size, uncompressed documents alone would take most of a node's
// budget of 17 KB/s for control traffic. The zero value is ready to use.
type compressedDocument struct {
	mu      sync.Mutex
	version rtid.Version
	body    []byte
}

// bodyOf returns the compressed body of a document.
func (c *compressedDocument) bodyOf(config rtconfig.Config) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != config.Version {
		c.body = compress(config.Body)
		c.version = config.Version
	}
	return c.body
}

func compress(body []byte) []byte {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	// Writes to a buffer return no error.
	_, _ = writer.Write(body)
	_ = writer.Close()
	return bytes.Clone(buffer.Bytes())
}

// decompress reverses compress. It reads at most one byte more than the largest
// size of a document.
func decompress(body []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	// With one byte over the limit, the checks refuse an oversized document.
	plain, err := io.ReadAll(io.LimitReader(reader, int64(rtdocument.MaxSize)+1))
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	return plain, nil
}
