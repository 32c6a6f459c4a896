// Command rhubarbtally-entry accepts callers' requests, chooses a target and
// relays the answer.
package main

import (
	"os"

	"github.com/rhubarbtally/rhubarbtally/internal/rtprogram"
)

func main() {
	os.Exit(rtprogram.RunEntry(os.Args[1:], os.Stdout, os.Stderr))
}
