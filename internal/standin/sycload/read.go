package sycload

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
)

// maxLine is the largest length of a line of an event stream, in bytes.
const maxLine = 1 << 20

// chunk is the JSON of one event of a stream, or of a response that isn't streamed.
type chunk struct {
	Choices []struct {
		// Text is the text of a text completion, Delta.Content of a streamed chat and
		// Message.Content of a chat that isn't streamed.
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		// FinishReason is set in the last event with tokens or after it.
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
	// Error is set in an event that reports a failure after the stream began.
	Error json.RawMessage `json:"error"`
}

// readStream reads server-sent events until [DONE] or a fault.
func (x *modelExchange) readStream(response *http.Response) {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	finished := false
	for lines.Scan() {
		if id, ok := bytes.CutPrefix(lines.Bytes(), []byte("id:")); ok && !x.inOrder(id) {
			x.outcome.verdict, x.outcome.reason = Wrong, "a token is out of order"
			return
		}
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			if !finished {
				x.outcome.verdict, x.outcome.reason = Wrong, "[DONE] came before a finish reason"
			}
			return
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			x.outcome.verdict, x.outcome.reason = Wrong, "a chunk isn't JSON"
			return
		}
		if c.Error != nil {
			x.interrupt("an error in the stream")
			return
		}
		finished = x.applyChunk(c) || finished
	}
	x.interrupt("the stream broke off")
}

// inOrder reports whether an event's id is the index of the next token, counted from 0.
func (x *modelExchange) inOrder(id []byte) bool {
	n, err := strconv.Atoi(string(bytes.TrimSpace(id)))
	return err == nil && n == len(x.tokens)
}

// applyChunk adds the chunk's tokens and usage, and reports whether the chunk has a
// finish reason.
func (x *modelExchange) applyChunk(c chunk) (finished bool) {
	if c.Usage != nil {
		x.outcome.usage = *c.Usage
	}
	for _, choice := range c.Choices {
		if text := choice.Text + choice.Delta.Content; text != "" {
			x.addToken(text)
		}
		finished = finished || choice.FinishReason != nil && *choice.FinishReason != ""
	}
	return finished
}

// readUnary reads a response that isn't streamed.
func (x *modelExchange) readUnary(response *http.Response) {
	var c chunk
	if err := json.NewDecoder(response.Body).Decode(&c); err != nil {
		x.interrupt("the response ended early")
		return
	}
	if c.Usage != nil {
		x.outcome.usage = *c.Usage
	}
	for _, choice := range c.Choices {
		x.tokens = append(x.tokens, choice.Message.Content)
	}
}
