package gossip

import (
	"bytes"
	"reflect"
	"testing"
)

// datagramWithAllFields returns a datagram of kind k with every field set that append encodes, except parts.
func datagramWithAllFields(k kind) *datagram {
	return &datagram{
		header: header{
			kind: k, name: "n17", boot: 0xfeed, sequence: 9, incarnation: 1_796_000_000_000, runTime: 12, leaving: true, settled: true,
			digest: 1 << 63,
		},
		nonce: 5, target: "n3", addr: "10.0.0.4:7946", first: 3, total: 9, age: 77,
	}
}

// TestParseReadsAppendedDatagram checks that parse returns an encoded datagram of each kind, with every field set.
func TestParseReadsAppendedDatagram(t *testing.T) {
	for k := ping; k < kinds; k++ {
		want := datagramWithAllFields(k)
		want.parts = make([]uint32, viewParts)
		want.parts[3] = 8
		b := appendBytes(want.append(nil), fieldAgreed, []byte{1, 0, 255})
		want.agreed = []byte{1, 0, 255}
		r := update{name: "n4", state: Faulty, incarnation: 7, boot: 6, revision: 2, info: Info{List: 9, Digest: 8, Config: 7, Build: 6},
			addr: "[2001:db8::1]:80", by: "n5", age: 4}
		want.updates = []update{r}
		b, fits := appendUpdate(b, &r, 1000)
		if !fits || len(b) > MaxDatagramBytes {
			t.Fatalf("datagram has %d bytes (fits %v), want at most %d", len(b), fits, MaxDatagramBytes)
		}
		got, err := parse(b)
		if err != nil || !reflect.DeepEqual(&got, want) {
			t.Errorf("kind %d: got %+v, error %v; want %+v", k, got, err, want)
		}
	}
}

// TestParseRejectsInvalidDatagrams checks that parse rejects datagrams that are truncated, have another version, or contain invalid
// fields.
func TestParseRejectsInvalidDatagrams(t *testing.T) {
	valid := datagramWithAllFields(ping).append(nil)
	minimal := func() []byte { return (&datagram{header: header{kind: ping, name: "n", boot: 1}}).append(nil) }
	unknownState := appendFixed32(appendString(nil, fieldName, "a"), fieldBoot, 1)
	unknownState = appendUint(unknownState, fieldState, uint64(states))
	for name, b := range map[string][]byte{
		"empty":                       nil,
		"another version":             append([]byte{version + 1}, valid[1:]...),
		"no kind":                     append([]byte{version, 0}, valid[2:]...),
		"an unknown kind":             append([]byte{version, byte(kinds)}, valid[2:]...),
		"no name":                     {version, byte(ping)},
		"too long":                    append(bytes.Clone(valid), make([]byte, MaxDatagramBytes)...),
		"a repeated field":            appendString(bytes.Clone(valid), fieldTarget, "n3"),
		"an unknown field":            appendUint(bytes.Clone(valid), fieldPadding+1, 1),
		"a terminal escape in a name": appendString(appendFixed32([]byte{version, byte(ping)}, fieldBoot, 1), fieldName, "n\x1b[2J"),
		"an invalid address":          appendString(minimal(), fieldAddr, "xyz"),
		"an unknown state":            appendBytes(minimal(), fieldUpdate, unknownState),
	} {
		if d, err := parse(b); err == nil {
			t.Errorf("%s: got %+v, want an error", name, d)
		}
	}
	accepted := 0
	for n := range valid {
		if _, err := parse(valid[:n]); err == nil {
			accepted++ // truncated between two fields; the missing fields have their zero values
		}
	}
	if accepted == len(valid) {
		t.Error("got no error for any truncated datagram, want errors")
	}
}

// TestPadReachesSize checks that pad fills datagrams of every length to within four bytes of the requested size, and never exceeds
// the size.
func TestPadReachesSize(t *testing.T) {
	for size := range MaxDatagramBytes {
		d := datagram{header: header{kind: query, name: "n", boot: 1}}
		b := d.append(nil)
		for len(b) < size {
			b = append(b, 0)
		}
		if got := pad(b, MaxDatagramBytes); len(got) > MaxDatagramBytes || len(got) < MaxDatagramBytes-4 {
			t.Errorf("padding a datagram of %d bytes: got %d bytes, want %d to %d", size, len(got), MaxDatagramBytes-4, MaxDatagramBytes)
		}
	}
	if _, err := parse(EncodeQuery(7, 1)); err != nil {
		t.Error(err)
	}
}

// FuzzDatagram checks that no datagram makes a view exceed its limits, and that the answers to an unknown sender are no longer than
// its datagram.
func FuzzDatagram(f *testing.F) {
	for k := ping; k < kinds; k++ {
		d := datagramWithAllFields(k)
		d.parts = make([]uint32, viewParts)
		b := d.append(nil)
		b, _ = appendUpdate(b, &update{name: "n4", state: Suspect, incarnation: 7, boot: 6, by: "n5"}, MaxDatagramBytes)
		f.Add(b)
	}
	f.Add(EncodeQuery(3, 9))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := parse(b)
		if err != nil {
			return
		}
		if len(b) > MaxDatagramBytes || len(d.updates) > maxUpdates || len(d.name) > MaxNameBytes || len(d.target) > MaxNameBytes {
			t.Errorf("decoded datagram exceeds a limit: %+v", d)
		}
		v, err := New(testConfig())
		if err != nil {
			t.Fatal(err)
		}
		for i, from := range []string{"10.0.0.2:7946", "10.9.9.9:1"} {
			sent := 0
			for _, a := range v.Handle(Time(1_000_000*(i+1)), &DatagramReceived{From: from, Data: b}) {
				if s, is := a.(Send); is && s.To == from {
					sent += len(s.Data)
				}
			}
			if from == "10.9.9.9:1" && sent > len(b) {
				t.Errorf("got answers of %d bytes to an unknown sender, want at most the %d bytes received", sent, len(b))
			}
		}
		if len(v.Members()) > MaxMembers {
			t.Errorf("got %d members, want at most %d", len(v.Members()), MaxMembers)
		}
	})
}

// TestAnswerToUnknownAddressIsNoLongerThanItsDatagram checks the bound of FuzzDatagram with an input that it found: a contact's
// datagram, received again from an unknown address under the name that is now a member's.
func TestAnswerToUnknownAddressIsNoLongerThanItsDatagram(t *testing.T) {
	b := []byte("\x01\x01\n\x03000\x15000000 0")
	v, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	v.Handle(1_000_000, &DatagramReceived{From: "10.0.0.2:7946", Data: b})
	const unknown = "10.9.9.9:1"
	sent := 0
	for _, a := range v.Handle(2_000_000, &DatagramReceived{From: unknown, Data: b}) {
		if s, is := a.(Send); is && s.To == unknown {
			sent += len(s.Data)
		}
	}
	if sent > len(b) {
		t.Errorf("got answers of %d bytes to an unknown sender, want at most the %d bytes received", sent, len(b))
	}
}

func testConfig() Config {
	c := DefaultConfig()
	c.Name, c.Start, c.Boot, c.Seed = "n0", 1_796_000_000_000, 1, 1
	c.Peers = []string{"10.0.0.1:7946", "10.0.0.2:7946"}
	return c
}
