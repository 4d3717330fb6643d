package config

// This file owns the tokens of a response of discovery that may be longer than a piece of it. It must not keep more of a token
// than its limit.

// tokenKind is the kind of a token.
type tokenKind int

const (
	tokenNone      tokenKind = iota
	tokenString              // a key or a string
	tokenScalar              // a number or a literal
	tokenContainer           // an object or an array that is read as a whole: a worker's entry, or a value that is not used
)

// token is a part of a response that is read piece by piece. The zero value is no token.
type token struct {
	kind      tokenKind
	text      []byte // the beginning of the token, up to maxText bytes; without the quotes of a string
	maxText   int
	truncated bool // the token is longer than maxText
	nesting   int  // number of open brackets in a tokenContainer
	inString  bool
	escaped   bool // the byte before was an unescaped backslash in a string
}

// begin begins a token of which the first maxText bytes are kept. For a string, the opening quote has been read.
func (t *token) begin(kind tokenKind, maxText int) {
	*t = token{kind: kind, text: t.text[:0], maxText: maxText, inString: kind == tokenString}
}

// beginContainer begins an object or an array whose opening bracket has been read.
func (t *token) beginContainer(bracket byte, maxText int) {
	t.begin(tokenContainer, maxText)
	t.keep([]byte{bracket})
	t.nesting = 1
}

// keep appends a part of the token to its text.
func (t *token) keep(part []byte) {
	if room := t.maxText - len(t.text); len(part) > room {
		part, t.truncated = part[:room], true
	}
	t.text = append(t.text, part...)
}

// read reads the next piece of the response, and returns the number of bytes used. complete is true once the token is complete.
func (t *token) read(piece []byte) (used int, complete bool) {
	switch t.kind {
	case tokenString:
		return t.readString(piece)
	case tokenScalar:
		return t.readScalar(piece)
	default:
		return t.readContainer(piece)
	}
}

// readString reads up to the closing quote, which is used but not kept.
func (t *token) readString(piece []byte) (used int, complete bool) {
	for used < len(piece) && t.inString {
		t.stepString(piece[used])
		used++
	}
	if t.inString {
		t.keep(piece[:used])
		return used, false
	}
	t.keep(piece[:used-1])
	return used, true
}

// readScalar reads up to the byte that follows the number or the literal, which is not used.
func (t *token) readScalar(piece []byte) (used int, complete bool) {
	for used < len(piece) && !isDelimiter(piece[used]) {
		used++
	}
	t.keep(piece[:used])
	return used, used < len(piece)
}

// readContainer reads up to the closing bracket.
func (t *token) readContainer(piece []byte) (used int, complete bool) {
	for used < len(piece) && t.nesting > 0 {
		t.stepContainer(piece[used])
		used++
	}
	t.keep(piece[:used])
	return used, t.nesting == 0
}

// stepContainer reads one byte of an object or an array.
func (t *token) stepContainer(c byte) {
	switch {
	case t.inString:
		t.stepString(c)
	case c == '"':
		t.inString = true
	case c == '{' || c == '[':
		t.nesting++
	case c == '}' || c == ']':
		t.nesting--
	}
}

// stepString reads one byte of a string.
func (t *token) stepString(c byte) {
	switch {
	case t.escaped:
		t.escaped = false
	case c == '\\':
		t.escaped = true
	case c == '"':
		t.inString = false
	}
}

// isDelimiter reports whether a byte ends a number or a literal.
func isDelimiter(c byte) bool {
	switch c {
	case ',', ':', '{', '}', '[', ']', '"', ' ', '\t', '\r', '\n':
		return true
	}
	return false
}
