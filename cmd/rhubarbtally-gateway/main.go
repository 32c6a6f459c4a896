// Command rhubarbtally-gateway serves callers on the users' platform and sends
// their requests directly to targets.
package main

import (
	"os"

	"github.com/rhubarbtally/rhubarbtally/internal/rtprogram"
)

func main() {
	os.Exit(rtprogram.RunGateway(os.Args[1:], os.Stdout, os.Stderr))
}
