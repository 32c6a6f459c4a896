package rtsettings

import (
	"regexp"
	"strings"
)

// keyPattern matches the first part of a key, bare or quoted, at the start of
// a line, or the same in the header of a table.
var keyPattern = regexp.MustCompile(`^\s*(\[*)\s*(?:"([^"]*)"|'([^']*)'|([A-Za-z0-9_-]+))\s*[=.\]]`)

// keyLines returns the line of each key at the top of a TOML file. The TOML
// library gives positions in syntax errors only. The scan passes over
// multi-line strings; escapes in quoted keys are not resolved.
func keyLines(text string) map[string]int {
	result := make(map[string]int)
	inTable := false
	closing := "" // delimiter that ends the multi-line string of this line
	for i, line := range strings.Split(text, "\n") {
		if closing != "" {
			closing = afterLine(line, closing)
			continue
		}
		if match := keyPattern.FindStringSubmatch(line); match != nil {
			header := match[1] != ""
			key := match[2] + match[3] + match[4]
			if _, known := result[key]; !known && (header || !inTable) {
				result[key] = i + 1
			}
			inTable = inTable || header
		}
		closing = afterLine(line, "")
	}
	return result
}

// afterLine returns the delimiter of the multi-line string that is open after
// the line; closing is the one that is open before it.
func afterLine(line, closing string) string {
	for {
		if closing == "" {
			closing, line = opening(line)
			if closing == "" {
				return ""
			}
		}
		_, rest, closed := strings.Cut(line, closing)
		if !closed {
			return closing
		}
		line, closing = rest, ""
	}
}

// opening returns the first delimiter of a multi-line string in the line and
// the text after it.
func opening(line string) (delimiter, rest string) {
	first := -1
	for _, candidate := range []string{`"""`, `'''`} {
		if at := strings.Index(line, candidate); at >= 0 && (first < 0 || at < first) {
			first, delimiter = at, candidate
		}
	}
	if first < 0 {
		return "", ""
	}
	return delimiter, line[first+len(delimiter):]
}
