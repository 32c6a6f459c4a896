package rtwarm

import (
	"testing"
	"time"
)

const expected = 100 * time.Millisecond

// complete takes in completions, one a letter: g good, n neutral, s slow,
// v severe, r a restart.
func complete(limit *Limit, completions string) {
	factors := map[rune]float64{'g': 1, 'n': 2, 's': 4, 'v': 10}
	for _, letter := range completions {
		if letter == 'r' {
			limit.Reset()
			continue
		}
		limit.Complete(time.Duration(factors[letter]*float64(expected)), expected)
	}
}

// Guards against full load on a cold target, and against a limit that moves
// with noise.
func TestLimit(t *testing.T) {
	const warm = "ggggggg" // 1, 2 and 4 completions
	tests := []struct {
		name        string
		completions string
		want        int
	}{
		{"start", "", 1},
		{"one completion", "g", 2},
		{"half a round", "gg", 2},
		{"two rounds", "ggg", 4},
		{"warm", warm, 8},
		{"never over warm", warm + "gggggggggggggggggggg", 8},
		{"neutral does not rise", "nnnnnnnn", 1},
		{"neutral does not fall", warm + "nnnnnnnn", 8},
		{"one slow", warm + "s", 8},
		{"two slow among eight", warm + "sggggggs", 8},
		{"three slow among eight", warm + "sgsgs", 1},
		{"slow ones far apart", warm + "sgggggggsgggggggs", 8},
		{"one severe", warm + "v", 1},
		{"restart", warm + "r", 1},
		{"rises again after a fall", warm + "vggg", 4},
		{"slow before a fall is forgotten", warm + "ssvgs", 2},
	}
	for _, test := range tests {
		limit := New(1, 8)
		complete(limit, test.completions)
		if limit.Now() != test.want {
			t.Errorf("%s: limit %d, want %d", test.name, limit.Now(), test.want)
		}
		if limit.Cold() != (test.want < 8) {
			t.Errorf("%s: cold is %v at %d", test.name, limit.Cold(), test.want)
		}
	}
}

func BenchmarkComplete(b *testing.B) {
	limit := New(1, 64)
	b.ReportAllocs()
	for b.Loop() {
		limit.Complete(expected, expected)
	}
}
