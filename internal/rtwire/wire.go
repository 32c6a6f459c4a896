// Package rtwire holds the messages that entries and agents exchange, and the digests
// of gateways.
// The other Go files are generated from the .proto files.
package rtwire

//go:generate sh -c "cd ../.. && go tool -modfile=tools/go.mod buf generate"
