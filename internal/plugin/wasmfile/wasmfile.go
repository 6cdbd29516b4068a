// Package wasmfile writes small WebAssembly modules (Core Specification, chapter 5) for tests, examples and scaffolds without
// a tool chain. It supports only the instructions and sections that these modules need. It does not validate a module, because
// some tests need invalid modules.
package wasmfile

// Code is a sequence of instructions.
type Code []byte

// Concat concatenates sequences of instructions.
func Concat(parts ...Code) Code {
	var all Code
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// Instructions without an operand.
var (
	Unreachable = Code{0x00}
	Return      = Code{0x0f}
	Drop        = Code{0x1a}
	I32Eqz      = Code{0x45}
	I32Eq       = Code{0x46}
	I32Ne       = Code{0x47}
	I32LtU      = Code{0x49}
	I32GtU      = Code{0x4b}
	I32GeU      = Code{0x4f}
	I32Add      = Code{0x6a}
	I32Sub      = Code{0x6b}
	I32Mul      = Code{0x6c}
	I32DivU     = Code{0x6e}
	I32And      = Code{0x71}
	I32Or       = Code{0x72}
	I64Sub      = Code{0x7d}
	I64GtU      = Code{0x56}
	MemoryGrow  = Code{0x40, 0x00}
)

// I32Const pushes a 32-bit number.
func I32Const(n int32) Code { return append(Code{0x41}, signed(int64(n))...) }

// I64Const pushes a 64-bit number.
func I64Const(n int64) Code { return append(Code{0x42}, signed(n)...) }

// LocalGet pushes the value of a parameter or a local.
func LocalGet(i uint32) Code { return append(Code{0x20}, unsigned(i)...) }

// LocalSet pops a value into a local.
func LocalSet(i uint32) Code { return append(Code{0x21}, unsigned(i)...) }

// LocalTee stores the value on top of the stack in a local and leaves it there.
func LocalTee(i uint32) Code { return append(Code{0x22}, unsigned(i)...) }

// I32Load loads 4 bytes at the offset at from the address on the stack, as the other loads and stores do.
func I32Load(at uint32) Code { return append(Code{0x28, 0x00}, unsigned(at)...) }

// I64Load loads 8 bytes.
func I64Load(at uint32) Code { return append(Code{0x29, 0x00}, unsigned(at)...) }

// I32Load8U loads one byte, zero-extended.
func I32Load8U(at uint32) Code { return append(Code{0x2d, 0x00}, unsigned(at)...) }

// I32Store stores 4 bytes.
func I32Store(at uint32) Code { return append(Code{0x36, 0x00}, unsigned(at)...) }

// I64Store stores 8 bytes.
func I64Store(at uint32) Code { return append(Code{0x37, 0x00}, unsigned(at)...) }

// I32Store8 stores the lowest byte.
func I32Store8(at uint32) Code { return append(Code{0x3a, 0x00}, unsigned(at)...) }

// Call calls a function by its index. Imported functions have the first indices.
func Call(f uint32) Code { return append(Code{0x10}, unsigned(f)...) }

// If executes then if the number on top of the stack is not 0.
func If(then ...Code) Code { return Concat(Code{0x04, 0x40}, Concat(then...), Code{0x0b}) }

// Loop returns a block that Br(0) in its body restarts.
func Loop(body ...Code) Code { return Concat(Code{0x03, 0x40}, Concat(body...), Code{0x0b}) }

// Block returns a block that Br(0) in its body leaves.
func Block(body ...Code) Code { return Concat(Code{0x02, 0x40}, Concat(body...), Code{0x0b}) }

// Br branches to the enclosing Block, Loop or If at the given level; 0 is the innermost.
func Br(level uint32) Code { return append(Code{0x0c}, unsigned(level)...) }

// BrIf branches like Br if the number on top of the stack is not 0.
func BrIf(level uint32) Code { return append(Code{0x0d}, unsigned(level)...) }

// I32 is the type of a 32-bit number.
const I32 = 0x7f

// Sections of a module (WebAssembly Core Specification, 5.5.2).
const (
	sectionType     = 1
	sectionImport   = 2
	sectionFunction = 3
	sectionTable    = 4
	sectionMemory   = 5
	sectionExport   = 7
	sectionStart    = 8
	sectionCode     = 10
	sectionData     = 11
)

// Module builds a module. The entries of its sections are already encoded.
type Module struct {
	imports [][]byte
	types   [][]byte
	funcs   [][]byte // the index of the type of each function
	exports [][]byte
	bodies  [][]byte
	data    [][]byte

	Pages    uint32 // pages of memory, 64 KiB each; 0 for no memory
	MaxPages uint32 // the maximum size of the memory in pages; 0 for no bound
	Table    uint32 // entries of the table; 0 for no table
	Start    int    // the index of the start function; 0 for none
}

// Import imports a function of another module with parameters and results of the type I32, and returns the function's index.
// All imports must be added before the first Func.
func (m *Module) Import(from, name string, params, results int) uint32 {
	b := append(text(from), text(name)...)
	m.imports = append(m.imports, append(append(b, 0x00), m.typeIndex(params, results)...))
	return uint32(len(m.imports) - 1)
}

// Func adds a function and returns the function's index. A function with a name is exported. Locals have the type I32, and
// their indices follow the indices of the parameters.
func (m *Module) Func(name string, params, results int, locals uint32, body ...Code) uint32 {
	i := uint32(len(m.imports) + len(m.funcs))
	m.funcs = append(m.funcs, m.typeIndex(params, results))
	if name != "" {
		m.exports = append(m.exports, append(append(text(name), 0x00), unsigned(i)...))
	}
	var b []byte
	if locals > 0 {
		b = append(append(append(b, 1), unsigned(locals)...), I32)
	} else {
		b = append(b, 0)
	}
	b = append(append(b, Concat(body...)...), 0x0b)
	m.bodies = append(m.bodies, append(unsigned(uint32(len(b))), b...))
	return i
}

// Data initializes the memory at address with b.
func (m *Module) Data(address int32, b []byte) {
	d := append([]byte{0x00}, I32Const(address)...)
	d = append(append(d, 0x0b), unsigned(uint32(len(b)))...)
	m.data = append(m.data, append(d, b...))
}

// Bytes returns the encoded module.
func (m *Module) Bytes() []byte {
	out := []byte("\x00asm\x01\x00\x00\x00")
	section := func(id byte, items [][]byte) {
		if len(items) == 0 {
			return
		}
		body := unsigned(uint32(len(items)))
		for _, item := range items {
			body = append(body, item...)
		}
		out = append(append(append(out, id), unsigned(uint32(len(body)))...), body...)
	}
	exports := m.exports
	section(sectionType, m.types)
	section(sectionImport, m.imports)
	section(sectionFunction, m.funcs)
	if m.Table > 0 {
		section(sectionTable, [][]byte{append([]byte{0x70, 0x00}, unsigned(m.Table)...)})
	}
	if m.Pages > 0 {
		limits := append([]byte{0x00}, unsigned(m.Pages)...)
		if m.MaxPages > 0 {
			limits = append(append([]byte{0x01}, unsigned(m.Pages)...), unsigned(m.MaxPages)...)
		}
		section(sectionMemory, [][]byte{limits})
		exports = append(exports, append(text("memory"), 0x02, 0x00))
	}
	section(sectionExport, exports)
	if m.Start > 0 {
		out = append(append(out, sectionStart, byte(len(unsigned(uint32(m.Start))))), unsigned(uint32(m.Start))...)
	}
	section(sectionCode, m.bodies)
	section(sectionData, m.data)
	return out
}

// typeIndex returns the encoded index of a function type, and adds the type if the module does not have it yet.
func (m *Module) typeIndex(params, results int) []byte {
	t := []byte{0x60}
	for _, n := range []int{params, results} {
		t = append(t, unsigned(uint32(n))...)
		for range n {
			t = append(t, I32)
		}
	}
	for i, known := range m.types {
		if string(known) == string(t) {
			return unsigned(uint32(i))
		}
	}
	m.types = append(m.types, t)
	return unsigned(uint32(len(m.types) - 1))
}

// text encodes a string with its length as prefix.
func text(s string) []byte { return append(unsigned(uint32(len(s))), s...) }

// unsigned encodes an unsigned number in LEB128.
func unsigned(n uint32) []byte {
	var b []byte
	for n >= 0x80 {
		b = append(b, byte(n)|0x80)
		n >>= 7
	}
	return append(b, byte(n))
}

// signed encodes a signed number in LEB128.
func signed(n int64) []byte {
	var b []byte
	for {
		c := byte(n & 0x7f)
		n >>= 7
		if n == 0 && c&0x40 == 0 || n == -1 && c&0x40 != 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}
