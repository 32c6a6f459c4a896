package rtanswer

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const id rtid.Request = "d.t.1.0.00000000.00"

var end = time.UnixMilli(1)

// finishedBuffer returns a buffer with a finished answer.
func finishedBuffer(t testing.TB, parts ...string) *Buffer {
	t.Helper()
	buffer := NewBuffer(id, 1, MaxSize)
	for _, part := range parts {
		if err := buffer.Append([]byte(part)); err != nil {
			t.Fatal(err)
		}
	}
	buffer.Finish(rtwire.Outcome_OUTCOME_DONE, rtwire.Reason_REASON_NONE, "", end)
	return buffer
}

// readFrames reads all frames from an offset on in batches.
func readFrames(t testing.TB, buffer *Buffer, offset int64, batch int) []*rtwire.Frame {
	t.Helper()
	var all []*rtwire.Frame
	for {
		frames, final, _, err := buffer.Read(offset, batch)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, frames...)
		if final {
			return all
		}
		last := frames[len(frames)-1]
		offset = last.Offset + int64(len(last.Text))
	}
}

// assembleFrames adds frames to an assembler and returns the text and whether
// the answer is complete.
func assembleFrames(frames []*rtwire.Frame, offset int64) (string, bool, error) {
	assembler := NewAssembler(id, 1, offset)
	var text bytes.Buffer
	for _, frame := range frames {
		assembler.Add(frame)
		text.Write(assembler.TakeText())
	}
	_, complete, err := assembler.Final()
	return text.String(), complete, err
}

// Guards against lost or duplicate text, or text of another answer, when frames
// arrive late, twice, out of order or from another request or attempt.
func TestAssemblerOrder(t *testing.T) {
	parts := []string{"one ", "two ", strings.Repeat("x", 2*MaxFrameText+1), "", " three"}
	whole := strings.Join(parts, "")
	buffer := finishedBuffer(t, parts...)
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 200 {
		offset := int64(random.IntN(len(whole) + 1))
		if round%2 == 0 {
			offset = 0
		}
		frames := readFrames(t, buffer, offset, 1+random.IntN(100_000))
		for _, frame := range frames {
			otherRequest := proto.Clone(frame).(*rtwire.Frame)
			otherRequest.Request = "other"
			otherAttempt := proto.Clone(frame).(*rtwire.Frame)
			otherAttempt.Attempt = 2
			// With the same text, the test would not detect an assembler that
			// accepts these frames.
			for _, other := range []*rtwire.Frame{otherRequest, otherAttempt} {
				other.Text = bytes.ToUpper(other.Text)
				if other.Final != nil {
					other.Final.Checksum++
				}
			}
			frames = append(frames, frame, otherRequest, otherAttempt)
		}
		random.Shuffle(len(frames), func(i, j int) { frames[i], frames[j] = frames[j], frames[i] })
		text, complete, err := assembleFrames(frames, offset)
		if err != nil || !complete || text != whole[offset:] {
			t.Fatalf("round %d from offset %d: got %d bytes, complete %v, %v, want %d bytes", round, offset, len(text), complete, err, len(whole)-int(offset))
		}
	}
}

// Guards against reporting a truncated or changed stream as complete.
func TestAssemblerRefuses(t *testing.T) {
	tests := []struct {
		name    string
		change  func([]*rtwire.Frame) []*rtwire.Frame
		corrupt bool
	}{
		{"no final", func(f []*rtwire.Frame) []*rtwire.Frame { return f[:2] }, false},
		{"no first", func(f []*rtwire.Frame) []*rtwire.Frame { return f[1:] }, false},
		{"no middle", func(f []*rtwire.Frame) []*rtwire.Frame { return append(f[:1:1], f[2]) }, false},
		{"changed text", func(f []*rtwire.Frame) []*rtwire.Frame { f[1].Text = []byte("TWO"); return f }, true},
		{"short text", func(f []*rtwire.Frame) []*rtwire.Frame { f[1].Text = []byte("tw"); return f }, true},
		{"wrong offset", func(f []*rtwire.Frame) []*rtwire.Frame { f[1].Offset++; return f }, true},
		{"wrong count", func(f []*rtwire.Frame) []*rtwire.Frame { f[2].Final.Count = 1; return f }, true},
		{"wrong size", func(f []*rtwire.Frame) []*rtwire.Frame { f[2].Final.Size++; return f }, true},
	}
	for _, test := range tests {
		frames := test.change(readFrames(t, finishedBuffer(t, "one", "two"), 0, 100))
		_, complete, err := assembleFrames(frames, 0)
		if complete || errors.Is(err, ErrCorrupt) != test.corrupt {
			t.Errorf("%s: complete %v, error %v, want incomplete and corrupt %v", test.name, complete, err, test.corrupt)
		}
	}
}

// Guards against answers above the size limit, changes after the end, and
// answers that are freed too early or too late.
func TestBufferLife(t *testing.T) {
	buffer := NewBuffer(id, 1, 4)
	_, _, changed, _ := buffer.Read(0, 100)
	if err := buffer.Append([]byte("abcd")); err != nil {
		t.Fatal(err)
	}
	<-changed
	if err := buffer.Append([]byte("e")); !errors.Is(err, ErrTooLarge) {
		t.Errorf("append above the limit: got %v, want ErrTooLarge", err)
	}
	if buffer.Acknowledge() || buffer.Expire(end.Add(time.Hour)) {
		t.Error("an answer that has not ended was freed")
	}
	_, _, changed, _ = buffer.Read(4, 100)
	buffer.Finish(rtwire.Outcome_OUTCOME_DONE, rtwire.Reason_REASON_NONE, "", end)
	<-changed
	if buffer.Finish(rtwire.Outcome_OUTCOME_FAILED, rtwire.Reason_REASON_TARGET, "", end) {
		t.Error("the second call of Finish returned true")
	}
	if err := buffer.Append([]byte("e")); !errors.Is(err, ErrEnded) {
		t.Errorf("append after the end: got %v, want ErrEnded", err)
	}
	if _, _, _, err := buffer.Read(5, 100); !errors.Is(err, ErrInvalidOffset) {
		t.Errorf("read past the end: got %v, want ErrInvalidOffset", err)
	}
	if buffer.Expire(end.Add(Retention - 1)) {
		t.Error("the answer was freed before the end of its retention")
	}
	if !buffer.Expire(end.Add(Retention)) || buffer.Size() != 0 {
		t.Error("the answer was not freed at the end of its retention")
	}
	if _, _, _, err := buffer.Read(0, 100); !errors.Is(err, ErrGone) {
		t.Errorf("read of an expired answer: got %v, want ErrGone", err)
	}
}

func BenchmarkAnswer(b *testing.B) {
	token := []byte(" word")
	b.ReportAllocs()
	for b.Loop() {
		buffer := NewBuffer(id, 1, MaxSize)
		for range 1000 {
			// The limit is not reached.
			_ = buffer.Append(token)
		}
		buffer.Finish(rtwire.Outcome_OUTCOME_DONE, rtwire.Reason_REASON_NONE, "", end)
		if _, complete, err := assembleFrames(readFrames(b, buffer, 0, 256<<10), 0); !complete {
			b.Fatal(err)
		}
	}
}
