package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// pollInterval is the time between two looks at the files. Their contents are
// compared, because two quick changes can have the same modification time.
const pollInterval = 50 * time.Millisecond

// watchedFile remembers the content that was published last.
type watchedFile struct {
	name      string
	published []byte
}

// changed returns the content of the file if it has to be published. A file
// that is missing or empty is being replaced.
func (f *watchedFile) changed() ([]byte, bool) {
	if f.name == "" {
		return nil, false
	}
	content, err := os.ReadFile(f.name)
	if err != nil || len(content) == 0 || bytes.Equal(content, f.published) {
		return nil, false
	}
	return content, true
}

// publishFiles publishes the files at each change until the context ends.
func publishFiles(ctx context.Context, platform *rtfake.Platform, o options) error {
	document, vms := watchedFile{name: o.document}, watchedFile{name: o.vms}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if content, changed := document.changed(); changed {
			publishDocument(platform, content, rtid.Version(o.version), document.published == nil)
			document.published = content
		}
		if content, changed := vms.changed(); changed && publishVMs(platform, content, o.lag) {
			vms.published = content
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func publishDocument(platform *rtfake.Platform, content []byte, first rtid.Version, isFirst bool) {
	if isFirst {
		platform.PublishVersion(first, content)
		return
	}
	platform.Publish(content)
}

// publishVMs returns false for a list that cannot be decoded, as when the
// file is half written.
func publishVMs(platform *rtfake.Platform, content []byte, lag time.Duration) bool {
	var members []rtplatform.Member
	if err := json.Unmarshal(content, &members); err != nil {
		return false
	}
	platform.SetVMs(members, lag)
	return true
}
