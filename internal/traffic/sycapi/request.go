package sycapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

// Kind says which of the two generation calls a request is.
type Kind int

// Forms of generation requests.
const (
	TextCompletion Kind = iota
	ChatCompletion
)

// Request is a checked generation request.
type Request struct {
	form      Kind
	model     string
	prompt    string
	maxTokens int
	streamed  bool
	usage     bool
	priorText string
}

// Kind is the call that the request came by.
func (r *Request) Kind() Kind { return r.form }

// Model is the name of the model; never empty.
func (r *Request) Model() string { return r.model }

// Prompt is the flattened prompt; never empty.
func (r *Request) Prompt() string { return r.prompt }

// MaxTokens bounds the output; above 0.
func (r *Request) MaxTokens() int { return r.maxTokens }

// Streamed reports whether the answer is an event stream.
func (r *Request) Streamed() bool { return r.streamed }

// IncludeUsage reports whether the caller wants a chunk of its own for the usage.
func (r *Request) IncludeUsage() bool { return r.usage }

// PriorText is the text that a resuming caller already has; often empty.
func (r *Request) PriorText() string { return r.priorText }

// Bounds limits what a request may ask for.
type Bounds struct {
	// DefaultTokens applies where the request names no bound.
	DefaultTokens int
	// MaxTokens is the largest bound that a request may name.
	MaxTokens int
	// MaxMessages bounds the turns of a chat.
	MaxMessages int
}

type wireRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []wireMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	TextSoFar string `json:"text_so_far"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type wirePart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Parse reads a generation request. Its errors are of type *Failure and name
// the place of the fault.
func Parse(form Kind, body []byte, b Bounds) (*Request, error) {
	var wire wireRequest
	if err := decode(body, &wire); err != nil {
		return nil, err
	}
	r := &Request{
		form:      form,
		model:     wire.Model,
		streamed:  wire.Stream,
		usage:     wire.StreamOptions.IncludeUsage,
		priorText: wire.TextSoFar,
	}
	if r.model == "" {
		return nil, fault("model", "is missing")
	}
	if wire.N != nil && *wire.N != 1 {
		return nil, fault("n", "must be 1")
	}
	if err := r.setPrompt(&wire, b); err != nil {
		return nil, err
	}
	if err := r.setMaxTokens(&wire, b); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Request) setPrompt(wire *wireRequest, b Bounds) error {
	if r.form == ChatCompletion {
		return r.setMessages(wire.Messages, b)
	}
	if len(wire.Prompt) == 0 {
		return fault("prompt", "is missing")
	}
	if err := json.Unmarshal(wire.Prompt, &r.prompt); err != nil {
		return fault("prompt", "must be a string")
	}
	if r.prompt == "" {
		return fault("prompt", "is empty")
	}
	return nil
}

func (r *Request) setMessages(wire []wireMessage, b Bounds) error {
	if len(wire) == 0 {
		return fault("messages", "is missing or empty")
	}
	if len(wire) > b.MaxMessages {
		return fault("messages", "has more than "+strconv.Itoa(b.MaxMessages)+" entries")
	}
	messages := make([]sycblock.Message, len(wire))
	for i, m := range wire {
		place := "messages[" + strconv.Itoa(i) + "]"
		if m.Role == "" {
			return fault(place+".role", "is missing")
		}
		text, err := content(place+".content", m.Content)
		if err != nil {
			return err
		}
		messages[i] = sycblock.Message{Role: m.Role, Content: text}
	}
	r.prompt = sycblock.Flatten(messages)
	return nil
}

// content accepts a string or a list of text parts.
func content(place string, raw json.RawMessage) (string, error) {
	if len(raw) == 0 {
		return "", fault(place, "is missing")
	}
	if raw[0] == '"' {
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return "", fault(place, "is not a valid string")
		}
		return text, nil
	}
	var parts []wirePart
	if err := json.Unmarshal(raw, &parts); err != nil || raw[0] != '[' {
		return "", fault(place, "must be a string or a list of text parts")
	}
	var text strings.Builder
	for i, p := range parts {
		if p.Type != "text" {
			return "", fault(place+"["+strconv.Itoa(i)+"].type", "must be \"text\"")
		}
		text.WriteString(p.Text)
	}
	return text.String(), nil
}

func (r *Request) setMaxTokens(wire *wireRequest, b Bounds) error {
	place, value := "max_tokens", wire.MaxTokens
	if value == nil {
		place, value = "max_completion_tokens", wire.MaxCompletionTokens
	}
	if value == nil {
		r.maxTokens = b.DefaultTokens
		return nil
	}
	if *value < 1 || *value > b.MaxTokens {
		return fault(place, "must be between 1 and "+strconv.Itoa(b.MaxTokens))
	}
	r.maxTokens = *value
	return nil
}

// decode reads exactly one JSON value.
func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return decodeFault(err)
	}
	return nil
}

func decodeFault(err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return invalidJSON("", "byte "+strconv.FormatInt(syntax.Offset, 10)+": "+syntax.Error())
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return invalidJSON(kind.Field, kind.Field+" at byte "+strconv.FormatInt(kind.Offset, 10)+": must not be a JSON "+kind.Value)
	}
	return invalidJSON("", "the body is not a whole JSON value")
}

func invalidJSON(place, message string) *Failure {
	f := Invalid(http.StatusBadRequest, "invalid_json", "%s", message)
	f.Param = place
	return f
}

func fault(place, what string) *Failure {
	f := Invalid(http.StatusBadRequest, "invalid_request", "%s %s", place, what)
	f.Param = place
	return f
}
