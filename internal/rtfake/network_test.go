package rtfake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

const (
	hostA = "10.0.0.1"
	hostB = "10.0.0.2"
	portB = rtid.Address(hostB + ":80")
)

// bubble runs a test in virtual time with a network of its own.
func bubble(t *testing.T, test func(t *testing.T, network *Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &Network{Seed: 1}
		t.Cleanup(network.Close)
		test(t, network)
	})
}

// serveB serves a handler at host B until the test ends.
func serveB(t *testing.T, network *Network, handler http.Handler) {
	t.Helper()
	serveAt(t, network, portB, handler)
}

func serveAt(t *testing.T, network *Network, address rtid.Address, handler http.Handler) {
	t.Helper()
	listener, err := network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	task := rttask.Start(t.Context(), "serve", func(ctx context.Context) error {
		return Serve(ctx, listener, handler)
	})
	t.Cleanup(func() {
		if err := task.Stop(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
}

// connect returns both endpoints of a connection from host A to host B.
func connect(t *testing.T, network *Network) (client, server net.Conn) {
	t.Helper()
	listener, err := network.Listen(portB)
	if err != nil {
		t.Fatal(err)
	}
	client, err = network.Host(hostA).Dial(t.Context(), portB)
	if err != nil {
		t.Fatal(err)
	}
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return client, server
}

// readForOneSecond returns the bytes that arrive within one second.
func readForOneSecond(t *testing.T, conn net.Conn) string {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if _, err := io.Copy(&text, conn); err != nil {
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Fatal(err)
		}
	}
	return text.String()
}

func writeAll(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// Guards against a network on which HTTP servers and clients deadlock.
func TestNetworkServesHTTP(t *testing.T) {
	bubble(t, func(t *testing.T, network *Network) {
		network.DefaultLatency = func(string, string) Latency {
			return Latency{Base: 2 * time.Millisecond, Jitter: time.Millisecond}
		}
		serveB(t, network, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Error(err)
			}
			_, _ = w.Write(body)
		}))
		client := rtnet.Client(network.Host(hostA))
		sent := strings.Repeat("x", 3*maxInFlight)
		for range 3 {
			response, err := client.Post("http://"+string(portB), "text/plain", strings.NewReader(sent))
			if err != nil {
				t.Fatal(err)
			}
			received, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || string(received) != sent {
				t.Fatalf("got %d bytes, error %v, want %d", len(received), err, len(sent))
			}
		}
		if got := network.Connections(hostA); got != 1 {
			t.Errorf("client uses %d connections for sequential requests, want 1", got)
		}
	})
}

// Guards against cuts and freezes that lose, duplicate or reorder bytes.
func TestFaultsHoldBytes(t *testing.T) {
	tests := []struct {
		name  string
		begin func(*Network)
		end   func(*Network)
		atB   string // what B reads from A during the fault
		atA   string // what A reads from B during the fault
	}{
		{"cut one way", func(n *Network) { n.Cut(hostA, hostB) }, func(n *Network) { n.Heal(hostA, hostB) }, "", "pong"},
		{"cut both ways", func(n *Network) { n.CutBoth(hostA, hostB) }, func(n *Network) { n.Heal(hostA, hostB) }, "", ""},
		{"cut after 3", func(n *Network) { n.CutAfter(hostA, hostB, 3) }, func(n *Network) { n.Heal(hostA, hostB) }, "pin", "pong"},
		{"cut by address", func(n *Network) { n.Cut(hostA+":1", string(portB)) }, func(n *Network) { n.Heal(hostA, hostB) }, "", "pong"},
		{"isolate", func(n *Network) { n.Isolate(hostB) }, func(n *Network) { n.Rejoin(hostB) }, "", ""},
		{"freeze reader", func(n *Network) { n.Freeze(hostA) }, func(n *Network) { n.Thaw(hostA) }, "ping", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, network *Network) {
				client, server := connect(t, network)
				writeAll(t, client, "ping")
				writeAll(t, server, "pong")
				test.begin(network)
				atB := readForOneSecond(t, server)
				atA := readForOneSecond(t, client)
				if atB != test.atB || atA != test.atA {
					t.Errorf("during the fault: B got %q and A got %q, want %q and %q", atB, atA, test.atB, test.atA)
				}
				test.end(network)
				atB += readForOneSecond(t, server)
				atA += readForOneSecond(t, client)
				if atB != "ping" || atA != "pong" {
					t.Errorf("after the fault: B got %q and A got %q, want all bytes once", atB, atA)
				}
			})
		})
	}
}

