package config

// This file owns the decoding of discovery's responses, which arrive in pieces and may be longer than the memory of the process.
// It must never hold more of a response than the event that it is in, nor more than maxWorkerText of one worker's entry.

import (
	"fmt"

	"github.com/tidwall/gjson"
)

const (
	// maxEventWorkers is the maximum number of workers in one event, valid or not.
	maxEventWorkers = 16_384
	// maxEventText is the maximum length of one event in bytes, with what surrounds it.
	maxEventText = 4 << 20
	// maxWorkerText is the maximum length of a worker's entry in bytes, that of any message. A longer entry is invalid.
	maxWorkerText = 16 << 10
	// maxTokenText is the number of bytes that are kept of a key or of a value other than a worker's entry.
	maxTokenText = 256
	// maxInvalidWorkers is the maximum number of errors that are kept for the invalid workers of one event.
	maxInvalidWorkers = 16
)

// level is a nesting level of a response that the decoder reads value by value. Each level is within the one before.
type level int

const (
	levelResponse level = iota // {"cursor":N,"cmds":[...]}
	levelEvents                // the array of cmds
	levelEvent                 // {"cursor":N,"nodes":{...}}
	levelList                  // {"complete":false,"members":[...]}
	levelWorkers               // the array of members
	levelCount    = iota
)

// isArray reports whether the level is an array. The other levels are objects.
func (l level) isArray() bool { return l == levelEvents || l == levelWorkers }

// childKeys holds the key of each object level whose value is the next level.
var childKeys = [levelCount]string{levelResponse: "cmds", levelEvent: "nodes", levelList: "members"}

// expectation is what may follow at the present level.
type expectation int

const (
	expectResponse   expectation = iota // the opening brace of the response
	expectKeyOrEnd                      // the first key of an object
	expectKey                           // a key after a comma
	expectColon                         // the colon after a key
	expectValueOrEnd                    // the first element of an array
	expectValue                         // a value after a colon or a comma
	expectCommaOrEnd                    // what follows a value
	expectNothing                       // the response is complete
)

// UpdateDecoder decodes a response of discovery piece by piece. It passes on each event as soon as the event is complete, so
// that the length of a response has no limit. The zero value is not valid; see NewUpdateDecoder.
type UpdateDecoder struct {
	emit    func(Event, []error)
	level   level
	expect  expectation
	key     string // the latest key of the present level
	cursor  int64
	read    int // number of bytes read since the last event was passed on
	event   Event
	workers int     // number of workers of the event, valid or not
	errs    []error // one for each invalid worker of the event, maxInvalidWorkers at most

	token token // the token that the decoder is in
}

// NewUpdateDecoder returns a decoder that calls emit with each event, and with one error for each worker that was left out, a
// *WorkerError unless the worker has no ID. Errors beyond maxInvalidWorkers are left out.
func NewUpdateDecoder(emit func(event Event, invalidWorkers []error)) *UpdateDecoder {
	return &UpdateDecoder{emit: emit}
}

// Write decodes the next piece of the response. After an error, which wraps ErrConfig, the decoder must not be used any more.
// The events before the invalid place have been passed on.
func (d *UpdateDecoder) Write(piece []byte) error {
	for len(piece) > 0 {
		used, err := d.decode(piece)
		if err != nil {
			return err
		}
		if d.read += used; d.read > maxEventText {
			return fmt.Errorf("%w: an event of more than %d bytes", ErrConfig, maxEventText)
		}
		piece = piece[used:]
	}
	return nil
}

// End returns the cursor of the response. It returns an error that wraps ErrConfig if the response is not complete.
func (d *UpdateDecoder) End() (cursor int64, err error) {
	switch d.expect {
	case expectNothing:
		return d.cursor, nil
	case expectResponse:
		return 0, errNotAnObject
	}
	return 0, errInvalidJSON
}

// decode decodes the beginning of a piece, which is not empty, and returns the number of bytes used.
func (d *UpdateDecoder) decode(piece []byte) (used int, err error) {
	if d.token.kind != tokenNone {
		used, complete := d.token.read(piece)
		if !complete {
			return used, nil
		}
		return used, d.useToken()
	}
	switch c := piece[0]; c {
	case ' ', '\t', '\r', '\n':
		return 1, nil
	case '{', '[':
		return 1, d.open(c)
	case '}', ']':
		return 1, d.close(c)
	case ',':
		return 1, d.comma()
	case ':':
		return 1, d.advance(expectColon, expectValue)
	case '"':
		return 1, d.beginString()
	}
	return 0, d.beginScalar()
}

// advance moves from one expectation to the next. It returns an error if the first one does not hold.
func (d *UpdateDecoder) advance(from, to expectation) error {
	if d.expect != from {
		return errInvalidJSON
	}
	d.expect = to
	return nil
}

func (d *UpdateDecoder) comma() error {
	if d.level.isArray() {
		return d.advance(expectCommaOrEnd, expectValue)
	}
	return d.advance(expectCommaOrEnd, expectKey)
}

func (d *UpdateDecoder) expectsValue() bool {
	return d.expect == expectValue || d.expect == expectValueOrEnd
}

