package recordedlog

import "testing"

func TestWordingKeepsLinesThatHaveNoOther(t *testing.T) {
	for _, c := range []struct{ name, line, want string }{
		{"a sentence", `c1 healthy`, `c1 healthy`},
		{"a sentence with an equals sign", `dial a=b "c`, `dial a=b "c`},
		{"fields of an unknown message", `level=INFO msg=start reason="a b" n=1`, `level=INFO msg=start reason="a b" n=1`},
		{"a message without fields", `level=INFO msg="c1 \"healthy\""`, `c1 "healthy"`},
		{"no level", `msg=start`, `msg=start`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Wording(c.line); got != c.want {
				t.Errorf("Wording(%q) = %q, want %q", c.line, got, c.want)
			}
		})
	}
}

func TestWordingIsMadeOfTheFields(t *testing.T) {
	sentences["test message"] = func(f Fields) string { return f["cache"] + " has " + f["cause"] }
	defer delete(sentences, "test message")
	if got := Wording(`level=WARN msg="test message" cause="no \"answer\"" cache=c1`); got != `c1 has no "answer"` {
		t.Errorf("got %q", got)
	}
}
