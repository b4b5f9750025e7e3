package mtsetting

import (
	"context"
	"time"
)

// reloadInterval is how often AwaitMesh reads a file that isn't valid yet.
const reloadInterval = 50 * time.Millisecond

// AwaitMesh is like LoadMesh, but reads the file again until it is valid: the platform may be about
// to write it. It passes faults to report when they are new, and fails with the error of ctx.
func AwaitMesh(ctx context.Context, file string, report func(Faults)) (*Mesh, error) {
	reported := ""
	for {
		settings, faults := LoadMesh(file)
		if len(faults) == 0 {
			return settings, nil
		}
		if text := faults.Error(); text != reported {
			report(faults)
			reported = text
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(reloadInterval):
		}
	}
}
