package jsonlines

// This file owns the parsing of a message from its JSON object. Unknown members of the object are skipped.

import "strconv"

// parser parses one message.
type parser struct {
	scanner
	message Message
}

// Parse parses one line, given without its line feed. Its errors wrap ErrMessage.
func Parse(line []byte) (Message, error) {
	p := parser{scanner: scanner{text: line}}
	if err := p.object(p.member); err != nil {
		return Message{}, err
	}
	if p.skipSpace(); p.offset != len(line) {
		return Message{}, p.expected("the end of the line")
	}
	if p.message.Verb == "" {
		return Message{}, ErrNoVerb
	}
	return p.message, nil
}

// member parses the value of the named member of the message's JSON object.
func (p *parser) member(name string) (err error) {
	switch name {
	case "verb":
		p.message.Verb, err = p.str()
	case "tag":
		p.message.Tag, err = p.str()
	case "blob":
		err = p.blob()
	case "rc":
		err = p.code()
	case "opts":
		err = p.fields()
	default:
		err = p.skipValue(0)
	}
	return err
}

// blob parses the member "blob". A value that is not a string counts as absent.
func (p *parser) blob() (err error) {
	if p.peek() != '"' {
		return p.skipValue(0)
	}
	p.message.HasBlob = true
	p.message.Blob, err = p.str()
	return err
}

// code parses the outcome code in the member "rc". A null counts as absent.
func (p *parser) code() error {
	if p.peek() == 'n' {
		return p.skipValue(0)
	}
	text, err := p.number()
	if err != nil {
		return err
	}
	if p.message.RC, err = strconv.Atoi(text); err != nil {
		return p.expected("a whole number as rc")
	}
	p.message.HasRC = true
	return nil
}

// fields parses the fields in the member "opts". A null counts as an empty object.
func (p *parser) fields() error {
	if p.peek() == 'n' {
		return p.skipValue(0)
	}
	p.message.Opts = p.message.Opts[:0]
	return p.object(p.field)
}

// field parses the value of the named field. A field whose value is neither a string nor a number is skipped.
func (p *parser) field(name string) error {
	var value string
	var err error
	switch first := p.peek(); {
	case first == '"':
		value, err = p.str()
	case startsNumber(first):
		value, err = p.number()
	default:
		return p.skipValue(0)
	}
	p.message.Opts = append(p.message.Opts, Field{name, value})
	return err
}
