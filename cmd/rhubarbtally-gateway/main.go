// Command rhubarbtally-gateway serves callers on the users' platform.
package main

import (
	"os"

	"github.com/rhubarbtally/rhubarbtally/internal/rtprogram"
)

func main() {
	os.Exit(rtprogram.RunGateway(os.Args[1:], os.Stdout, os.Stderr))
}
