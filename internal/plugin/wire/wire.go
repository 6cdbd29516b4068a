// Package wire implements the protocol between the router and a worker that runs one hook. Frames are sent over a stream. A
// frame consists of a length (4 bytes, little endian), a kind (1 byte) and a body. Numbers in bodies are varints; texts and
// lists are prefixed with their lengths.
//
// The router sends one Load and then Calls. The worker replies to the Load with Loaded or LoadFailed, and to each Call with a
// Reply, in the order of the Calls. Neither side trusts the other: a frame that is too long, or whose body is truncated or
// followed by excess bytes, is an error, after which the connection must not be used.
package wire

import (
	"encoding/binary"
	"errors"
	"math"

	"starlingwinch/internal/plugin"
)

// Kinds of frames.
const (
	KindLoad       = 1 // router to worker: a hook with its code and budget
	KindCall       = 2 // router to worker: one call of the hook
	KindLoaded     = 3 // worker to router: the points of the hook
	KindLoadFailed = 4 // worker to router: the reason why the hook did not load
	KindReply      = 5 // worker to router: the result of a call
)

// Bounds of frames in bytes, without the length prefix.
const (
	MaxFrameToWorker = plugin.MaxCode + 4096 // the code and the other fields of a Load
	MaxFrameToRouter = 16 << 10              // a verdict with every field at its bound
)

// lengthSize is the size in bytes of a frame's length prefix.
const lengthSize = 4

// Values of the byte before an optional field, and of the byte that says whether a call failed.
const (
	absent    = 0
	present   = 1
	succeeded = 0
	failed    = 1
)

// Errors of frames.
var (
	ErrFrameTooLong   = errors.New("wire: a frame is too long")
	ErrMalformedFrame = errors.New("wire: a frame is malformed")
)

// Next splits the first frame, whose length is at most limit, from b. kind is 0 if b does not hold a complete frame yet.
func Next(b []byte, limit int) (kind byte, body, rest []byte, err error) {
	if len(b) < lengthSize {
		return 0, nil, b, nil
	}
	n := binary.LittleEndian.Uint32(b)
	switch {
	case n == 0:
		return 0, nil, b, ErrMalformedFrame
	case uint64(n) > uint64(limit):
		return 0, nil, b, ErrFrameTooLong
	case uint64(len(b)-lengthSize) < uint64(n):
		return 0, nil, b, nil
	}
	end := lengthSize + int(n)
	return b[lengthSize], b[lengthSize+1 : end], b[end:], nil
}

// Missing returns the minimum number of bytes that are missing from the first frame of b, or 0 if the frame is complete.
func Missing(b []byte) int {
	if len(b) < lengthSize {
		return lengthSize - len(b)
	}
	n := int64(binary.LittleEndian.Uint32(b))
	return int(max(0, lengthSize+n-int64(len(b))))
}

// beginFrame appends the header of a frame and returns the frame's offset. The caller appends the body and calls endFrame.
func beginFrame(b []byte, kind byte) (frame []byte, start int) {
	start = len(b)
	return append(b, 0, 0, 0, 0, kind), start
}

// endFrame sets the length of the frame that begins at start.
func endFrame(b []byte, start int) []byte {
	binary.LittleEndian.PutUint32(b[start:], uint32(len(b)-start-lengthSize))
	return b
}

// Load is the first message to a worker. It describes the hook that the worker runs.
type Load struct {
	Name   string // the name of the hook, for errors
	Engine string // the name of the engine that runs it
	Budget plugin.Budget
	Code   []byte
}

// AppendLoad appends a Load frame.
func AppendLoad(b []byte, l *Load) []byte {
	b, start := beginFrame(b, KindLoad)
	b = appendText(b, l.Name)
	b = appendText(b, l.Engine)
	for _, n := range budgetFields(&l.Budget) {
		b = binary.AppendUvarint(b, uint64(max(0, *n.get())))
	}
	b = appendText(b, l.Code)
	return endFrame(b, start)
}

// ParseLoad reads the body of a Load frame. The code shares the body's memory.
func ParseLoad(body []byte) (Load, error) {
	r := reader{b: body}
	l := Load{Name: string(r.text(plugin.MaxText)), Engine: string(r.text(plugin.MaxText))}
	for _, n := range budgetFields(&l.Budget) {
		n.set(r.number())
	}
	l.Code = r.text(plugin.MaxCode)
	return l, r.end()
}

// budgetField refers to one number of a budget. Exactly one of its pointers is not nil.
type budgetField struct {
	wide   *int64
	narrow *int
}

// get returns a pointer to the number, or to a copy if the field is narrow.
func (f budgetField) get() *int64 {
	if f.wide != nil {
		return f.wide
	}
	n := int64(*f.narrow)
	return &n
}

// set sets the number.
func (f budgetField) set(n int64) {
	if f.wide != nil {
		*f.wide = n
	} else {
		*f.narrow = int(n)
	}
}

