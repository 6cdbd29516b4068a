// Package wire is the protocol between the router and a worker that runs one hook for it: frames over a stream, each
// of a length (4 bytes, little endian), a kind (1 byte) and a body. Numbers in bodies are varints; texts and lists have
// their lengths in front.
//
// The router sends one Load and then Calls; the worker replies to the Load with Loaded or LoadFailed, and to each Call, in
// their order, with a Reply. Neither side trusts the other: a frame that is too long, truncated or followed by bytes that
// belong to nothing is an error, after which the connection is of no use.
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
	KindLoadFailed = 4 // worker to router: why the hook did not load
	KindReply      = 5 // worker to router: the result of a call
)

// Bounds of frames in bytes, without the length.
const (
	MaxFrameToWorker = plugin.MaxCode + 4096 // the code, and what is beside it in a Load
	MaxFrameToRouter = 16 << 10              // a verdict at all of its bounds
)

// lengthSize is the size in bytes of a frame's length.
const lengthSize = 4

// Values of the byte in front of what may be absent, and of the byte that says whether a call failed.
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

// Next takes the first whole frame off b, with a length up to limit. kind is 0 where there is no whole frame yet.
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

// Missing returns how many bytes at least are missing from the first frame of b; 0 where it is whole.
func Missing(b []byte) int {
	if len(b) < lengthSize {
		return lengthSize - len(b)
	}
	n := int64(binary.LittleEndian.Uint32(b))
	return int(max(0, lengthSize+n-int64(len(b))))
}

// beginFrame appends the head of a frame that begins at start. Its body is appended next, and endFrame ends it.
func beginFrame(b []byte, kind byte) (frame []byte, start int) {
	start = len(b)
	return append(b, 0, 0, 0, 0, kind), start
}

// endFrame sets the length of the frame that begins at start.
func endFrame(b []byte, start int) []byte {
	binary.LittleEndian.PutUint32(b[start:], uint32(len(b)-start-lengthSize))
	return b
}

// Load is the first message to a worker: the hook that it runs.
type Load struct {
	Name   string // of the hook, for its errors
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

// budgetField refers to one number of a budget, of either type.
type budgetField struct {
	wide   *int64
	narrow *int
}

// get returns a pointer to the number.
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

// budgetFields returns the numbers of a budget in their order on the wire.
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

// appendRequest appends what a call at OnRequest or Answered says of the request.
func appendRequest(b []byte, c *plugin.Call) []byte {
	b = appendText(b, truncate(c.Verb))
	b = appendText(b, truncate(c.Class))
	b = appendText(b, truncate(c.Tenant))
	b = appendText(b, truncate(c.Key))
	return appendNumber(b, int64(c.Size))
}

// appendValue appends a request's value, which is nil where the hook does not want it.
func appendValue(b, value []byte) []byte {
	if value == nil {
		return append(b, absent)
	}
	b = append(b, present)
	return appendText(b, value[:min(len(value), plugin.MaxValue)])
}

// ParseCall reads the body of a Call frame into c. The call's value shares the body's memory. Texts that are equal to those
// that c held before are not copied.
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

// request reads what appendRequest appended.
func (r *reader) request(c, old *plugin.Call) {
	c.Verb = r.textOrSame(old.Verb)
	c.Class = r.textOrSame(old.Class)
	c.Tenant = r.textOrSame(old.Tenant)
	c.Key = r.textOrSame(old.Key)
	c.Size = r.int()
}

// value reads what appendValue appended. A value of no bytes is not nil.
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
	return endFrame(appendText(b, plugin.Plain(f.Text, plugin.MaxLogLine)), start)
}

// ParseLoadFailed reads the body of a LoadFailed frame.
func ParseLoadFailed(body []byte) (*plugin.Failure, error) {
	r := reader{b: body}
	f := &plugin.Failure{Kind: plugin.FailureKind(r.byte())}
	f.Text = plugin.Plain(string(r.text(plugin.MaxLogLine)), plugin.MaxLogLine)
	return f, r.end()
}

// Reply is the result of a call.
type Reply struct {
	Sequence uint64             // of the call
	RunTime  plugin.Time        // how long the call ran
	Failed   bool               // then Kind and Text hold the failure, and Verdict has log lines alone
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
		b = appendText(b, plugin.Plain(r.Text, plugin.MaxLogLine))
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

// ParseReply reads the body of a Reply frame into p. It checks the verdict as an engine checks that of a hook, since a worker
// that a hook has taken over may send anything. A reply that passes a request without more is read without allocating.
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
		p.Text = plugin.Plain(string(r.text(plugin.MaxLogLine)), plugin.MaxLogLine)
	default:
		r.malformed = true
	}
	for range r.count(plugin.MaxLogLines) {
		draft.Log(string(r.text(plugin.MaxLogLine)))
	}
	r.check(draft.Finish(decision))
	return r.end()
}

// verdict reads what appendVerdict appended, and returns its decision.
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

// check notes that the body holds what is not a verdict.
func (r *reader) check(err error) {
	if err != nil {
		r.malformed = true
	}
}

// truncate truncates a text to what a hook is handed.
func truncate(s string) string { return s[:min(len(s), plugin.MaxString)] }

// appendText appends a text with its length in front.
func appendText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendNumber appends a number; one below 0 as 0.
func appendNumber(b []byte, n int64) []byte { return binary.AppendUvarint(b, uint64(max(0, n))) }

// reader reads a body. After an error it returns zeros.
type reader struct {
	b         []byte // what is not yet read
	malformed bool   // an error was met
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

// number reads a number.
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

// count reads a number up to limit.
func (r *reader) count(limit int) int {
	n := r.number()
	if n > int64(limit) {
		r.malformed = true
		return 0
	}
	return int(n)
}

// text reads a text of up to limit bytes. It shares the body's memory.
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

// textOrSame reads a text, and returns the old one where they are equal, as that takes no memory.
func (r *reader) textOrSame(old string) string {
	s := r.text(plugin.MaxString)
	if string(s) != old {
		return string(s)
	}
	return old
}

// end returns an error unless the whole body was read without one.
func (r *reader) end() error {
	if r.malformed || len(r.b) > 0 {
		return ErrMalformedFrame
	}
	return nil
}
