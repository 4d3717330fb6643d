package jsonlines

// This file owns the encoding of messages. For a string that Parse has decoded, it must write a JSON string that
// decodes to the same value, including any lone surrogates.

import "strconv"

const hexDigits = "0123456789abcdef"

// shortEscapes maps a byte to the letter that follows the backslash in its short escape sequence, or to 0 if the byte
// has none.
var shortEscapes = [256]byte{'"': '"', '\\': '\\', '\b': 'b', '\f': 'f', '\n': 'n', '\r': 'r', '\t': 't'}

// Append appends m to dst as one line, including the line feed, and returns the extended slice.
func Append(dst []byte, m *Message) []byte {
	dst = append(dst, `{"verb":`...)
	dst = appendString(dst, m.Verb)
	dst = append(dst, `,"tag":`...)
	dst = appendString(dst, m.Tag)
	dst = append(dst, `,"opts":{`...)
	for i, f := range m.Opts {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = appendString(dst, f.Name)
		dst = append(dst, ':')
		dst = appendString(dst, f.Value)
	}
	dst = append(dst, '}')
	if m.HasRC {
		dst = append(dst, `,"rc":`...)
		dst = strconv.AppendInt(dst, int64(m.RC), 10)
	}
	if m.HasBlob {
		dst = append(dst, `,"blob":`...)
		dst = appendString(dst, m.Blob)
	}
	return append(dst, '}', '\n')
}

// appendString appends text to dst as a quoted JSON string.
func appendString(dst []byte, text string) []byte {
	dst = append(dst, '"')
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case shortEscapes[c] != 0:
			dst = append(dst, '\\', shortEscapes[c])
		case c < ' ':
			dst = appendCodeUnit(dst, int(c))
		case isLoneSurrogate(text[i:]):
			dst = appendCodeUnit(dst, 0xd000|int(text[i+1]&0x3f)<<6|int(text[i+2]&0x3f))
			i += 2
		default:
			dst = append(dst, c)
		}
	}
	return append(dst, '"')
}

// isLoneSurrogate reports whether text, which must not be empty, begins with the three-byte encoding that the scanner
// uses for a lone surrogate.
func isLoneSurrogate(text string) bool {
	return text[0] == 0xed && len(text) > 2 && text[1] >= 0xa0
}

// appendCodeUnit appends a UTF-16 code unit as an escape sequence with four hexadecimal digits.
func appendCodeUnit(dst []byte, unit int) []byte {
	return append(dst, '\\', 'u', hexDigits[unit>>12], hexDigits[unit>>8&15], hexDigits[unit>>4&15], hexDigits[unit&15])
}
