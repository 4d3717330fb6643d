package simwire

// This file reads batches: it splits the input into lines, and handles the BATCH and FLUSH lines around a batch and the
// pages of workers that later messages refer to. A call of Next never waits for a line after the end of its batch. The
// fields of messages and rows are read in messages.go.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"ravenhitch/placement"
)

const (
	bufferSize = 1 << 16 // bytes
	maxPages   = 16      // maximum number of pages, which are numbered from 0
)

// Decoder reads batches from the simulator. It is not safe for concurrent use.
type Decoder struct {
	reader *bufio.Reader
	pages  [maxPages]page
	line   int    // number of the last line read, counted from 1
	seq    string // sequence number of the last batch whose first line was valid, "-" before the first batch
}

// page is a list of workers that ENDPOINTS messages refer to.
type page struct {
	entries []placement.Entry
	sent    bool // true once the input has contained the page
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, bufferSize), seq: "-"}
}

// readLine returns the next line without its line ending. It returns io.EOF only if no byte is left, and
// io.ErrUnexpectedEOF if the last line has no newline.
func (d *Decoder) readLine() (string, error) {
	line, err := d.reader.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		d.line++
		return "", io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	d.line++
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

// readInnerLine returns the next line within a batch. It returns io.ErrUnexpectedEOF if the input ends.
func (d *Decoder) readInnerLine() (string, error) {
	line, err := d.readLine()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return line, err
}

// syntaxError returns a SyntaxError that wraps err and names the current batch and line.
func (d *Decoder) syntaxError(err error) error {
	return &SyntaxError{Batch: d.seq, Line: d.line, Err: err}
}

// Next reads one batch. It returns io.EOF if the input ends between batches, and a
// *SyntaxError if the input is malformed, ends within a batch or cannot be read.
func (d *Decoder) Next() (Batch, error) {
	line, err := d.readLine()
	for err == nil && line == "" {
		line, err = d.readLine()
	}
	if errors.Is(err, io.EOF) {
		return Batch{}, io.EOF
	}
	if err != nil {
		return Batch{}, d.syntaxError(fmt.Errorf("expected a BATCH line: %w", err))
	}
	batch, err := d.parseHeader(line)
	if err != nil {
		return batch, d.syntaxError(err)
	}
	d.seq = batch.Seq
	for {
		line, err := d.readInnerLine()
		if err != nil {
			return batch, d.syntaxError(fmt.Errorf("expected a message or FLUSH: %w", err))
		}
		if line == "" {
			continue
		}
		if line == "FLUSH" {
			return batch, nil
		}
		if err := d.parseMessage(&batch, line); err != nil {
			return batch, d.syntaxError(err)
		}
	}
}

// parseHeader parses the first line of a batch.
func (d *Decoder) parseHeader(line string) (Batch, error) {
	f := newFields(line)
	if f.next() != "BATCH" {
		return Batch{}, fmt.Errorf("expected BATCH, got %.40q", line)
	}
	batch := Batch{NowUs: f.int("clock"), Seq: f.next()}
	return batch, f.end()
}

// parseMessage parses a message and adds it to the batch. If the message is a page, it stores the page in the
// Decoder instead.
func (d *Decoder) parseMessage(batch *Batch, line string) error {
	f := newFields(line)
	name := f.next()
	if name == "SNAPSHOT_ROWS" {
		return d.readPage(f)
	}
	decode, known := messageDecoders[name]
	if !known {
		return fmt.Errorf("unknown message %.40q", name)
	}
	item := Item{Kind: EventReceived, Instance: int(f.int("PlacerId"))}
	if err := decode(d, f, &item); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if err := f.end(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	batch.Items = append(batch.Items, item)
	return nil
}

// readPage reads the rows of a page, which replaces the previous page of the same number.
func (d *Decoder) readPage(f *fields) error {
	number, rows := f.int("Page"), f.int("Hosts")
	if err := f.end(); err != nil {
		return fmt.Errorf("SNAPSHOT_ROWS: %w", err)
	}
	if number < 0 || number >= maxPages || rows < 0 {
		return fmt.Errorf("SNAPSHOT_ROWS: page %d with %d entries is out of range", number, rows)
	}
	var entries []placement.Entry
	for range rows {
		line, err := d.readInnerLine()
		if err != nil {
			return fmt.Errorf("expected a ROW: %w", err)
		}
		entry, err := parseRow(line)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	d.pages[number] = page{entries: entries, sent: true}
	return nil
}
