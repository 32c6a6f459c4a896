package rtfake

import (
	"bytes"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// vocabulary holds the tokens that fake engines generate.
var vocabulary = [...]string{
	"the ", "court ", "finds ", "that ", "order ", "of ", "service ", "and ",
	"witness ", "said ", "on ", "page ", "in ", "a ", "record ", "was ",
	"read ", "at ", "noon, ", "then ", "hymn ", "for ", "all ", "to ",
	"sing. ", "it ", "is ", "noted ", "by ", "clerk ", "as ", "filed. ",
}

// Answer returns the whole answer of a fake engine to a prompt, so that tests
// can check every byte that a caller received.
func Answer(prompt []byte, output rtid.Tokens) string {
	seed := xxhash.Sum64(prompt)
	var text strings.Builder
	for index := range output {
		text.WriteString(token(seed, index))
	}
	return text.String()
}

// token returns the token at index of the answer to a prompt. The seed is the
// hash of the prompt.
func token(seed uint64, index rtid.Tokens) string {
	// The finalizer of SplitMix64 gives neighbouring indexes unrelated values.
	x := seed + uint64(index)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return vocabulary[(x^x>>31)%uint64(len(vocabulary))]
}

// resumeAfter returns the index of the first token after prefix, and the
// remainder of the token inside which prefix ends. It returns false if the
// answer does not begin with prefix.
func resumeAfter(seed uint64, output rtid.Tokens, prefix []byte) (next rtid.Tokens, rest string, ok bool) {
	for len(prefix) > 0 {
		if next == output {
			return 0, "", false
		}
		text := token(seed, next)
		next++
		if common := min(len(text), len(prefix)); !bytes.Equal(prefix[:common], []byte(text[:common])) {
			return 0, "", false
		} else if common < len(text) {
			return next, text[common:], true
		}
		prefix = prefix[len(text):]
	}
	return next, "", true
}
