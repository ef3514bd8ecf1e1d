package sycrecord_test

import (
	"reflect"

	"github.com/google/go-cmp/cmp"
)

// compareAll lets comparisons look into unexported fields.
var compareAll = cmp.Exporter(func(reflect.Type) bool { return true })
