// Package rtwire holds the messages between the system's processes.
// peer.proto is the source of the generated code.
package rtwire

//go:generate sh -c "cd ../.. && go tool -modfile=tools/go.mod buf generate"