// open begins an object or an array: the next level, or a value that is read as a whole.
func (d *UpdateDecoder) open(bracket byte) error {
	switch {
	case d.expect == expectResponse && bracket == '{':
		d.expect = expectKeyOrEnd
	case d.expect == expectResponse:
		return errNotAnObject
	case !d.expectsValue():
		return errInvalidJSON
	case d.opensNextLevel(bracket):
		d.enter(d.level + 1)
	default:
		d.token.beginContainer(bracket, d.containerLimit())
	}
	return nil
}

// opensNextLevel reports whether a bracket that stands for a value begins the next level.
func (d *UpdateDecoder) opensNextLevel(bracket byte) bool {
	switch d.level {
	case levelEvents:
		return bracket == '{'
	case levelWorkers:
		return false
	case levelEvent:
		return bracket == '{' && d.key == childKeys[d.level]
	default:
		return bracket == '[' && d.key == childKeys[d.level]
	}
}

// containerLimit returns the number of bytes to keep of an object or array: those of a worker's entry, and none of others.
func (d *UpdateDecoder) containerLimit() int {
	if d.level == levelWorkers {
		return maxWorkerText
	}
	return 0
}

// enter begins a level.
func (d *UpdateDecoder) enter(next level) {
	d.level, d.expect = next, expectKeyOrEnd
	switch {
	case next.isArray():
		d.expect = expectValueOrEnd
	case next == levelEvent:
		d.event, d.workers, d.errs = Event{}, 0, nil
	case next == levelList:
		d.event.HasList = true
	}
}

// close ends the present level.
func (d *UpdateDecoder) close(bracket byte) error {
	isArray, empty := d.level.isArray(), expectKeyOrEnd
	if isArray {
		empty = expectValueOrEnd
	}
	if isArray != (bracket == ']') || d.expect != expectCommaOrEnd && d.expect != empty {
		return errInvalidJSON
	}
	d.expect = expectCommaOrEnd
	switch d.level {
	case levelResponse:
		d.expect = expectNothing
		return nil
	case levelEvent:
		d.emit(d.event, d.errs)
		d.read = 0
	}
	d.level--
	return nil
}

func (d *UpdateDecoder) beginString() error {
	isKey := d.expect == expectKey || d.expect == expectKeyOrEnd
	if !isKey && !d.expectsValue() {
		return errInvalidJSON
	}
	d.token.begin(tokenString, maxTokenText)
	return nil
}

func (d *UpdateDecoder) beginScalar() error {
	switch {
	case d.expect == expectResponse:
		return errNotAnObject
	case !d.expectsValue():
		return errInvalidJSON
	}
	d.token.begin(tokenScalar, maxTokenText)
	return nil
}

// useToken uses the token, which is complete.
func (d *UpdateDecoder) useToken() error {
	kind, text := d.token.kind, d.token.text
	d.token.kind = tokenNone
	switch {
	case kind == tokenContainer:
		return d.useContainer()
	case d.expect == expectKey || d.expect == expectKeyOrEnd:
		d.key, d.expect = string(text), expectColon
		return nil
	case kind == tokenString:
		text = fmt.Appendf(nil, `"%s"`, text)
	}
	isLongString := kind == tokenString && d.token.truncated // it is not used, so that its end may be missing
	if !isLongString && (d.token.truncated || !gjson.ValidBytes(text)) {
		return errInvalidJSON
	}
	return d.useScalar(gjson.ParseBytes(text))
}

// useScalar uses a string, a number or a literal that is a value of the present level.
func (d *UpdateDecoder) useScalar(value gjson.Result) error {
	d.expect = expectCommaOrEnd
	switch {
	case d.level == levelResponse && d.key == "cursor":
		d.cursor = value.Int()
	case d.level == levelEvent && d.key == "cursor":
		d.event.Cursor = value.Int()
	case d.level == levelList && d.key == "complete":
		d.event.Complete = value.Bool()
	case d.level == levelWorkers:
		return d.addWorker(value)
	}
	return nil
}

// useContainer uses an object or an array that was read as a whole.
func (d *UpdateDecoder) useContainer() error {
	d.expect = expectCommaOrEnd
	if d.level != levelWorkers {
		return nil
	}
	if d.token.truncated {
		d.addError(fmt.Errorf("%w: a member of more than %d bytes", ErrConfig, maxWorkerText))
		return nil
	}
	if !gjson.ValidBytes(d.token.text) {
		return errInvalidJSON
	}
	return d.addWorker(gjson.ParseBytes(d.token.text))
}

// addWorker adds a worker's entry to the event, or an error if the entry is invalid.
func (d *UpdateDecoder) addWorker(object gjson.Result) error {
	if d.workers++; d.workers > maxEventWorkers {
		return fmt.Errorf("%w: an event with more than %d members", ErrConfig, maxEventWorkers)
	}
	worker, err := parseWorker(object)
	if err != nil {
		d.addError(err)
		return nil
	}
	d.event.Workers = append(d.event.Workers, worker)
	return nil
}

func (d *UpdateDecoder) addError(err error) {
	if len(d.errs) < maxInvalidWorkers {
		d.errs = append(d.errs, err)
	}
}
