// Package sycpause waits for a time unless a context ends first.
package sycpause

import (
	"context"
	"time"
)

// For waits for the duration d and returns true, or returns false as soon as ctx
// ends. If d isn't positive, it doesn't wait.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