// budgetFields returns the fields of a budget in their order on the wire.
func budgetFields(b *plugin.Budget) []budgetField {
	return []budgetField{{wide: &b.Time}, {wide: &b.LoadTime}, {wide: &b.Steps}, {narrow: &b.Depth}, {wide: &b.Memory},
		{narrow: &b.LogLines}, {narrow: &b.LogLineSize}}
}

// AppendCall appends a Call frame. Texts are truncated to the bounds of the contract.
func AppendCall(b []byte, seq uint64, c *plugin.Call) []byte {
	b, start := beginFrame(b, KindCall)
	b = binary.AppendUvarint(b, seq)
	b = append(b, byte(c.Point))
	b = appendNumber(b, c.Now)
	switch c.Point {
	case plugin.OnRequest:
		b = appendRequest(b, c)
		b = appendNumber(b, c.TimeLeft)
		b = appendValue(b, c.Value)
	case plugin.Answered:
		b = appendRequest(b, c)
		b = append(b, byte(c.Outcome))
		b = appendNumber(b, c.Took)
	case plugin.ListChanged:
		b = appendNumber(b, int64(c.Caches))
		b = appendNumber(b, int64(c.ServingCaches))
	}
	return endFrame(b, start)
}

// appendRequest appends the fields of a request, which calls at OnRequest and Answered have in common.
func appendRequest(b []byte, c *plugin.Call) []byte {
	b = appendText(b, truncate(c.Verb))
	b = appendText(b, truncate(c.Class))
	b = appendText(b, truncate(c.Tenant))
	b = appendText(b, truncate(c.Key))
	return appendNumber(b, int64(c.Size))
}

// appendValue appends the value of a request; nil if the value is not passed to the hook.
func appendValue(b, value []byte) []byte {
	if value == nil {
		return append(b, absent)
	}
	b = append(b, present)
	return appendText(b, value[:min(len(value), plugin.MaxValue)])
}

// ParseCall reads the body of a Call frame into c. The call's value shares the body's memory. A text that equals the previous
// text of the same field of c is not copied.
func ParseCall(body []byte, c *plugin.Call) (sequence uint64, err error) {
	r := reader{b: body}
	old := *c
	*c = plugin.Call{}
	sequence = uint64(r.number())
	c.Point = plugin.Point(r.byte())
	c.Now = r.number()
	switch c.Point {
	case plugin.OnRequest:
		r.request(c, &old)
		c.TimeLeft = r.number()
		c.Value = r.value()
	case plugin.Answered:
		r.request(c, &old)
		c.Outcome = plugin.Outcome(r.byte())
		c.Took = r.number()
		if c.Outcome > plugin.OutcomeFailed {
			r.malformed = true
		}
	case plugin.ListChanged:
		c.Caches = r.int()
		c.ServingCaches = r.int()
	case plugin.Unload:
	default:
		r.malformed = true
	}
	return sequence, r.end()
}

// request reads the fields that appendRequest writes.
func (r *reader) request(c, old *plugin.Call) {
	c.Verb = r.textOrSame(old.Verb)
	c.Class = r.textOrSame(old.Class)
	c.Tenant = r.textOrSame(old.Tenant)
	c.Key = r.textOrSame(old.Key)
	c.Size = r.int()
}

// value reads the value that appendValue writes. An empty value is not nil.
func (r *reader) value() []byte {
	switch r.byte() {
	case absent:
		return nil
	case present:
		if value := r.text(plugin.MaxValue); value != nil {
			return value
		}
		return []byte{}
	}
	r.malformed = true
	return nil
}

// AppendLoaded appends a Loaded frame.
func AppendLoaded(b []byte, p plugin.Points) []byte {
	b, start := beginFrame(b, KindLoaded)
	return endFrame(append(b, byte(p)), start)
}

// ParseLoaded reads the body of a Loaded frame.
func ParseLoaded(body []byte) (plugin.Points, error) {
	if len(body) != 1 {
		return 0, ErrMalformedFrame
	}
	return plugin.Points(body[0]), nil
}

// AppendLoadFailed appends a LoadFailed frame.
func AppendLoadFailed(b []byte, f *plugin.Failure) []byte {
	b, start := beginFrame(b, KindLoadFailed)
	b = append(b, byte(f.Kind))
	return endFrame(appendText(b, plugin.SanitizeText(f.Text, plugin.MaxLogLine)), start)
}

// ParseLoadFailed reads the body of a LoadFailed frame.
func ParseLoadFailed(body []byte) (*plugin.Failure, error) {
	r := reader{b: body}
	f := &plugin.Failure{Kind: plugin.FailureKind(r.byte())}
	f.Text = plugin.SanitizeText(string(r.text(plugin.MaxLogLine)), plugin.MaxLogLine)
	return f, r.end()
}

// Reply is the result of a call.
type Reply struct {
	Sequence uint64             // the sequence number of the call
	RunTime  plugin.Time        // the duration of the call
	Failed   bool               // if set, Kind and Text hold the failure, and Verdict holds only log lines
	Kind     plugin.FailureKind // Failed
	Text     string             // Failed
	Verdict  plugin.Verdict
}