// Guards against a frozen process whose writes are sent, write deadlines that
// have no effect, and writes that buffer without bound.
func TestWritesWait(t *testing.T) {
	bubble(t, func(t *testing.T, network *Network) {
		client, server := connect(t, network)
		network.Freeze(hostA)
		if err := client.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if n, err := client.Write([]byte("x")); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("wrote %d bytes, error %v, want 0 and deadline exceeded", n, err)
		}
		network.Thaw(hostA)
		if err := client.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if n, err := client.Write(make([]byte, maxInFlight+1)); n != maxInFlight || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("without a reader: wrote %d bytes, %v, want %d and deadline exceeded", n, err, maxInFlight)
		}
		_ = readForOneSecond(t, server)
		if err := client.SetWriteDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
		network.Freeze(hostA)
		time.AfterFunc(5*time.Second, func() { network.Thaw(hostA) })
		begin := time.Now()
		writeAll(t, client, "late")
		if got := readForOneSecond(t, server); got != "late" || time.Since(begin) < 5*time.Second {
			t.Errorf("got %q after %v, want it after the thaw", got, time.Since(begin))
		}
	})
}

// delays returns the latency of each of some writes.
func delays(t *testing.T, seed uint64, latency Latency) []time.Duration {
	t.Helper()
	var found []time.Duration
	bubble(t, func(t *testing.T, network *Network) {
		network.Seed = seed
		network.SetLatency(hostA, hostB, latency)
		client, server := connect(t, network)
		for range 20 {
			begin := time.Now()
			writeAll(t, client, "x")
			if _, err := server.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			found = append(found, time.Since(begin))
		}
	})
	return found
}

// Guards against latencies that the same seed does not reproduce.
func TestLatencyIsSeeded(t *testing.T) {
	latency := Latency{Base: 2 * time.Millisecond, Jitter: time.Millisecond, Loss: 0.2}
	first := delays(t, 1, latency)
	if again := delays(t, 1, latency); !slices.Equal(first, again) {
		t.Errorf("seed 1 gave %v, then %v", first, again)
	}
	if other := delays(t, 2, latency); slices.Equal(first, other) {
		t.Error("seeds 1 and 2 gave the same delays")
	}
	if slices.Min(first) < latency.Base || slices.Max(first) < retransmissionDelay {
		t.Errorf("got %v, want at least 2ms, and a retransmission", first)
	}
	for _, delay := range delays(t, 1, Latency{Base: time.Second}) {
		if delay != time.Second {
			t.Errorf("took %v without jitter, want 1s", delay)
		}
	}
}

// Guards against HTTP clients that hang or leak goroutines when their request
// times out while a link is cut.
func TestHTTPThroughCut(t *testing.T) {
	bubble(t, func(t *testing.T, network *Network) {
		serveB(t, network, http.NotFoundHandler())
		client := rtnet.Client(network.Host(hostA))
		client.Timeout = time.Second
		for _, cut := range []func(){func() {}, func() { network.Cut(hostB, hostA) }, func() { network.CutBoth(hostA, hostB) }} {
			cut()
			begin := time.Now()
			response, err := client.Get("http://" + string(portB))
			if err == nil {
				_ = response.Body.Close()
			} else if got := time.Since(begin); got != time.Second {
				t.Errorf("failed after %v, want 1s: %v", got, err)
			}
		}
	})
}

