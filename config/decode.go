package config

import (
	"bytes"
	"errors"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// durationError is a duration that cannot be read. The library does not tell
// custom decoders where a value stands, so that is looked up afterwards.
type durationError struct{ text string }

func (e *durationError) Error() string {
	return "must be a duration such as 300ms, 5s or 2m"
}

// DecodeStrict decodes a YAML document and refuses unknown and repeated keys
// and further documents. Its errors name line and column where there is one.
// The library panics on some malformed documents, which is an error here.
func DecodeStrict(data []byte, into any) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = ErrInvalid.New("malformed document: %v", reason)
		}
	}()
	return decodeStrict(data, into)
}

func decodeStrict(data []byte, into any) error {
	err := yaml.NewDecoder(bytes.NewReader(data), strictOptions()...).Decode(into)
	var duration *durationError
	if !errors.As(err, &duration) {
		return err
	}
	file, parseErr := parser.ParseBytes(data, 0)
	if parseErr != nil || len(file.Docs) == 0 {
		return err
	}
	return locate(file.Docs[0].Body, duration)
}

// DecodeNode is DecodeStrict for a part of a document.
func DecodeNode(node ast.Node, into any) error {
	err := yaml.NodeToValue(node, into, strictOptions()...)
	var duration *durationError
	if errors.As(err, &duration) {
		return locate(node, duration)
	}
	return err
}

func strictOptions() []yaml.DecodeOption {
	return []yaml.DecodeOption{yaml.Strict(), yaml.DisallowUnknownField(), yaml.CustomUnmarshaler(decodeDuration)}
}

func decodeDuration(into *time.Duration, data []byte) error {
	var text string
	if err := yaml.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &durationError{text: text}
	}
	*into = parsed
	return nil
}

// locate adds the place of the first value that reads as the duration's text.
func locate(node ast.Node, wrong *durationError) error {
	finder := &valueFinder{text: wrong.text}
	ast.Walk(finder, node)
	if finder.found == nil {
		return wrong
	}
	return &yaml.SyntaxError{Message: wrong.Error(), Token: finder.found.GetToken()}
}

type valueFinder struct {
	text  string
	found ast.Node
}

// Visit looks at the values of mappings.
func (f *valueFinder) Visit(node ast.Node) ast.Visitor {
	pair, ok := node.(*ast.MappingValueNode)
	if ok && f.found == nil && pair.Value.Type() != ast.MappingType && pair.Value.GetToken().Value == f.text {
		f.found = pair.Value
	}
	return f
}
