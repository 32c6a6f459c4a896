// Command rhubarbtally-agent is the sidecar process beside one target and the
// only path to it.
package main

import (
	"os"

	"github.com/rhubarbtally/rhubarbtally/internal/rtprogram"
)

func main() {
	os.Exit(rtprogram.RunAgent(os.Args[1:], os.Stdout, os.Stderr))
}
