// Package rtwire holds the messages that entries and agents exchange.
// The other Go files are generated from peer.proto.
package rtwire

//go:generate sh -c "cd ../.. && go tool -modfile=tools/go.mod buf generate"
