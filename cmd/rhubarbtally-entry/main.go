// Command rhubarbtally-entry accepts callers' requests, selects a target for each
// and relays the response.
package main

import (
	"os"

	"github.com/rhubarbtally/rhubarbtally/internal/rtprogram"
)

func main() {
	os.Exit(rtprogram.RunEntry(os.Args[1:], os.Stdout, os.Stderr))
}
