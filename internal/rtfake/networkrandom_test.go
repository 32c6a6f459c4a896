package rtfake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// randomFault sets one fault between hosts A and B, or ends all faults.
func randomFault(network *Network, random *rand.Rand) {
	switch random.IntN(7) {
	case 0:
		network.Cut(hostA, hostB)
	case 1:
		network.CutAfter(hostA, hostB, random.Int64N(1000))
	case 2:
		network.Isolate(hostB)
	case 3:
		network.Freeze(hostA)
	case 4:
		network.Freeze(hostB)
	case 5:
		network.SetLatency(hostA, hostB, Latency{Jitter: 20 * time.Millisecond, Loss: 0.1})
	default:
		endFaults(network)
	}
}

func endFaults(network *Network) {
	network.Heal(hostA, hostB)
	network.Rejoin(hostB)
	network.Thaw(hostA)
	network.Thaw(hostB)
}

// faultsUntil changes faults at random times until the context ends, and then
// ends them all.
func faultsUntil(t *testing.T, network *Network, random *rand.Rand) *rttask.Task {
	t.Helper()
	return rttask.Start(t.Context(), "faults", func(ctx context.Context) error {
		defer endFaults(network)
		for sleep(ctx, time.Duration(random.IntN(50))*time.Millisecond) == nil {
			randomFault(network, random)
		}
		return nil
	})
}

// Guards against bytes that are lost, duplicated or reordered by a sequence of
// faults.
func TestRandomFaultsKeepBytes(t *testing.T) {
	for seed := range uint64(15) {
		bubble(t, func(t *testing.T, network *Network) {
			client, server := connect(t, network)
			random := rand.New(rand.NewPCG(seed, 0))
			sent := make([]byte, 2*maxInFlight)
			for i := range sent {
				sent[i] = byte(random.Uint32())
			}
			faults := faultsUntil(t, network, rand.New(rand.NewPCG(seed, 1)))
			writer := rttask.Start(t.Context(), "writer", func(context.Context) error {
				for rest := sent; len(rest) > 0; {
					n, err := client.Write(rest[:min(len(rest), 1+random.IntN(2000))])
					if err != nil {
						return err
					}
					rest = rest[n:]
				}
				return client.Close()
			})
			stopped := time.AfterFunc(10*time.Second, func() { _ = faults.Stop() })
			defer stopped.Stop()
			received := readWithDeadlines(t, server)
			if err := <-writer.Done(); err != nil || !bytes.Equal(received, sent) {
				t.Errorf("seed %d: got %d bytes, error %v, want the %d bytes sent", seed, len(received), err, len(sent))
			}
		})
	}
}

// readWithDeadlines reads to the end with a new read deadline for each read,
// some of which expire.
func readWithDeadlines(t *testing.T, conn net.Conn) []byte {
	t.Helper()
	var received []byte
	buffer := make([]byte, 700)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(7 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, err := conn.Read(buffer)
		received = append(received, buffer[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			return received
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			t.Fatal(err)
		}
	}
}

// Guards against HTTP requests that get the answer to another request, or that
// hang after all faults have ended.
func TestRandomFaultsUnderHTTP(t *testing.T) {
	for seed := range uint64(10) {
		bubble(t, func(t *testing.T, network *Network) {
			network.DefaultLatency = func(string, string) Latency { return Latency{Base: time.Millisecond} }
			serveB(t, network, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, r.URL.Path)
			}))
			client := rtnet.Client(network.Host(hostA))
			client.Timeout = 100 * time.Millisecond
			faults := faultsUntil(t, network, rand.New(rand.NewPCG(seed, 1)))
			answers := 0
			for i := range 300 {
				if sendRequest(t, client, fmt.Sprintf("/%d", i)) {
					answers++
				}
			}
			if err := faults.Stop(); err != nil {
				t.Fatal(err)
			}
			network.SetLatency(hostA, hostB, Latency{})
			if answers == 0 || answers == 300 || !sendRequest(t, client, "/last") {
				t.Errorf("seed %d: %d of 300 requests answered during the faults, want some but not all, and an answer after them", seed, answers)
			}
		})
	}
}

// sendRequest reports whether a request was answered, and checks the answer.
func sendRequest(t *testing.T, client *http.Client, path string) bool {
	t.Helper()
	response, err := client.Get("http://" + string(portB) + path)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && string(body) != path {
		t.Errorf("got %q, want %q", body, path)
	}
	return err == nil
}
