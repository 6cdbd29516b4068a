package resp

import "testing"

func TestParseLoadReport(t *testing.T) {
	l := parseLoadReport("inflight=7,util=0.61,eps=2,queue=NaN")
	if l.Utilization != 0.61 || l.ErrorRate != 2 {
		t.Errorf("load %+v", l)
	}
	if l := parseLoadReport("util=-1"); l.Utilization != -1 {
		t.Errorf("an invalid number gave %+v", l)
	}
}

// TestParseLength checks lengths that other codecs accept.
func TestParseLength(t *testing.T) {
	for wire, want := range map[string]int{"$0\r\n": 0, "$12\r\n": 12, "$-1\r\n": -1} {
		if size, next, err := parseLength([]byte(wire), 0, '$', 99); size != want || next != len(wire) || err != nil {
			t.Errorf("%q: %d, %d, %v", wire, size, next, err)
		}
	}
	for _, wire := range []string{"$\r\n", "$+1\r\n", "$-2\r\n", "$-\r\n", "$-11\r\n", "$01\r\n", "$ 1\r\n", "$1 \r\n",
		"$1\n", "$1\rx", "$100", "$x", ":1\r\n"} {
		if _, _, err := parseLength([]byte(wire), 0, '$', 99); err == nil {
			t.Errorf("%q is accepted", wire)
		}
	}
	for _, wire := range []string{"", "$", "$-", "$-1", "$9", "$9\r"} {
		if _, next, err := parseLength([]byte(wire), 0, '$', 99); next != 0 || err != nil {
			t.Errorf("%q: %d, %v, want more", wire, next, err)
		}
	}
}

// TestLineIsReadTheSameWholeAndSplit checks lines that arrive in two parts, wherever they are split.
func TestLineIsReadTheSameWholeAndSplit(t *testing.T) {
	for _, wire := range []string{"PING\r\n", "PING\n", "PING\r\r\n", "PI\rNG\r\n", "PING \r\n", "\r\n", "\r\r\n"} {
		_, _, whole := NextCommand([]byte(wire))
		for i := 1; i < len(wire); i++ {
			_, used, err := NextCommand([]byte(wire[:i]))
			if used == 0 && err == nil {
				_, _, err = NextCommand([]byte(wire))
			}
			if (err == nil) != (whole == nil) {
				t.Errorf("%q split at %d: %v; whole: %v", wire, i, err, whole)
			}
		}
	}
	if _, _, err := NextCommand([]byte("PING\r\r\n")); err == nil {
		t.Error("two carriage returns were taken for the end of a line")
	}
}

// FuzzNextCommand checks that what is read is within its bounds and within the buffer, and that CommandSize agrees.
func FuzzNextCommand(f *testing.F) {
	for _, seed := range []string{"*1\r\n$4\r\nPING\r\n", "PING\r\n", "*-1\r\n", "*2\r\n$1\r\na\r\n$0\r\n\r\n", "$4 PING\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		args, used, err := NextCommand(b)
		if size, serr := CommandSize(b); size != used && err == nil || (serr == nil) != (err == nil) {
			t.Fatalf("its size is %d, %v; read, it takes %d, %v", size, serr, used, err)
		}
		if err != nil {
			return
		}
		if used < 0 || used > len(b) || used == 0 && len(b) > 2*MaxCommandBytes {
			t.Fatalf("%d bytes used of %d", used, len(b))
		}
		if used > 0 && len(args) > maxArgs && b[0] == '*' {
			t.Fatalf("%d arguments", len(args))
		}
	})
}

// FuzzReply checks that a reply is within its bounds and within the buffer.
func FuzzReply(f *testing.F) {
	for _, seed := range []string{"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n", "-BUSY\r\n", "+PONG\r\n", "*3\r\n$-1\r\n", "$-5\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var rep Reply
		used, err := rep.Next(b)
		if err == nil && used > 0 && (used > len(b) || len(rep.Value) > MaxReplyBytes) {
			t.Fatalf("%d bytes used of %d: %+v", used, len(b), rep)
		}
	})
}