// Guards against loopback listeners of one VM that another VM can connect to.
func TestLoopbackIsPrivate(t *testing.T) {
	bubble(t, func(t *testing.T, network *Network) {
		listener, err := network.Host(hostA).Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := rtid.Address(listener.Addr().String())
		if _, err := network.Host(hostB).Dial(t.Context(), address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("from another host: got %v, want connection refused", err)
		}
		if _, err := network.Host(hostA).Dial(t.Context(), address); err != nil {
			t.Errorf("from the same host: %v", err)
		}
	})
}

// Guards against dials that succeed through a cut link, or that hang without a
// cut.
func TestDial(t *testing.T) {
	bubble(t, func(t *testing.T, network *Network) {
		host := network.Host(hostA)
		if _, err := host.Dial(t.Context(), portB); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("without a listener: got %v, want connection refused", err)
		}
		if _, err := network.Listen(portB); err != nil {
			t.Fatal(err)
		}
		network.Cut(hostB, hostA)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if _, err := host.Dial(ctx, portB); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("through a cut: got %v, want deadline exceeded", err)
		}
		time.AfterFunc(time.Second, func() { network.Heal(hostA, hostB) })
		start := time.Now()
		if _, err := host.Dial(t.Context(), portB); err != nil || time.Since(start) != time.Second {
			t.Errorf("got error %v after %v, want a connection 1s after the dial, when the cut ends", err, time.Since(start))
		}
	})
}

// Guards against a connection that is opened while its host is killed and stays
// open: a target that has crashed would look alive to whoever opened it.
func TestKillBesideDials(t *testing.T) {
	const rounds = 500
	bubble(t, func(t *testing.T, network *Network) {
		for round := range rounds {
			for _, c := range dialUntilKilled(t, network) {
				if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
					t.Fatal(err)
				}
				if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
					t.Fatalf("round %d: connection to the killed host: got %v, want a reset", round, err)
				}
				_ = c.Close()
			}
		}
	})
}

// dialUntilKilled kills host B while others open connections to it, and returns these.
func dialUntilKilled(t *testing.T, network *Network) []net.Conn {
	const callers = 4
	listener, err := network.Listen(portB)
	if err != nil {
		t.Fatal(err)
	}
	tasks := []*rttask.Task{rttask.Start(t.Context(), "accept", func(context.Context) error {
		for {
			if _, err := listener.Accept(); err != nil {
				return nil
			}
		}
	})}
	opened := make([][]net.Conn, callers)
	for i := range callers {
		tasks = append(tasks, rttask.Start(t.Context(), "dial", func(ctx context.Context) error {
			for {
				c, err := network.Host(hostA).Dial(ctx, portB)
				if err != nil {
					return nil // the host has been killed
				}
				opened[i] = append(opened[i], c)
			}
		}))
	}
	network.Kill(hostB)
	for _, task := range tasks {
		if err := <-task.Done(); err != nil {
			t.Fatal(err)
		}
	}
	return slices.Concat(opened...)
}

// Guards against connections that stay open after their process was killed, and
// against a reset that arrives through a cut link.
func TestKill(t *testing.T) {
	bubble(t, func(t *testing.T, network *Network) {
		client, server := connect(t, network)
		writeAll(t, server, "last words")
		network.Cut(hostB, hostA)
		network.Kill(hostB)
		if got := readForOneSecond(t, client); got != "" {
			t.Errorf("got %q through a cut link, want nothing", got)
		}
		if _, err := server.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("endpoint of the killed process: got %v, want closed", err)
		}
		network.Heal(hostA, hostB)
		if err := client.SetReadDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(client)
		if string(got) != "last words" || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("got %q, error %v, want the bytes written before and a reset", got, err)
		}
		if _, err := network.Listen(portB); err != nil {
			t.Errorf("listen again: %v", err)
		}
	})
}
