// Package wire is the protocol between the router and a worker that runs one hook for it: frames over a stream, each
// of a length (4 bytes, little endian), a kind (1 byte) and a body. Numbers in bodies are varints, texts and lists have
// their lengths before them.
//
// The router sends one Load and then Calls; the worker answers the Load with Loaded or Refused, and each Call, in
// their order, with a Reply. Neither side trusts the other's lengths: what is too long, cut off or has bytes left over is
// an error, after which the connection is of no use.
package wire

import (
	"encoding/binary"
	"errors"
	"math"

	"starlingwinch/internal/plugin"
)

// Kinds of frames.
const (
	KindLoad       = 1
	KindCall       = 2
	KindLoaded     = 3
	KindLoadFailed = 4
	KindReply      = 5
)

// Bounds of frames, without the length.
const (
	MaxFrameToWorker = plugin.MaxCode + 4096
	MaxFrameToRouter = 16 << 10
)

const lengthSize = 4

// Errors of frames.
var (
	ErrFrameTooLong   = errors.New("wire: a frame is too long")
	ErrMalformedFrame = errors.New("wire: a frame is malformed")
)

// Next takes the first whole frame off b. kind is 0 where there is none yet.
func Next(b []byte, most int) (kind byte, body, rest []byte, err error) {
	if len(b) < lengthSize {
		return 0, nil, b, nil
	}
	n := binary.LittleEndian.Uint32(b)
	switch {
	case n == 0:
		return 0, nil, b, ErrMalformedFrame
	case uint64(n) > uint64(most):
		return 0, nil, b, ErrFrameTooLong
	case uint64(len(b)-lengthSize) < uint64(n):
		return 0, nil, b, nil
	}
	end := lengthSize + int(n)
	return b[lengthSize], b[lengthSize+1 : end], b[end:], nil
}

// Missing is how many bytes are at least missing from the first frame of b, 0 where it is whole.
func Missing(b []byte) int {
	if len(b) < lengthSize {
		return lengthSize - len(b)
	}
	n := int64(binary.LittleEndian.Uint32(b))
	return int(max(0, lengthSize+n-int64(len(b))))
}

// beginFrame and end put a frame round what is appended between them.
func beginFrame(b []byte, kind byte) ([]byte, int) {
	at := len(b)
	return append(b, 0, 0, 0, 0, kind), at
}

func endFrame(b []byte, at int) []byte {
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-lengthSize))
	return b
}

// Load is the first that a worker is told.
type Load struct {
	Name   string
	Engine string
	Budget plugin.Budget
	Code   []byte
}

// AppendLoad appends a frame.
func AppendLoad(b []byte, l *Load) []byte {
	b, at := beginFrame(b, KindLoad)
	b = appendText(b, l.Name)
	b = appendText(b, l.Engine)
	for _, n := range budgetFields(&l.Budget) {
		b = binary.AppendUvarint(b, uint64(max(0, *n.get())))
	}
	b = appendText(b, l.Code)
	return endFrame(b, at)
}

// ParseLoad reads a frame's body, on which the code lies afterwards.
func ParseLoad(body []byte) (Load, error) {
	r := reader{b: body}
	l := Load{Name: string(r.text(plugin.MaxText)), Engine: string(r.text(plugin.MaxText))}
	for _, n := range budgetFields(&l.Budget) {
		n.set(r.number())
	}
	l.Code = r.text(plugin.MaxCode)
	return l, r.end()
}

// budgetField is one figure of a budget.
type budgetField struct {
	wide   *int64
	narrow *int
}

func (f budgetField) get() *int64 {
	if f.wide != nil {
		return f.wide
	}
	n := int64(*f.narrow)
	return &n
}

func (f budgetField) set(n int64) {
	if f.wide != nil {
		*f.wide = n
	} else {
		*f.narrow = int(n)
	}
}

func budgetFields(b *plugin.Budget) []budgetField {
	return []budgetField{{wide: &b.Time}, {wide: &b.LoadTime}, {wide: &b.Steps}, {narrow: &b.Depth}, {wide: &b.Memory},
		{narrow: &b.LogLines}, {narrow: &b.LogLineSize}}
}

