package caller

import (
	"bytes"
	"encoding/json"
	"slices"
)

// wholeAnswer merges streamed events into one answer without streaming.
type wholeAnswer struct {
	protocol protocol
	envelope object
	choices  map[int64]object
}

// object is a JSON object with arbitrary fields.
type object map[string]any

// omittedFields lists the fields of an event that aren't copied into the whole answer.
var omittedFields = []string{"hornbeamwood", "choices", "object"}

func newWholeAnswer(p protocol) *wholeAnswer {
	return &wholeAnswer{protocol: p, envelope: object{}, choices: map[int64]object{}}
}

func (w *wholeAnswer) add(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var o object
	if err := d.Decode(&o); err != nil {
		return err
	}
	choices, _ := o["choices"].([]any)
	for _, c := range choices {
		if fields, ok := c.(map[string]any); ok {
			w.addChoice(fields)
		}
	}
	for _, n := range omittedFields {
		delete(o, n)
	}
	for n, v := range o {
		if v != nil {
			w.envelope[n] = v
		}
	}
	return nil
}

func (w *wholeAnswer) addChoice(fields object) {
	number, _ := fields["index"].(json.Number)
	index, _ := number.Int64()
	choice, ok := w.choices[index]
	if !ok {
		choice = object{"index": index, "finish_reason": nil}
		w.choices[index] = choice
	}
	delete(fields, "index")
	if v, ok := fields[w.protocol.delta]; ok {
		delete(fields, w.protocol.delta)
		choice[w.protocol.whole] = merge(w.protocol.whole, choice[w.protocol.whole], v)
	}
	for n, v := range fields {
		choice[n] = merge(n, choice[n], v)
	}
}

// body returns the whole answer with its choices in order of their indexes.
func (w *wholeAnswer) body() object {
	indexes := make([]int64, 0, len(w.choices))
	for i := range w.choices {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	list := make([]object, 0, len(indexes))
	for _, i := range indexes {
		list = append(list, w.complete(w.choices[i]))
	}
	w.envelope["object"] = w.protocol.object
	w.envelope["choices"] = list
	return w.envelope
}

// complete adds the fields that clients expect in each choice.
func (w *wholeAnswer) complete(choice object) object {
	if w.protocol.whole != "message" {
		return choice
	}
	m, ok := choice["message"].(map[string]any)
	if !ok {
		m = object{}
	}
	if _, ok := m["role"]; !ok {
		m["role"] = "assistant"
	}
	if _, ok := m["content"]; !ok {
		m["content"] = nil
	}
	choice["message"] = m
	return choice
}

// repeatedFields lists the text fields that each event repeats instead of continuing them.
var repeatedFields = []string{"role", "id", "type", "finish_reason", "stop_reason"}

// merge returns the value of a field after an event: texts are concatenated,
// objects and lists are merged, and other values are replaced. Texts of
// repeatedFields are replaced, too.
func merge(name string, old, v any) any {
	if v == nil {
		return old
	}
	switch v := v.(type) {
	case string:
		if s, ok := old.(string); ok && !slices.Contains(repeatedFields, name) {
			return s + v
		}
	case map[string]any:
		if o, ok := old.(map[string]any); ok {
			return mergeObject(o, v)
		}
		return mergeObject(object{}, v)
	case []any:
		list, _ := old.([]any)
		return mergeList(list, v)
	}
	return v
}

func mergeObject(o, v map[string]any) map[string]any {
	for n, f := range v {
		o[n] = merge(n, o[n], f)
	}
	return o
}

// mergeList merges elements with an index, as tool calls have one, and appends the others.
func mergeList(list, v []any) []any {
	for _, e := range v {
		i := slices.IndexFunc(list, func(have any) bool { return sameIndex(have, e) })
		if i < 0 {
			list = append(list, merge("", nil, e))
			continue
		}
		list[i] = merge("", list[i], e)
	}
	return list
}

func sameIndex(a, b any) bool {
	x, ok := a.(map[string]any)
	if !ok {
		return false
	}
	y, ok := b.(map[string]any)
	return ok && x["index"] != nil && x["index"] == y["index"]
}
