package sycconfig

import (
	"fmt"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// GenerationError rejects an operation that expected another generation of its
// object.
type GenerationError struct {
	// Have is the object's generation.
	Have uint64
	// Want is the generation that the operation expected.
	Want uint64
}

// Error names the object's generation and the expected one.
func (e *GenerationError) Error() string {
	return fmt.Sprintf("generation is %d, not %d as expected", e.Have, e.Want)
}

// RepeatedError rejects an operation whose ID an earlier operation has used.
type RepeatedError struct {
	// ID is the repeated ID.
	ID string
	// Offset is the log offset of the first operation with the ID. Its result counts
	// for the repetitions too.
	Offset uint64
}

// Error names the ID and the offset of the first operation.
func (e *RepeatedError) Error() string {
	return fmt.Sprintf("id %q repeats the operation at offset %d", e.ID, e.Offset)
}

// StreamError rejects an operation whose kind belongs to another stream.
type StreamError struct {
	// Kind is the kind of the operation's object.
	Kind sycrecord.Kind
	// Stream is the stream that holds the operation.
	Stream string
}

// Error names the kind and the stream.
func (e *StreamError) Error() string {
	return fmt.Sprintf("kind %q does not belong to stream %q", e.Kind, e.Stream)
}

// ConflictError rejects an operation that conflicts with other objects.
type ConflictError struct {
	// Path locates the conflicting field in the operation, such as "spec.prefix".
	Path string
	// Message says what the field conflicts with.
	Message string
}

// Error names the field and what it conflicts with.
func (e *ConflictError) Error() string { return e.Path + ": " + e.Message }

// conflict returns a *ConflictError with a formatted message.
func conflict(path, format string, args ...any) error {
	return &ConflictError{Path: path, Message: fmt.Sprintf(format, args...)}
}

// MissingError rejects a delete or merge of an object that doesn't exist.
type MissingError struct {
	// Kind is the kind of the missing object.
	Kind sycrecord.Kind
	// Name is the name of the missing object.
	Name string
}

// Error names the missing object.
func (e *MissingError) Error() string {
	return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name)
}