// AppendCall appends a frame. Texts are cut to what the contract hands over.
func AppendCall(b []byte, seq uint64, c *plugin.Call) []byte {
	b, at := beginFrame(b, KindCall)
	b = binary.AppendUvarint(b, seq)
	b = append(b, byte(c.Point))
	b = appendNumber(b, c.Now)
	switch c.Point {
	case plugin.OnRequest, plugin.Answered:
		b = appendText(b, truncate(c.Verb))
		b = appendText(b, truncate(c.Class))
		b = appendText(b, truncate(c.Tenant))
		b = appendText(b, truncate(c.Key))
		b = appendNumber(b, int64(c.Size))
		if c.Point == plugin.Answered {
			b = append(b, byte(c.Outcome))
			b = appendNumber(b, c.Took)
			break
		}
		b = appendNumber(b, c.TimeLeft)
		if c.Value == nil {
			b = append(b, 0)
		} else {
			b = append(b, 1)
			b = appendText(b, c.Value[:min(len(c.Value), plugin.MaxValue)])
		}
	case plugin.ListChanged:
		b = appendNumber(b, int64(c.Caches))
		b = appendNumber(b, int64(c.ServingCaches))
	}
	return endFrame(b, at)
}

// ParseCall reads a frame's body. The call's value lies on it.
func ParseCall(body []byte, c *plugin.Call) (seq uint64, err error) {
	r := reader{b: body}
	old := *c
	*c = plugin.Call{}
	seq = uint64(r.number())
	c.Point = plugin.Point(r.byte())
	c.Now = r.number()
	switch c.Point {
	case plugin.OnRequest, plugin.Answered:
		c.Verb = r.textOrSame(old.Verb)
		c.Class = r.textOrSame(old.Class)
		c.Tenant = r.textOrSame(old.Tenant)
		c.Key = r.textOrSame(old.Key)
		c.Size = r.int()
		if c.Point == plugin.Answered {
			c.Outcome = plugin.Outcome(r.byte())
			c.Took = r.number()
			if c.Outcome > plugin.OutcomeFailed {
				r.bad = true
			}
			break
		}
		c.TimeLeft = r.number()
		switch r.byte() {
		case 0:
		case 1:
			c.Value = r.text(plugin.MaxValue)
			if c.Value == nil {
				c.Value = []byte{}
			}
		default:
			r.bad = true
		}
	case plugin.ListChanged:
		c.Caches = r.int()
		c.ServingCaches = r.int()
	case plugin.Unload:
	default:
		r.bad = true
	}
	return seq, r.end()
}

// AppendLoaded appends a frame.
func AppendLoaded(b []byte, p plugin.Points) []byte {
	b, at := beginFrame(b, KindLoaded)
	return endFrame(append(b, byte(p)), at)
}

// ParseLoaded reads a frame's body.
func ParseLoaded(body []byte) (plugin.Points, error) {
	if len(body) != 1 {
		return 0, ErrMalformedFrame
	}
	return plugin.Points(body[0]), nil
}

// AppendLoadFailed appends a frame.
func AppendLoadFailed(b []byte, f *plugin.Failure) []byte {
	b, at := beginFrame(b, KindLoadFailed)
	b = append(b, byte(f.Kind))
	return endFrame(appendText(b, plugin.Plain(f.Text, plugin.MaxLogLine)), at)
}

// ParseLoadFailed reads a frame's body.
func ParseLoadFailed(body []byte) (*plugin.Failure, error) {
	r := reader{b: body}
	f := &plugin.Failure{Kind: plugin.FailureKind(r.byte())}
	f.Text = plugin.Plain(string(r.text(plugin.MaxLogLine)), plugin.MaxLogLine)
	return f, r.end()
}

// Reply is the answer to a call.
type Reply struct {
	Sequence uint64
	RunTime  plugin.Time
	Failed   bool // then Kind and Text say why, and Verdict has lines alone
	Kind     plugin.FailureKind
	Text     string
	Verdict  plugin.Verdict
}

