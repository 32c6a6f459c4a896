// Command rhubarbtally is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcommand"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdemo"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := rtcommand.Program{Stdout: os.Stdout, Stderr: os.Stderr, Demo: rtdemo.Run}
	return program.Run(ctx, os.Args[1:])
}
