package rtsettings

import (
	"regexp"
	"strings"
)

// keyPattern matches the first part of a bare or quoted key, at the start of a
// line or in a table header.
var keyPattern = regexp.MustCompile(`^\s*(\[*)\s*(?:"([^"]*)"|'([^']*)'|([A-Za-z0-9_-]+))\s*[=.\]]`)

// keyLines returns the line number of each top-level key of a TOML file. The
// TOML library reports positions only in syntax errors. The scan skips the
// contents of multi-line strings and does not resolve escapes in quoted keys.
func keyLines(text string) map[string]int {
	result := make(map[string]int)
	inTable := false
	closing := "" // delimiter that ends the multi-line string open at the start of the line, or ""
	for i, line := range strings.Split(text, "\n") {
		if closing != "" {
			closing = openStringAfter(line, closing)
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
		closing = openStringAfter(line, "")
	}
	return result
}

// openStringAfter returns the delimiter of the multi-line string that is open
// after the line, or ""; closing is that of the string open before the line.
func openStringAfter(line, closing string) string {
	for {
		if closing == "" {
			closing, line = cutFirstDelimiter(line)
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

// cutFirstDelimiter returns the first delimiter of a multi-line string in the
// line and the text after it.
func cutFirstDelimiter(line string) (delimiter, rest string) {
	start := -1
	for _, candidate := range []string{`"""`, `'''`} {
		if index := strings.Index(line, candidate); index >= 0 && (start < 0 || index < start) {
			start, delimiter = index, candidate
		}
	}
	if start < 0 {
		return "", ""
	}
	return delimiter, line[start+len(delimiter):]
}
