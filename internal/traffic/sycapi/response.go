package sycapi

import (
	"encoding/json"
	"strconv"
)

// Usage holds the token counts of one request.
type Usage struct {
	// Prompt counts the tokens of the prompt.
	Prompt int
	// Completion counts the output tokens.
	Completion int
	// Cached counts the prompt tokens that the engine had cached, and so didn't
	// compute again.
	Cached int
}

// usageFields is the JSON form of Usage in the OpenAI API.
type usageFields struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

// promptDetails splits up the prompt's token count.
type promptDetails struct {
	// CachedTokens counts the prompt tokens that the engine had cached.
	CachedTokens int `json:"cached_tokens"`
}

// fields returns the JSON form of the counts.
func (u Usage) fields() *usageFields {
	return &usageFields{
		PromptTokens:     u.Prompt,
		CompletionTokens: u.Completion,
		TotalTokens:      u.Prompt + u.Completion,
		Details:          promptDetails{u.Cached},
	}
}

// Encoder encodes the response to one request, either as the chunks of an event
// stream or as a single JSON object.
type Encoder struct {
	// kind is the kind of completion, which decides the JSON format.
	kind Kind
	// id is the response's id, which every chunk repeats.
	id    string
	model string
	// created is the creation time in Unix seconds.
	created int64
	// chunkStart is the JSON from the start of a chunk up to its choices. It's the
	// same for all chunks of the response.
	chunkStart []byte
}

// NewEncoder returns an encoder for the response to r. All chunks have the given id
// and creation time, which is in Unix seconds.
func NewEncoder(r *Request, id string, created int64) *Encoder {
	e := &Encoder{kind: r.kind, id: id, model: r.model, created: created}
	e.chunkStart = e.appendChunkStart(nil)
	return e
}

// chunkObject returns the object type that the API gives to chunks.
func (e *Encoder) chunkObject() string {
	if e.kind == ChatCompletion {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// appendChunkStart appends the JSON from the start of a chunk up to its choices.
func (e *Encoder) appendChunkStart(b []byte) []byte {
	b = append(b, `{"id":`...)
	b = appendString(b, e.id)
	b = append(b, `,"object":"`...)
	b = append(b, e.chunkObject()...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, e.created, 10)
	b = append(b, `,"model":`...)
	return appendString(b, e.model)
}

// AppendToken appends the chunk for one output token. index is the token's position
// in the output, and the first chunk of a chat also carries the role.
func (e *Encoder) AppendToken(b []byte, index int, text string) []byte {
	b = append(b, e.chunkStart...)
	if e.kind == TextCompletion {
		b = append(b, `,"choices":[{"index":0,"text":`...)
		b = appendString(b, text)
		return append(b, `,"finish_reason":null}]}`...)
	}
	b = append(b, `,"choices":[{"index":0,"delta":{`...)
	if index == 0 {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":`...)
	b = appendString(b, text)
	return append(b, `},"finish_reason":null}]}`...)
}

// AppendFinish appends the chunk that ends the output, with the finish reason. The
// caller passes withUsage false if it sends the usage in a separate chunk instead.
func (e *Encoder) AppendFinish(b []byte, reason string, u Usage, withUsage bool) []byte {
	b = append(b, e.chunkStart...)
	if e.kind == TextCompletion {
		b = append(b, `,"choices":[{"index":0,"text":"","finish_reason":`...)
	} else {
		b = append(b, `,"choices":[{"index":0,"delta":{},"finish_reason":`...)
	}
	b = appendString(b, reason)
	b = append(b, `}]`...)
	if withUsage {
		b = appendUsage(b, u)
	}
	return append(b, '}')
}

// AppendUsage appends a chunk that carries only the usage.
func (e *Encoder) AppendUsage(b []byte, u Usage) []byte {
	b = append(b, e.chunkStart...)
	b = append(b, `,"choices":[]`...)
	b = appendUsage(b, u)
	return append(b, '}')
}

// appendUsage appends the usage field to a chunk.
func appendUsage(b []byte, u Usage) []byte {
	data, err := json.Marshal(u.fields())
	if err != nil {
		return b
	}
	b = append(b, `,"usage":`...)
	return append(b, data...)
}

// responseBody is the JSON body of a response that isn't streamed.
type responseBody struct {
	ID string `json:"id"`
	// Object is the response's type: "text_completion" or "chat.completion".
	Object string `json:"object"`
	// Created is the creation time in Unix seconds.
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   *usageFields     `json:"usage"`
}

// responseChoice is the only choice of a response: Text is set for a text completion
// and Message for a chat completion.
type responseChoice struct {
	// Index is the choice's position, which is always 0.
	Index   int              `json:"index"`
	Text    *string          `json:"text,omitempty"`
	Message *responseMessage `json:"message,omitempty"`
	// FinishReason says why the output ended.
	FinishReason string `json:"finish_reason"`
}

// responseMessage is the assistant's message in a chat completion.
type responseMessage struct {
	// Role is always "assistant".
	Role string `json:"role"`
	// Content is the whole output text.
	Content string `json:"content"`
}

// EncodeResponse encodes the complete response as one JSON object, for a request that
// isn't streamed.
func (e *Encoder) EncodeResponse(text, reason string, u Usage) ([]byte, error) {
	choice := responseChoice{FinishReason: reason}
	object := "text_completion"
	if e.kind == ChatCompletion {
		object = "chat.completion"
		choice.Message = &responseMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return json.Marshal(responseBody{
		ID:      e.id,
		Object:  object,
		Created: e.created,
		Model:   e.model,
		Choices: []responseChoice{choice},
		Usage:   u.fields(),
	})
}

// modelList is the JSON body of a list of models.
type modelList struct {
	// Object is always "list".
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is a model in the list.
type modelEntry struct {
	// ID is the model's name.
	ID string `json:"id"`
	// Object is always "model".
	Object string `json:"object"`
	// Created is always 0. The API requires the field.
	Created int64 `json:"created"`
	// OwnedBy is always "sycamorecart".
	OwnedBy string `json:"owned_by"`
}

// Models encodes the names as the API's list of models.
func Models(names []string) ([]byte, error) {
	list := modelList{Object: "list", Data: make([]modelEntry, 0, len(names))}
	for _, name := range names {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "sycamorecart"})
	}
	return json.Marshal(list)
}

// hexDigits are the digits for escapes in appendString.
const hexDigits = "0123456789abcdef"

// appendString appends s as a JSON string with quotes. It escapes quotes, backslashes
// and control characters.
func appendString(b []byte, s string) []byte {
	b = append(b, '"')
	for i := 0; i < len(s); i++ {
		c := s[i]
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c == '\n':
			b = append(b, '\\', 'n')
		case c < ' ':
			b = append(b, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
