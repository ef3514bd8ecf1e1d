package sycconfig

import (
	"fmt"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// GenerationError refuses an operation that expected another generation.
type GenerationError struct {
	Have uint64
	Want uint64
}

// Error names both generations.
func (e *GenerationError) Error() string {
	return fmt.Sprintf("generation is %d, not %d as expected", e.Have, e.Want)
}

// RepeatedError refuses an operation whose id has been used.
type RepeatedError struct {
	ID string
	// Offset is that of the operation which had the id first and decides.
	Offset uint64
}

// Error names the first operation.
func (e *RepeatedError) Error() string {
	return fmt.Sprintf("id %q repeats the operation at offset %d", e.ID, e.Offset)
}

// StreamError refuses an operation whose kind belongs to another stream.
type StreamError struct {
	Kind   sycrecord.Kind
	Stream string
}

// Error names the kind and the stream.
func (e *StreamError) Error() string {
	return fmt.Sprintf("kind %q does not belong to stream %q", e.Kind, e.Stream)
}

// ConflictError refuses an operation that contradicts other objects.
type ConflictError struct {
	// Path leads to the field of the operation.
	Path    string
	Message string
}

// Error names the field and what it contradicts.
func (e *ConflictError) Error() string { return e.Path + ": " + e.Message }

func conflict(path, format string, args ...any) error {
	return &ConflictError{Path: path, Message: fmt.Sprintf(format, args...)}
}

// MissingError refuses to delete or merge into an object that is not there.
type MissingError struct {
	Kind sycrecord.Kind
	Name string
}

// Error names the object.
func (e *MissingError) Error() string {
	return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name)
}
