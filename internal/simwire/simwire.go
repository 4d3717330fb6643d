// Package wire turns the simulator's text lines into events for placers and
// placers' actions into lines. It knows no policy.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"ravenhitch/placement"
)

// ItemKind says what an Item carries.
type ItemKind int

// The kinds of item.
const (
	Start  ItemKind = iota // Settings and Seed of a new instance
	Stop                   // the instance is killed
	Happen                 // Event
	Ignore                 // a message that means nothing to a placer
)

// Item is one event of a batch, for one instance.
type Item struct {
	Kind     ItemKind
	Inst     int
	Seed     uint64
	Settings placement.Settings
	Event    placement.Event
}

// Batch is what happened at one moment.
type Batch struct {
	NowUs int64
	Seq   string
	Items []Item
}

// SyntaxError tells where the input departs from the wire.
type SyntaxError struct {
	Batch string
	Line  int
	Err   error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("batch %s, line %d: %v", e.Batch, e.Line, e.Err)
}

func (e *SyntaxError) Unwrap() error { return e.Err }

// Decoder reads batches.
type Decoder struct {
	r     *bufio.Reader
	pages [16][]placement.Entry
	known [16]bool
	line  int
	seq   string
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16), seq: "-"}
}

// readLine returns the next line; io.EOF only where no byte was left.
func (d *Decoder) readLine() (string, error) {
	s, err := d.r.ReadString('\n')
	if err == io.EOF && s != "" {
		d.line++
		return "", io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	d.line++
	return strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), nil
}

func (d *Decoder) fail(err error) error {
	return &SyntaxError{Batch: d.seq, Line: d.line, Err: err}
}

// Next reads one batch. It returns io.EOF where input ends between batches.
func (d *Decoder) Next() (Batch, error) {
	var b Batch
	s, err := d.readLine()
	for err == nil && s == "" {
		s, err = d.readLine()
	}
	if err == io.EOF {
		return b, err
	}
	if err != nil {
		return b, d.fail(fmt.Errorf("expected a BATCH line: %w", err))
	}
	f := fields{parts: strings.Split(s, " ")}
	if f.next() != "BATCH" {
		return b, d.fail(fmt.Errorf("expected BATCH, got %.40q", s))
	}
	b.NowUs, b.Seq = f.int("clock"), f.next()
	if err := f.end(); err != nil {
		return b, d.fail(err)
	}
	d.seq = b.Seq
	for {
		s, err := d.readLine()
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return b, d.fail(fmt.Errorf("expected an event or FLUSH: %w", err))
		}
		if s == "" {
			continue
		}
		if s == "FLUSH" {
			return b, nil
		}
		if err := d.item(&b, s); err != nil {
			return b, d.fail(err)
		}
	}
}

// item decodes one event line, and the ROW lines that belong to it.
func (d *Decoder) item(b *Batch, s string) error {
	f := &fields{parts: strings.Split(s, " ")}
	word := f.next()
	if word == "SNAPSHOT_ROWS" {
		return d.rows(f)
	}
	dec, ok := decoders[word]
	if !ok {
		return fmt.Errorf("unknown message %.40q", word)
	}
	it := Item{Kind: Happen, Inst: int(f.int("PlacerId"))}
	if err := dec(d, f, &it); err != nil {
		return fmt.Errorf("%s: %w", word, err)
	}
	if err := f.end(); err != nil {
		return fmt.Errorf("%s: %w", word, err)
	}
	b.Items = append(b.Items, it)
	return nil
}

func (d *Decoder) rows(f *fields) error {
	page, n := f.int("Page"), f.int("Hosts")
	if err := f.end(); err != nil {
		return fmt.Errorf("SNAPSHOT_ROWS: %w", err)
	}
	if page < 0 || int(page) >= len(d.pages) || n < 0 {
		return fmt.Errorf("SNAPSHOT_ROWS: page %d with %d entries is out of range", page, n)
	}
	var list []placement.Entry
	for range n {
		s, err := d.readLine()
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return fmt.Errorf("expected a ROW: %w", err)
		}
		r := &fields{parts: strings.Split(s, " ")}
		if r.next() != "ROW" {
			return fmt.Errorf("expected ROW, got %.40q", s)
		}
		var e placement.Entry
		e.Cell, e.StartedAtUs = int(r.int("Pack")), r.int("StartTimeUs")
		e.Worker, e.Kind, e.Zone = r.text("Machine"), r.next(), r.next()
		r.num("PowerHint")
		e.State = placement.WorkerState(r.int("StageState"))
		e.FreeMemory, e.FreeCores = r.num("UnaskedMemory"), r.num("SpareCpu")
		if err := r.end(); err != nil {
			return fmt.Errorf("ROW: %w", err)
		}
		list = append(list, e)
	}
	d.pages[page], d.known[page] = list, true
	return nil
}

