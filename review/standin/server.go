package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"sync"
	"time"
)

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in of a server.
type server struct {
	world   *world
	id      string
	service string
	address string
	serve   func(rw http.ResponseWriter, r *http.Request) // answers a request for this server
	born    int64
	stopped chan struct{}

	mu          sync.Mutex
	listener    net.Listener
	connections map[net.Conn]bool
	state       string
	coldLeft    time.Duration // as of its start
	sequence    int
	silent      bool // it writes no entries
}

// run is what a server noted when it began to work on a request.
type run struct {
	server  string
	request string
	at      time.Time
}

// addServer starts a server that is ready and writes its entry.
func (w *world) addServer(id, service string, serve func(s *server, rw http.ResponseWriter, r *http.Request)) (*server, error) {
	s := &server{
		world: w, id: id, service: service, born: time.Now().UnixMilli(), stopped: make(chan struct{}),
		connections: make(map[net.Conn]bool), state: "ready",
	}
	s.serve = func(rw http.ResponseWriter, r *http.Request) { serve(s, rw, r) }
	s.address = w.host + ".2:0"
	if err := s.listen(); err != nil {
		return nil, err
	}
	w.servers = append(w.servers, s)
	if err := s.write(); err != nil {
		return nil, err
	}
	go s.beat()
	return s, nil
}

// listen begins to serve, at the address that the server had before if it had one.
func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.address = listener, listener.Addr().String()
	s.mu.Unlock()
	stand := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnState: s.track}
	go func() { _ = stand.Serve(listener) }() // ends with its listener
	return nil
}

// track keeps the set of open connections.
func (s *server) track(connection net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections[connection] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, connection)
	}
}

// crash ends the server as a crash does: nothing listens, and all connections are reset.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for connection := range s.connections {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
	s.connections = make(map[net.Conn]bool)
	s.silent = true
}

// restart starts the server again under its ID and at its address.
func (s *server) restart() error {
	if err := s.listen(); err != nil {
		return err
	}
	s.mu.Lock()
	s.born, s.sequence, s.silent = time.Now().UnixMilli(), 0, false
	s.mu.Unlock()
	return s.write()
}

// close ends the server for good.
func (s *server) close() {
	close(s.stopped)
	s.crash()
}

// setState changes the state and writes the entry.
func (s *server) setState(state string) error {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	return s.write()
}

// entry returns what the server writes about itself.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.service, "address": s.address, "zone": "a", "version": "v1", "slots": 16, "state": s.state,
		"coldLeftMs": s.coldLeft.Milliseconds(), "phase": "unified", "sequence": s.sequence, "born": s.born,
	}
}

func (s *server) key() string { return "servers/" + s.id }

func (s *server) write() error { return s.world.put(s.key(), s.entry()) }

// beat writes the entry at each heartbeat. The entry in the store changes only when more
// than the sequence differs.
func (s *server) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if entry := s.entry(); !silent && !sameEntry(s.world.store.Get(s.key()), entry) {
			_ = s.world.put(s.key(), entry) // encoding an entry cannot fail
		}
	}
}

// sameEntry reports whether the entry in the store differs from another one in the
// sequence at most.
func sameEntry(stored []byte, entry map[string]any) bool {
	text, err := json.Marshal(entry)
	if err != nil {
		return false
	}
	var before, now map[string]any
	if json.Unmarshal(stored, &before) != nil || json.Unmarshal(text, &now) != nil {
		return false
	}
	delete(before, "sequence")
	delete(now, "sequence")
	return reflect.DeepEqual(before, now)
}

// ServeHTTP implements the interface of servers: it rejects what is for another one.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		rw.Header().Set("X-Instance-Id", s.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	_, _ = io.Copy(io.Discard, r.Body)
	s.serve(rw, r)
}

// stamp marks an answer as the server's own.
func (s *server) stamp(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("X-Response-Stamp", fmt.Sprintf("%s.%s", s.id, r.Header.Get("X-Attempt-Id")))
}
