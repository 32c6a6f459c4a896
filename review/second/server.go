package main

import (
	"bufio"
	"flag"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// bodyOf returns the whole body that a server makes for a plain request.
func bodyOf(id string) string {
	var body strings.Builder
	for i := 0; body.Len() < 800; i++ {
		fmt.Fprintf(&body, "%s line %d\n", id, i)
	}
	return body.String()
}

// eventsOf is how many events a stream has.
const eventsOf = 8

// eventOf returns one event of a stream.
func eventOf(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i) }

// stampOf returns the stamp of a response.
func stampOf(server, id string) string {
	return fmt.Sprintf("%s.%08x", server, crc32.ChecksumIEEE([]byte(id)))
}

// server is the stand-in of one start of a server.
type server struct {
	id       string
	unframed bool          // answers have no length
	pause    time.Duration // between the halves of a body, or two events
	work     time.Duration // before the answer
	endless  bool          // heads of answers do not end

	mu sync.Mutex
}

// runServer serves until the process is killed, or cannot listen any more.
func runServer(args []string) {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	s := &server{}
	listen := flags.String("listen", "", "address")
	flags.StringVar(&s.id, "id", "", "id of this start")
	flags.BoolVar(&s.unframed, "unframed", false, "answers have neither a length nor chunks")
	flags.BoolVar(&s.endless, "endless", false, "heads of answers do not end")
	flags.DurationVar(&s.pause, "pause", 0, "between the parts of an answer")
	flags.DurationVar(&s.work, "work", 0, "before an answer")
	_ = flags.Parse(args) // it exits on an error
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "server:", err)
		return
	}
	fmt.Println("listening")
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(connection)
	}
}

// say prints a line for the record.
func (s *server) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// serve serves the requests of one connection, one after the other.
func (s *server) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if s.endless {
			s.answerHead(connection, request)
			return
		}
		if !s.answer(connection, request) {
			return
		}
	}
}

// answer answers a request. It reports whether the connection stays open.
func (s *server) answer(w io.Writer, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		_, err := fmt.Fprintf(w, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, id)
		return err == nil
	}
	s.say("runs %s %s %s, deadline %s, after event %q", id, r.Method, r.URL.Path, r.Header.Get("X-Deadline-Ms"), r.Header.Get("Last-Event-Id"))
	time.Sleep(s.work)
	stream := strings.HasPrefix(r.URL.Path, "/stream")
	parts := []string{bodyOf(id)[:400], bodyOf(id)[400:]}
	contentType := "text/plain"
	if stream {
		contentType = "text/event-stream"
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
		parts = nil
		for i := after + 1; i <= eventsOf; i++ {
			parts = append(parts, eventOf(id, i))
		}
	}
	size := len(strings.Join(parts, ""))
	framing := fmt.Sprintf("Content-Length: %d\r\n", size)
	if s.unframed {
		framing = "Connection: close\r\n"
	}
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\nContent-Type: %s\r\n%s\r\n", id, stampOf(s.id, id), contentType, framing)
	for i, part := range parts {
		if err != nil {
			s.say("client of %s has left", id)
			return false
		}
		if i > 0 {
			time.Sleep(s.pause)
		}
		_, err = io.WriteString(w, part)
	}
	s.say("ended %s", id)
	return err == nil && !s.unframed
}

// endlessHead returns the begin of a response head: fields that differ and have no value.
func endlessHead(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	for i := 0; head.Len() < size; i++ {
		for n := range 3 {
			head.WriteByte(letters[i/[]int{1, len(letters), len(letters) * len(letters)}[n]%len(letters)])
		}
		head.WriteString(":\r\n")
	}
	return head.String()
}

// answerHead answers with a head that does not end: most of it at once, then a field every
// fifth of a second, until the caller closes.
func (s *server) answerHead(connection net.Conn, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	s.say("answers %s with a head without end", id)
	_, err := connection.Write([]byte(endlessHead(60_000)))
	for i := 0; err == nil; i++ {
		time.Sleep(200 * time.Millisecond)
		_, err = fmt.Fprintf(connection, "field-%d: x\r\n", i)
	}
	s.say("caller of %s has closed", id)
}
