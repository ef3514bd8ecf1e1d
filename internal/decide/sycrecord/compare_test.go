package sycrecord_test

import (
	"reflect"

	"github.com/google/go-cmp/cmp"
)

// compareAll makes must.Eq compare unexported fields too.
var compareAll = cmp.Exporter(func(reflect.Type) bool { return true })
