package sycblock_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

func TestSaltSeparates(t *testing.T) {
	base := sycblock.Salt("a", "m", "", "w1")
	tests := []struct {
		name, customer, model, adapter, weights string
	}{
		{"customer", "b", "m", "", "w1"},
		{"model", "a", "n", "", "w1"},
		{"adapter", "a", "m", "x", "w1"},
		{"weights", "a", "m", "", "w2"},
		{"moved boundary", "am", "", "", "w1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			must.NotEq(t, base, sycblock.Salt(tt.customer, tt.model, tt.adapter, tt.weights))
		})
	}
}

func TestChainSharesPrefixOnly(t *testing.T) {
	shared := strings.Repeat("x", 2*sycblock.BytesPerBlock)
	one := sycblock.Chain("s", shared+strings.Repeat("1", sycblock.BytesPerBlock))
	two := sycblock.Chain("s", shared+strings.Repeat("2", sycblock.BytesPerBlock+7))
	must.Len(t, 3, one)
	must.Len(t, 3, two)
	must.Eq(t, one[:2], two[:2])
	must.NotEq(t, one[2], two[2])
	must.NotEq(t, one[0], sycblock.Chain("other", shared)[0])
}
