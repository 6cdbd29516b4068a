package gossip

import (
	"bytes"
	"reflect"
	"testing"
)

// full is a datagram with every field set.
func full(k kind) *datagram {
	return &datagram{
		header: header{
			kind: k, name: "n17", boot: 0xfeed, sequence: 9, incarnation: 1_796_000_000_000, runTime: 12, leaving: true, settled: true,
			digest: 1 << 63,
		},
		nonce: 5, target: "n3", addr: "10.0.0.4:7946", first: 3, total: 9, age: 77,
	}
}

// TestParseReadsAppendedDatagram checks each kind of datagram, with every field set.
func TestParseReadsAppendedDatagram(t *testing.T) {
	for k := ping; k < kinds; k++ {
		want := full(k)
		want.parts = make([]uint32, viewParts)
		want.parts[3] = 8
		b := appendBytes(want.append(nil), fieldAgreed, []byte{1, 0, 255})
		want.agreed = []byte{1, 0, 255}
		r := update{name: "n4", state: Faulty, incarnation: 7, boot: 6, revision: 2, info: Info{List: 9, Digest: 8, Config: 7, Build: 6},
			addr: "[2001:db8::1]:80", by: "n5", age: 4}
		want.updates = []update{r}
		b, fits := appendUpdate(b, &r, 1000)
		if !fits || len(b) > MaxDatagramBytes {
			t.Fatalf("%d bytes, fits %v", len(b), fits)
		}
		got, err := parse(b)
		if err != nil || !reflect.DeepEqual(&got, want) {
			t.Errorf("kind %d: read %+v, %v; want %+v", k, got, err, want)
		}
	}
}

// TestParseRejectsInvalidDatagrams checks datagrams that are truncated, of another version, or with fields that are not valid.
func TestParseRejectsInvalidDatagrams(t *testing.T) {
	good := full(ping).append(nil)
	smallest := func() []byte { return (&datagram{header: header{kind: ping, name: "n", boot: 1}}).append(nil) }
	unknownState := appendFixed32(appendString(nil, fieldName, "a"), fieldBoot, 1)
	unknownState = appendUint(unknownState, fieldState, uint64(states))
	for name, b := range map[string][]byte{
		"nothing":                    nil,
		"another version":            append([]byte{version + 1}, good[1:]...),
		"no kind":                    append([]byte{version, 0}, good[2:]...),
		"an unknown kind":            append([]byte{version, byte(kinds)}, good[2:]...),
		"no name":                    {version, byte(ping)},
		"too long":                   append(bytes.Clone(good), make([]byte, MaxDatagramBytes)...),
		"a field twice":              appendString(bytes.Clone(good), fieldTarget, "n3"),
		"an unknown field":           appendUint(bytes.Clone(good), fieldPadding+1, 1),
		"a name to break a terminal": appendString(appendFixed32([]byte{version, byte(ping)}, fieldBoot, 1), fieldName, "n\x1b[2J"),
		"an address that is none":    appendString(smallest(), fieldAddr, "xyz"),
		"a state that is none":       appendBytes(smallest(), fieldUpdate, unknownState),
	} {
		if d, err := parse(b); err == nil {
			t.Errorf("%s was read as %+v", name, d)
		}
	}
	whole := 0
	for n := range good {
		if _, err := parse(good[:n]); err == nil {
			whole++ // cut between two fields: what is missing has its zero value
		}
	}
	if whole == len(good) {
		t.Error("a datagram that was cut anywhere was read")
	}
}

// TestPadReachesSize checks that padding comes to within four bytes of each size, and never beyond.
func TestPadReachesSize(t *testing.T) {
	for size := range MaxDatagramBytes {
		d := datagram{header: header{kind: query, name: "n", boot: 1}}
		b := d.append(nil)
		for len(b) < size {
			b = append(b, 0)
		}
		if got := pad(b, MaxDatagramBytes); len(got) > MaxDatagramBytes || len(got) < MaxDatagramBytes-4 {
			t.Errorf("%d bytes were filled up to %d", size, len(got))
		}
	}
	if _, err := parse(EncodeQuery(7, 1)); err != nil {
		t.Error(err)
	}
}

// FuzzDatagram checks that a view stays within its bounds whatever it receives, and that unknown senders get no more bytes than
// they sent.
func FuzzDatagram(f *testing.F) {
	for k := ping; k < kinds; k++ {
		d := full(k)
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
			t.Errorf("beyond the bounds: %+v", d)
		}
		// Whatever is said, a view stays within its bounds and answers no unknown sender at length.
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
				t.Errorf("%d bytes of an unknown sender were answered by %d", len(b), sent)
			}
		}
		if len(v.Members()) > MaxMembers {
			t.Errorf("%d members", len(v.Members()))
		}
	})
}

func testConfig() Config {
	c := DefaultConfig()
	c.Name, c.Start, c.Boot, c.Seed = "n0", 1_796_000_000_000, 1, 1
	c.Peers = []string{"10.0.0.1:7946", "10.0.0.2:7946"}
	return c
}
