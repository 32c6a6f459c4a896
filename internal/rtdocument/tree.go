package rtdocument

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth bounds the recursion on malicious input. A valid document is nested
// five levels deep.
const maxDepth = 16

// maxValues bounds the memory of the tree. A valid document has fewer values,
// because each takes at least four bytes, such as a string of one letter and a
// comma.
const maxValues = int(MaxSize) / 4

// value is a JSON value with its position. Objects use members, arrays use
// items; for other kinds, scalar is a string, json.Number, bool or nil.
type value struct {
	offset  int64 // of the first byte
	kind    kind
	members []member
	items   []value
	scalar  any
}

type member struct {
	key    string
	offset int64 // of the key
	value  value
}

type kind string

const (
	kindObject kind = "an object"
	kindArray  kind = "an array"
	kindString kind = "a string"
	kindNumber kind = "a number"
	kindBool   kind = "a boolean"
	kindNull   kind = "null"
)

// syntaxError is an error that stops the parser.
type syntaxError struct {
	offset int64
	err    error
}

func (e *syntaxError) Error() string { return e.err.Error() }

// treeParser builds values from tokens. Decoding into a struct would stop at
// the first unknown field and keep the last of two equal keys, but operators
// need all findings of a document at once.
type treeParser struct {
	data    []byte
	decoder *json.Decoder
	values  int // number of values parsed so far
}

func parseTree(data []byte) (value, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	parser := treeParser{data: data, decoder: decoder}
	root, err := parser.value(0)
	if err != nil {
		return value{}, err
	}
	offset := parser.next()
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return value{}, &syntaxError{offset: offset, err: errors.New("text after the end of the document")}
	}
	return root, nil
}

// next returns the offset of the first byte of the next token.
func (p *treeParser) next() int64 {
	offset := p.decoder.InputOffset()
	for offset < int64(len(p.data)) && bytes.IndexByte([]byte(" \t\r\n,:"), p.data[offset]) >= 0 {
		offset++
	}
	return offset
}

func (p *treeParser) token() (json.Token, int64, error) {
	offset := p.next()
	token, err := p.decoder.Token()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, offset, &syntaxError{offset: offset, err: err}
	}
	return token, offset, nil
}

func (p *treeParser) value(depth int) (value, error) {
	token, offset, err := p.token()
	if err != nil {
		return value{}, err
	}
	if p.values++; p.values > maxValues {
		return value{}, &syntaxError{offset: offset, err: fmt.Errorf("more than %d values", maxValues)}
	}
	if depth > maxDepth {
		return value{}, &syntaxError{offset: offset, err: fmt.Errorf("nested more than %d levels deep", maxDepth)}
	}
	result := value{offset: offset, scalar: token}
	switch token := token.(type) {
	case json.Delim:
		result.scalar = nil
		if token == '{' {
			result.kind = kindObject
			return result, p.members(&result, depth+1)
		}
		result.kind = kindArray
		return result, p.items(&result, depth+1)
	case string:
		result.kind = kindString
	case json.Number:
		result.kind = kindNumber
	case bool:
		result.kind = kindBool
	default:
		result.kind = kindNull
	}
	return result, nil
}

func (p *treeParser) members(object *value, depth int) error {
	for p.decoder.More() {
		key, offset, err := p.token()
		if err != nil {
			return err
		}
		child, err := p.value(depth)
		if err != nil {
			return err
		}
		// The decoder returns an error for keys that are not strings.
		name, _ := key.(string)
		object.members = append(object.members, member{key: name, offset: offset, value: child})
	}
	_, _, err := p.token()
	return err
}

func (p *treeParser) items(array *value, depth int) error {
	for p.decoder.More() {
		child, err := p.value(depth)
		if err != nil {
			return err
		}
		array.items = append(array.items, child)
	}
	_, _, err := p.token()
	return err
}
