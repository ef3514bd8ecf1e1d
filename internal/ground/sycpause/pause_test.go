package sycpause_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
)

func TestFor(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name string
		ctx  context.Context
		wait time.Duration
		want bool
	}{
		{"no wait", context.Background(), 0, true},
		{"short wait", context.Background(), time.Millisecond, true},
		{"context ended", ended, time.Hour, false},
		{"context ended, no wait", ended, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			must.Eq(t, tt.want, sycpause.For(tt.ctx, tt.wait))
		})
	}
}
