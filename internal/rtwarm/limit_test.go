package rtwarm

import (
	"strings"
	"testing"
	"time"
)

const expected = 100 * time.Millisecond

// apply records completions, one per letter: G a round of good ones, g one
// good, n neutral, s slow, v severe, o slow but not complete, r a restart.
func apply(limit *Limit, completions string) {
	factors := map[rune]float64{'g': 1, 'n': 2, 's': 4, 'v': 10, 'o': 4}
	for _, letter := range strings.ReplaceAll(completions, "G", "gggggggg") {
		ratio := Ratio(time.Duration(factors[letter]*float64(expected)), expected)
		switch letter {
		case 'r':
			limit.Reset()
		case 'o':
			limit.RecordProgress(ratio)
		default:
			limit.RecordCompletion(ratio)
		}
	}
}

// Guards against full load on a cold target, which comes about if the limit
// increases without completed work, and against a limit that changes with noise.
func TestLimit(t *testing.T) {
	const warm = "GGG"
	tests := []struct {
		name        string
		completions string
		want        int
	}{
		{"start", "", 1},
		{"one completion", "g", 1},
		{"one round", "G", 2},
		{"two rounds", "GG", 4},
		{"warm", warm, 8},
		{"never over warm", warm + "GGGG", 8},
		{"neutral does not increase", "nnnnnnnnnnnnnnnn", 1},
		{"neutral does not reset", warm + "nnnnnnnn", 8},
		{"one slow", warm + "s", 8},
		{"two slow among eight", warm + "sggggggs", 8},
		{"three slow among eight", warm + "sgsgs", 1},
		{"three slow that still run", warm + "ooo", 1},
		{"slow ones far apart", warm + "sgggggggsgggggggs", 8},
		{"one severe", warm + "v", 1},
		{"restart", warm + "r", 1},
		{"restart within a round", "gggggggrg", 1},
		{"increases again after a reset", warm + "vGG", 4},
		{"slow before a reset does not count", warm + "ssvGs", 2},
	}
	for _, test := range tests {
		limit := New(1, 8)
		apply(limit, test.completions)
		if limit.Current() != test.want {
			t.Errorf("%s: limit %d, want %d", test.name, limit.Current(), test.want)
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
		limit.RecordCompletion(Ratio(expected, expected))
	}
}
