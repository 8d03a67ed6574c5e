package config

import (
	"bytes"
	"errors"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// durationError reports an invalid duration. The YAML library does not give custom
// decoders the position of a value, so addPosition looks it up afterwards.
type durationError struct{ text string }

func (e *durationError) Error() string {
	return "must be a duration such as 300ms, 5s or 2m"
}

// DecodeStrict decodes a YAML document and rejects unknown and duplicate keys. Its
// errors name the line and column if known. The library's panics on some malformed
// documents are returned as errors.
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
	return addPosition(file.Docs[0].Body, duration)
}

// DecodeNode decodes a node of a document, like DecodeStrict.
func DecodeNode(node ast.Node, into any) error {
	err := yaml.NodeToValue(node, into, strictOptions()...)
	var duration *durationError
	if errors.As(err, &duration) {
		return addPosition(node, duration)
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

// addPosition adds the position of the first value that equals the duration's text.
func addPosition(node ast.Node, cause *durationError) error {
	finder := &valueFinder{text: cause.text}
	ast.Walk(finder, node)
	if finder.found == nil {
		return cause
	}
	return &yaml.SyntaxError{Message: cause.Error(), Token: finder.found.GetToken()}
}

type valueFinder struct {
	text  string
	found ast.Node
}

// Visit implements ast.Visitor: it records the first matching value of a mapping.
func (f *valueFinder) Visit(node ast.Node) ast.Visitor {
	mapping, ok := node.(*ast.MappingValueNode)
	if ok && f.found == nil && mapping.Value.Type() != ast.MappingType && mapping.Value.GetToken().Value == f.text {
		f.found = mapping.Value
	}
	return f
}
