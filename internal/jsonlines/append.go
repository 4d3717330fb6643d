package jsonlines

// This file owns the writing of messages. A string that Parse has read must be written with the same meaning, also
// where it contains lone surrogates.

import "strconv"

const hexDigits = "0123456789abcdef"

// shortEscapes gives the letter behind the backslash for the bytes that have a short escape.
var shortEscapes = [256]byte{'"': '"', '\\': '\\', '\b': 'b', '\f': 'f', '\n': 'n', '\r': 'r', '\t': 't'}

// Append appends m as a line.
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

// appendString appends text as a JSON string.
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

// isLoneSurrogate reports whether text begins with the three bytes that the scanner stores for a lone surrogate.
func isLoneSurrogate(text string) bool {
	return text[0] == 0xed && len(text) > 2 && text[1] >= 0xa0
}

// appendCodeUnit appends a UTF-16 code unit as an escape of four digits.
func appendCodeUnit(dst []byte, unit int) []byte {
	return append(dst, '\\', 'u', hexDigits[unit>>12], hexDigits[unit>>8&15], hexDigits[unit>>4&15], hexDigits[unit&15])
}
