// Command rhubarbtally-agent is the sidecar process of one target. All requests
// to the target go through it.
package main

import (
	"os"

	"github.com/rhubarbtally/rhubarbtally/internal/rtprogram"
)

func main() {
	os.Exit(rtprogram.RunAgent(os.Args[1:], os.Stdout, os.Stderr))
}