var decoders = map[string]func(*Decoder, *fields, *Item) error{
	"ENLIST": func(_ *Decoder, f *fields, it *Item) error {
		it.Kind, it.Seed = Start, uint64(f.int("Prng"))
		var err error
		it.Settings, err = Settings(f.rest())
		return err
	},
	"DOWN": func(_ *Decoder, _ *fields, it *Item) error {
		it.Kind = Stop
		return nil
	},
	"ENDPOINTS": func(d *Decoder, f *fields, it *Item) error {
		kind := f.int("Scope")
		f.next()
		page := f.next()
		e := placement.WorkerList{Kind: placement.ListKind(kind)}
		if kind < 0 || kind > 3 {
			return fmt.Errorf("unknown Scope %d", kind)
		}
		if e.Kind != placement.ListFailed {
			n, err := strconv.Atoi(page)
			if err != nil || n < 0 || n >= len(d.pages) || !d.known[n] {
				return fmt.Errorf("list page %.20q was never sent", page)
			}
			e.Entries = d.pages[n]
		}
		it.Event = e
		return nil
	},
	"REQUEST": func(_ *Decoder, f *fields, it *Item) error {
		var t placement.Task
		t.RequestID, t.KeyHash = f.text("Ticket"), f.uint("Workload")
		t.DeadlineUs = f.int("DeadlineUs")
		t.Cores, t.Memory = f.num("WantCores"), f.num("MemNeeded")
		t.Class, t.ExpectedRunUs = f.next(), f.int("LastsUs")
		bits := f.int("StateBits")
		t.HasRunHint, t.Retry = bits&1 != 0, bits&16 != 0
		t.Tenant, t.Program = f.next(), f.uint("Program")
		it.Event = placement.Request{Task: t}
		return nil
	},
	"EXISTING": func(_ *Decoder, f *fields, it *Item) error {
		var e placement.Adopted
		e.RequestID, e.Worker = f.text("Ticket"), f.text("Machine")
		bits := f.int("StateBits")
		e.HasRunHint, e.Retry = bits&1 != 0, bits&16 != 0
		e.ExpectedRunUs, e.Tenant = f.int("LastsUs"), f.next()
		e.DeadlineUs, e.KeyHash = f.int("DeadlineUs"), f.uint("Workload")
		e.Class, e.Cores = f.next(), f.num("WantCores")
		e.Program, e.Memory = f.uint("Program"), f.num("MemNeeded")
		it.Event = e
		return nil
	},
	"ACCEPTED": func(_ *Decoder, f *fields, it *Item) error {
		it.Event = placement.Accepted{RequestID: f.text("Ticket"), Attempt: int(f.int("Copy")),
			Worker: f.text("Machine"), RTTUs: f.int("RttUs")}
		return nil
	},
	"DONE": func(_ *Decoder, f *fields, it *Item) error {
		e := placement.AttemptEnded{RequestID: f.text("Ticket"), Cause: placement.Cause(f.int("Info"))}
		e.Final, e.RTTUs = f.int("Closed") == 1, f.int("RttUs")
		e.Outcome, e.Attempt = placement.Outcome(f.int("StateCode")), int(f.int("Copy"))
		e.Worker = f.text("Machine")
		f.load()
		it.Event = e
		return nil
	},
	"PROGRESS": func(_ *Decoder, f *fields, it *Item) error {
		it.Event = placement.TaskReport{RequestID: f.text("Ticket"), Attempt: int(f.int("Copy")),
			Worker: f.text("Machine"), Kind: placement.ReportKind(f.int("What")), Value: f.num("Value")}
		return nil
	},
	"SAMPLED": func(_ *Decoder, f *fields, it *Item) error {
		it.Event = placement.ProbeResult{Worker: f.text("Machine"), Outcome: placement.Outcome(f.int("StateCode")),
			RTTUs: f.int("RttUs"), Load: f.load()}
		return nil
	},
	"BELL": func(_ *Decoder, f *fields, it *Item) error {
		it.Event = placement.TimerFired{Ref: f.text("Ref")}
		return nil
	},
	"TIMED_OUT_CLIENT": func(_ *Decoder, f *fields, it *Item) error {
		it.Event = placement.ClientCancelled{RequestID: f.text("Ticket")}
		return nil
	},
	"DATAGRAM": func(_ *Decoder, f *fields, it *Item) error {
		it.Kind = Ignore
		f.int("From")
		f.next()
		return nil
	},
}

// fields walks the parts of a line and keeps the first error.
type fields struct {
	parts []string
	i     int
	err   error
}

func (f *fields) note(err error) {
	if f.err == nil {
		f.err = err
	}
}

