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

// pollInterval is the interval at which the files are read. Their contents are
// compared, because two changes in quick succession can have the same
// modification time.
const pollInterval = 50 * time.Millisecond

// watchedFile is a file and its content that was published last.
type watchedFile struct {
	name      string
	published []byte
}

// changed returns the content of the file if it differs from that published last.
// A missing or empty file counts as unchanged, because it is being replaced.
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

// publishFiles publishes each file after every change until the context ends.
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

func publishDocument(platform *rtfake.Platform, content []byte, initialVersion rtid.Version, initial bool) {
	if initial {
		platform.PublishVersion(initialVersion, content)
		return
	}
	platform.Publish(content)
}

// publishVMs returns false if the list cannot be decoded, for example because the
// file is incompletely written.
func publishVMs(platform *rtfake.Platform, content []byte, lag time.Duration) bool {
	var members []rtplatform.Member
	if err := json.Unmarshal(content, &members); err != nil {
		return false
	}
	platform.SetVMs(members, lag)
	return true
}
