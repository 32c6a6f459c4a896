package rtdemo

import (
	"bytes"
	"testing"
)

// Guards against a demo that fails, so that it would not show what the README
// describes.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	if err := Run(t.Context(), &out); err != nil {
		t.Fatalf("%v\n%s", err, out.Bytes())
	}
	t.Logf("%s", out.Bytes())
}