// AppendReply appends a Reply frame.
func AppendReply(b []byte, r *Reply) []byte {
	b, start := beginFrame(b, KindReply)
	b = binary.AppendUvarint(b, r.Sequence)
	b = appendNumber(b, r.RunTime)
	if r.Failed {
		b = append(b, failed, byte(r.Kind))
		b = appendText(b, plugin.SanitizeText(r.Text, plugin.MaxLogLine))
	} else {
		b = append(b, succeeded)
		b = appendVerdict(b, &r.Verdict)
	}
	b = binary.AppendUvarint(b, uint64(len(r.Verdict.Log)))
	for _, line := range r.Verdict.Log {
		b = appendText(b, line)
	}
	return endFrame(b, start)
}

// appendVerdict appends a verdict without its log lines.
func appendVerdict(b []byte, v *plugin.Verdict) []byte {
	b = append(b, byte(v.Decision))
	b = appendNumber(b, v.RetryAfter)
	b = appendText(b, v.Text)
	b = appendText(b, v.Tenant)
	b = binary.AppendUvarint(b, uint64(len(v.Tags)))
	for _, tag := range v.Tags {
		b = appendText(b, tag)
	}
	return b
}

// ParseReply reads the body of a Reply frame into p. ParseReply validates the verdict like an engine does, because a worker
// that is compromised by its hook may send arbitrary bytes. Reading a reply that only passes a request does not allocate.
func ParseReply(body []byte, p *Reply) error {
	r := reader{b: body}
	p.Verdict.Reset()
	*p = Reply{Sequence: uint64(r.number()), Verdict: p.Verdict}
	p.RunTime = r.number()
	draft := plugin.Draft{Budget: plugin.Budget{LogLines: plugin.MaxLogLines, LogLineSize: plugin.MaxLogLine}}
	draft.Begin(plugin.OnRequest, &p.Verdict)
	decision := int64(plugin.Pass)
	switch r.byte() {
	case succeeded:
		decision = r.verdict(&draft)
	case failed:
		p.Failed = true
		p.Kind = plugin.FailureKind(r.byte())
		p.Text = plugin.SanitizeText(string(r.text(plugin.MaxLogLine)), plugin.MaxLogLine)
	default:
		r.malformed = true
	}
	for range r.count(plugin.MaxLogLines) {
		draft.Log(string(r.text(plugin.MaxLogLine)))
	}
	r.check(draft.Finish(decision))
	return r.end()
}

// verdict reads the verdict that appendVerdict writes, and returns its decision.
func (r *reader) verdict(draft *plugin.Draft) (decision int64) {
	decision = int64(r.byte())
	r.check(draft.SetRetryAfter(r.number()))
	if text := r.text(plugin.MaxText); len(text) > 0 {
		r.check(draft.SetText(string(text)))
	}
	if tenant := r.text(plugin.MaxText); len(tenant) > 0 {
		r.check(draft.SetTenant(string(tenant)))
	}
	for range r.count(plugin.MaxTags) {
		r.check(draft.AddTag(string(r.text(plugin.MaxTag))))
	}
	return decision
}

// check marks the body as malformed if err, an error of the draft, is not nil.
func (r *reader) check(err error) {
	if err != nil {
		r.malformed = true
	}
}

// truncate limits a text to the length that is passed to a hook.
func truncate(s string) string { return s[:min(len(s), plugin.MaxString)] }

// appendText appends a text with its length as prefix.
func appendText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendNumber appends a number. A negative number is written as 0.
func appendNumber(b []byte, n int64) []byte { return binary.AppendUvarint(b, uint64(max(0, n))) }

// reader decodes a body. After an error its methods return zeros.
type reader struct {
	b         []byte // the unread rest of the body
	malformed bool   // set after an error
}

// byte reads one byte.
func (r *reader) byte() byte {
	if r.malformed || len(r.b) == 0 {
		r.malformed = true
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

// number reads a number of up to 63 bits.
func (r *reader) number() int64 {
	if r.malformed {
		return 0
	}
	n, size := binary.Uvarint(r.b)
	if size <= 0 || n > math.MaxInt64 {
		r.malformed = true
		return 0
	}
	r.b = r.b[size:]
	return int64(n)
}

// int reads a number that fits into 32 bits.
func (r *reader) int() int { return r.count(math.MaxInt32) }

// count reads a number that is at most limit.
func (r *reader) count(limit int) int {
	n := r.number()
	if n > int64(limit) {
		r.malformed = true
		return 0
	}
	return int(n)
}

// text reads a text of up to limit bytes. The result shares the body's memory.
func (r *reader) text(limit int) []byte {
	n := r.count(limit)
	if r.malformed || n > len(r.b) {
		r.malformed = true
		return nil
	}
	s := r.b[:n:n]
	r.b = r.b[n:]
	return s
}

// textOrSame reads a text, and returns old if both are equal, which avoids an allocation.
func (r *reader) textOrSame(old string) string {
	s := r.text(plugin.MaxString)
	if string(s) != old {
		return string(s)
	}
	return old
}

// end returns an error unless the body was read completely and without an error.
func (r *reader) end() error {
	if r.malformed || len(r.b) > 0 {
		return ErrMalformedFrame
	}
	return nil
}