// AppendReply appends a frame.
func AppendReply(b []byte, r *Reply) []byte {
	b, at := beginFrame(b, KindReply)
	b = binary.AppendUvarint(b, r.Sequence)
	b = appendNumber(b, r.RunTime)
	v := &r.Verdict
	if r.Failed {
		b = append(b, 1, byte(r.Kind))
		b = appendText(b, plugin.Plain(r.Text, plugin.MaxLogLine))
	} else {
		b = append(b, 0, byte(v.Decision))
		b = appendNumber(b, v.RetryAfter)
		b = appendText(b, v.Text)
		b = appendText(b, v.Tenant)
		b = binary.AppendUvarint(b, uint64(len(v.Tags)))
		for _, t := range v.Tags {
			b = appendText(b, t)
		}
	}
	b = binary.AppendUvarint(b, uint64(len(v.Log)))
	for _, line := range v.Log {
		b = appendText(b, line)
	}
	return endFrame(b, at)
}

// ParseReply reads a frame's body, and looks at the verdict as if a hook itself had written it: a worker that was
// taken over says what it likes. Where the reply is a pass it allocates nothing.
func ParseReply(body []byte, p *Reply) error {
	r := reader{b: body}
	v := &p.Verdict
	v.Reset()
	*p = Reply{Sequence: uint64(r.number()), Verdict: *v}
	v = &p.Verdict
	p.RunTime = r.number()
	d := plugin.Draft{Point: plugin.OnRequest, Budget: plugin.Budget{LogLines: plugin.MaxLogLines, LogLineSize: plugin.MaxLogLine}}
	d.Begin(plugin.OnRequest, v)
	check := func(err error) { r.bad = r.bad || err != nil }
	say := int64(0)
	switch r.byte() {
	case 0:
		say = int64(r.byte())
		check(d.SetRetryAfter(r.number()))
		if text := r.text(plugin.MaxText); len(text) > 0 {
			check(d.SetText(string(text)))
		}
		if tenant := r.text(plugin.MaxText); len(tenant) > 0 {
			check(d.SetTenant(string(tenant)))
		}
		for range r.count(plugin.MaxTags) {
			check(d.AddTag(string(r.text(plugin.MaxTag))))
		}
	case 1:
		p.Failed = true
		p.Kind = plugin.FailureKind(r.byte())
		p.Text = plugin.Plain(string(r.text(plugin.MaxLogLine)), plugin.MaxLogLine)
	default:
		r.bad = true
	}
	for range r.count(plugin.MaxLogLines) {
		d.Log(string(r.text(plugin.MaxLogLine)))
	}
	check(d.Finish(say))
	return r.end()
}

func truncate(s string) string { return s[:min(len(s), plugin.MaxString)] }

func appendText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendNumber appends a number that is not below 0.
func appendNumber(b []byte, n int64) []byte { return binary.AppendUvarint(b, uint64(max(0, n))) }

// reader reads a body. After an error it gives zeros.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) byte() byte {
	if r.bad || len(r.b) == 0 {
		r.bad = true
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

func (r *reader) number() int64 {
	if r.bad {
		return 0
	}
	n, size := binary.Uvarint(r.b)
	if size <= 0 || n > math.MaxInt64 {
		r.bad = true
		return 0
	}
	r.b = r.b[size:]
	return int64(n)
}

func (r *reader) int() int { return r.count(math.MaxInt32) }

// count reads a number that may not be above most.
func (r *reader) count(most int) int {
	n := r.number()
	if n > int64(most) {
		r.bad = true
		return 0
	}
	return int(n)
}

func (r *reader) text(most int) []byte {
	n := r.count(most)
	if r.bad || n > len(r.b) {
		r.bad = true
		return nil
	}
	s := r.b[:n:n]
	r.b = r.b[n:]
	return s
}

// textOrSame reads a text, and takes the old one where it is the same.
func (r *reader) textOrSame(old string) string {
	if s := r.text(plugin.MaxString); string(s) != old {
		return string(s)
	}
	return old
}

func (r *reader) end() error {
	if r.bad || len(r.b) > 0 {
		return ErrMalformedFrame
	}
	return nil
}