// next returns the next part, "" where it is absent ("-").
func (f *fields) next() string {
	if f.i >= len(f.parts) {
		f.note(fmt.Errorf("expected more than %d parts", len(f.parts)))
		return ""
	}
	s := f.parts[f.i]
	f.i++
	if s == "-" {
		return ""
	}
	return s
}

// text returns the next part, which must be there.
func (f *fields) text(name string) string {
	s := f.next()
	if s == "" {
		f.note(fmt.Errorf("expected %s", name))
	}
	return s
}

func (f *fields) int(name string) int64 {
	s := f.next()
	if s == "" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.note(fmt.Errorf("expected a whole number for %s, got %.40q", name, s))
	}
	return v
}

func (f *fields) uint(name string) uint64 { return uint64(f.int(name)) }

func (f *fields) num(name string) float64 {
	s := f.next()
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.note(fmt.Errorf("expected a number for %s, got %.40q", name, s))
	}
	return v
}

func (f *fields) rest() []string {
	r := f.parts[f.i:]
	f.i = len(f.parts)
	return r
}

func (f *fields) end() error {
	if f.err == nil && f.i != len(f.parts) {
		return fmt.Errorf("expected %d parts, got %d", f.i, len(f.parts))
	}
	return f.err
}

// load reads a load report.
func (f *fields) load() placement.Load {
	nan := math.NaN()
	l := placement.Load{FreeCores: nan, FreeMemory: nan, Utilization: nan, Queued: nan}
	s := f.next()
	if s == "" {
		return l
	}
	for _, pair := range strings.Split(s, ",") {
		name, val, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(val, 64)
		if !ok || err != nil {
			f.note(fmt.Errorf("expected name:value, got %.40q", pair))
			return l
		}
		switch name {
		case "x0":
			l.FreeCores = v
		case "x1":
			l.FreeMemory = v
		case "utilization":
			l.Utilization = v
		case "backlog":
			l.Queued = v
		}
	}
	return l
}

// Encoder writes replies.
type Encoder struct{ w *bufio.Writer }

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{w: bufio.NewWriterSize(w, 1<<16)}
}

// Actions writes the actions of one instance.
func (e *Encoder) Actions(inst int, actions []placement.Action) error {
	for _, a := range actions {
		if err := e.action(inst, a); err != nil {
			return err
		}
	}
	return nil
}

func (e *Encoder) action(inst int, a placement.Action) (err error) {
	switch a := a.(type) {
	case placement.Place:
		_, err = fmt.Fprintf(e.w, "PLACE %d %s %s %d\n", inst, a.RequestID, a.Worker, a.AbandonAtUs)
	case placement.Reject:
		_, err = fmt.Fprintf(e.w, "DENY %d %s 0\n", inst, a.RequestID)
	case placement.Fail:
		_, err = fmt.Fprintf(e.w, "ERROR %d %s\n", inst, a.RequestID)
	case placement.Migrate:
		_, err = fmt.Fprintf(e.w, "MOVE %d %s\n", inst, a.RequestID)
	case placement.Probe:
		_, err = fmt.Fprintf(e.w, "ASK_LOAD %d %s\n", inst, a.Worker)
	case placement.WatchWorkers:
		on := 0
		if a.Active {
			on = 1
		}
		_, err = fmt.Fprintf(e.w, "OBSERVE %d %d\n", inst, on)
	case placement.RefreshWorkers:
		_, err = fmt.Fprintf(e.w, "REFRESH %d\n", inst)
	case placement.CancelAttempt:
		_, err = fmt.Fprintf(e.w, "CANCEL %d %s %d\n", inst, a.RequestID, a.Attempt)
	case placement.SetTimer:
		_, err = fmt.Fprintf(e.w, "SET_ALARM %d %d %s\n", inst, a.OffsetUs, a.Ref)
	case placement.Log:
		_, err = fmt.Fprintf(e.w, "SAY_LOG %d %s\n", inst, oneLine(a.Text))
	default:
		err = fmt.Errorf("cannot write action %T", a)
	}
	return err
}

// Fault reports that the decision code of an instance has failed.
func (e *Encoder) Fault(inst int, text string) error {
	_, err := fmt.Fprintf(e.w, "FAULT %d %s\n", inst, oneLine(text))
	return err
}

// End closes the reply to batch seq and flushes it.
func (e *Encoder) End(seq string) error {
	if _, err := fmt.Fprintf(e.w, "READY %s\n", seq); err != nil {
		return err
	}
	return e.w.Flush()
}

func oneLine(s string) string {
	s = strings.Join(strings.Fields(s), " ")
	if s == "" {
		return "no text"
	}
	return s
}

// ErrSetting is wrapped by errors about the settings of an ENLIST.
var ErrSetting = errors.New("bad setting")
