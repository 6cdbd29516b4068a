package registry

import (
	"fmt"
	"strings"
	"testing"
)

func TestRegisterRenewCancel(t *testing.T) {
	f := newField(t, Options{})
	f.does(404, "PUT", "/apps/LOG-CACHE/a", "")
	f.register("a", "b")
	f.shows("/apps", "a UP, b UP", "UP_2_")
	f.shows("/apps/", "a UP, b UP", "UP_2_")
	f.does(200, "PUT", "/apps/LOG-CACHE/a?status=UP&lastDirtyTimestamp=1", "")
	f.does(200, "PUT", "/apps/log-cache/a", "")
	f.does(200, "DELETE", "/apps/LOG-CACHE/a", "")
	f.does(404, "DELETE", "/apps/LOG-CACHE/a", "")
	f.does(404, "PUT", "/apps/LOG-CACHE/a", "")
	f.shows("/apps", "b UP", "UP_1_")
	f.does(200, "DELETE", "/apps/LOG-CACHE/b", "")
	f.shows("/apps", "", "")
	if got := strings.Join(f.marks, ", "); got != "a UP, b UP, a DELETED, b DELETED" {
		t.Errorf("marks: %s", got)
	}
}

func TestGetInstanceAppAndAddress(t *testing.T) {
	f := newField(t, Options{})
	f.register("a")
	f.does(204, "POST", "/apps/OTHER", strings.Replace(strings.Replace(body("b", `"secureVipAddress":"s1,s2",`),
		"LOG-CACHE", "OTHER", 1), `"vipAddress":"log-cache"`, `"vipAddress":"x,log-cache"`, 1))
	for _, c := range []struct{ path, begin, hold string }{
		{"/apps/log-cache", `{"application":{"name":"LOG-CACHE","instance":[{`, `"instanceId":"a"`},
		{"/apps/LOG-CACHE/a", `{"instance":{`, `"instanceId":"a"`},
		{"/instances/b", `{"instance":{`, `"app":"OTHER"`},
		{"/svips/s2", `{"applications":{`, `"instanceId":"b"`},
	} {
		got := f.does(200, "GET", c.path, "")
		if !strings.HasPrefix(got.body, c.begin) || !strings.Contains(got.body, c.hold) ||
			got.header["Content-Type"][0] != "application/json" {
			t.Errorf("%s: %s %v", c.path, got.body, got.header)
		}
	}
	f.shows("/vips/log-cache", "a UP, b UP", "UP_2_")
	f.shows("/vips/x", "b UP", "UP_1_")
	for _, path := range []string{"/apps/NONE", "/apps/NONE/a", "/apps/LOG-CACHE/b", "/instances/c", "/vips/none",
		"/svips/x", "/other", "/apps/a/b/c", "/apps/a/b/status/d", "/vips", ""} {
		f.does(404, "GET", path, "")
	}
	for _, c := range []string{"PUT /apps", "POST /apps/delta", "PUT /apps/A", "POST /apps/A/a", "GET /apps/A/a/status",
		"GET /apps/A/a/metadata", "POST /vips/x"} {
		method, path, _ := strings.Cut(c, " ")
		if got := f.does(405, method, path, ""); len(got.header["Allow"]) == 0 {
			t.Errorf("%s: no Allow", c)
		}
	}
}

func TestInstanceWireFormat(t *testing.T) {
	f := newField(t, Options{})
	f.does(204, "POST", "/apps/LOG-CACHE", body("a", `"lastDirtyTimestamp":"1700000000123","metadata":{"zone":"x","n":5},
		"leaseInfo":{"renewalIntervalInSecs":7,"durationInSecs":"21"},`))
	got := f.does(200, "GET", "/apps/LOG-CACHE/a", "").body
	for _, want := range []string{`"port":{"$":6379,"@enabled":"true"}`, `"securePort":{"$":7002,"@enabled":"false"}`,
		`"overriddenStatus":"UNKNOWN"`, `"dataCenterInfo":{"@class":"c","name":"MyOwn"}`, `"countryId":0`,
		`"leaseInfo":{"renewalIntervalInSecs":7,"durationInSecs":21,"registrationTimestamp":`, `"evictionTimestamp":0`,
		`"metadata":{"n":"5","zone":"x"}`, `"isCoordinatingDiscoveryServer":"false"`, `"lastUpdatedTimestamp":"`,
		`"lastDirtyTimestamp":"1700000000123"`, `"actionType":"ADDED"`} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is not in %s", want, got)
		}
	}
	f.does(204, "POST", "/apps/LOG-CACHE", body("b", ""))
	if got := f.does(200, "GET", "/instances/b", "").body; !strings.Contains(got, `"metadata":`+emptyStringMap) {
		t.Errorf("empty metadata: %s", got)
	}
}

func TestUnwrapSingle(t *testing.T) {
	f := newField(t, Options{UnwrapSingle: true, OldNames: true})
	f.register("a")
	got := f.does(200, "GET", "/apps", "").body
	for _, want := range []string{`"application":{"name":"LOG-CACHE","instance":{"instanceId":"a"`,
		`"overriddenstatus":"UNKNOWN"`} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is not in %s", want, got)
		}
	}
	f.register("b")
	if got = f.does(200, "GET", "/apps/LOG-CACHE", "").body; !strings.Contains(got, `"instance":[{`) {
		t.Errorf("two: %s", got)
	}
}

func TestRegistrationForms(t *testing.T) {
	for _, c := range []struct {
		name, body string
		check      func(Instance) bool
	}{
		{"a bare port number in a string", body("a", `"securePort":{"$":"443","@enabled":true},`),
			func(in Instance) bool { return in.SecurePort == 443 && in.SecurePortOn && in.Port == 6379 && in.PortOn }},
		{"a lower-case name", strings.Replace(body("a", ""), "LOG-CACHE", "log-cache", 1),
			func(in Instance) bool { return in.App == "LOG-CACHE" }},
		{"a list of one", `{"instance":[` + strings.TrimSuffix(strings.TrimPrefix(body("a", ""), `{"instance":`), "}") + "]}",
			func(in Instance) bool { return in.ID == "a" }},
		{"an old override", body("a", `"overriddenstatus":"OUT_OF_SERVICE",`),
			func(in Instance) bool { return in.Overridden == OutOfService && in.Status == OutOfService }},
		{"a status in lower case", body("a", `"status":"starting",`),
			func(in Instance) bool { return in.Status == Starting }},
		{"metadata with a class", body("a", `"metadata":{"@class":"x","zone":"z","none":null},`),
			func(in Instance) bool { return len(in.Metadata) == 1 && in.Metadata["zone"] == "z" }},
		{"what is not known", body("a", `"hostInfo":{"a":[1]},"isDirty":true,`),
			func(in Instance) bool { return in.ID == "a" }},
		{"no name of its own", strings.Replace(body("a", ""), `"instanceId":"a",`, "", 1),
			func(in Instance) bool { return in.ID == "h" && in.LeaseTime == 90 && in.RenewEvery == 30 }},
	} {
		f := newField(t, Options{})
		f.does(204, "POST", "/apps/log-cache", c.body)
		if all := f.r.State(); len(all) != 1 || !c.check(all[0]) {
			t.Errorf("%s: %+v", c.name, all)
		}
	}
}

func TestInvalidRegistrationNamesField(t *testing.T) {
	f := newField(t, Options{})
	for _, c := range []struct {
		status     int
		body, want string
	}{
		{400, `{`, "JSON"},
		{400, `{}`, "instance: missing"},
		{400, `{"instance":[]}`, "the list holds 0"},
		{400, strings.Replace(body("a", ""), `"hostName":"h",`, "", 1), "instance.hostName"},
		{400, strings.Replace(body("a", ""), `"ipAddr":"10.9.0.1",`, "", 1), "instance.ipAddr"},
		{400, strings.Replace(body("a", ""), `"name":"MyOwn"`, `"name":""`, 1), "instance.dataCenterInfo.name"},
		{400, strings.Replace(body("a", ""), "LOG-CACHE", "OTHER", 1), "instance.app"},
		{400, strings.Replace(body("a", ""), "6379", "65536", 1), "instance.port"},
		{400, strings.Replace(body("a", ""), "6379", "1.5", 1), "no whole number"},
		{400, strings.Replace(body("a", ""), `"true"`, `"maybe"`, 1), "neither true nor false"},
		{400, body("a", `"status":"ASLEEP",`), "instance.status"},
		{400, body("a", `"leaseInfo":{"durationInSecs":99999999},`), "instance.leaseInfo.durationInSecs"},
		{400, body("a", `"metadata":{"a":{"b":"c"}},`), "more than one value"},
		{400, body("a", `"metadata":{"a":"`+strings.Repeat("x", 4096)+`"},`), "instance.metadata"},
		{413, body(strings.Repeat("x", 70_000), ""), "longer"},
	} {
		if got := f.does(c.status, "POST", "/apps/LOG-CACHE", c.body); !strings.Contains(got.body, c.want) {
			t.Errorf("%.80s: %s; want %q", c.body, got.body, c.want)
		}
	}
	f.does(415, "POST", "/apps/LOG-CACHE", "<instance/>", "Content-Type", "application/xml")
	f.does(415, "POST", "/apps/LOG-CACHE", body("a", ""), "Content-Type", "application/json", "Content-Encoding", "gzip")
	f.does(400, "PUT", "/apps/LOG-CACHE/a?lastDirtyTimestamp=x", "")
	f.does(400, "GET", "/apps?a=%zz", "")
	if n := len(f.r.State()); n != 0 {
		t.Errorf("%d got in", n)
	}
}

func TestFullRegistryTakesKnownInstancesOnly(t *testing.T) {
	f := newField(t, Options{MaxInstances: 2})
	f.register("a", "b")
	f.does(503, "POST", "/apps/LOG-CACHE", body("c", ""))
	f.register("a")
}

func TestPutMetadata(t *testing.T) {
	f := newField(t, Options{})
	f.does(204, "POST", "/apps/LOG-CACHE", body("a", `"metadata":{"zone":"x"},`))
	f.does(200, "PUT", "/apps/LOG-CACHE/a/metadata?k=v&zone=y", "")
	f.does(404, "PUT", "/apps/LOG-CACHE/b/metadata?k=v", "")
	f.does(400, "PUT", "/apps/LOG-CACHE/a/metadata?k="+strings.Repeat("x", 4096), "")
	if got := fmt.Sprint(f.r.State()[0].Metadata); got != "map[k:v zone:y]" {
		t.Error(got)
	}
}

func TestBasicAuthentication(t *testing.T) {
	f := newField(t, Options{User: "u", Password: "p"})
	if got := f.does(401, "GET", "/apps", ""); got.header["Www-Authenticate"] == nil {
		t.Error("it is not said what is wanted")
	}
	f.does(401, "GET", "/apps", "", "Authorization", "Basic dTpx")
	f.does(200, "GET", "/apps", "", "Authorization", "Basic dTpw")
}

func TestAnswersNegotiateJSONAndGzip(t *testing.T) {
	for _, off := range []bool{false, true} {
		f := newField(t, Options{NoGzip: off})
		f.register("a")
		for _, c := range []struct {
			accept string
			packed bool
		}{
			{"gzip", true}, {"deflate, gzip;q=0.5", true}, {"gzip;q=0", false}, {"identity", false}, {"*", true},
		} {
			got := f.does(200, "GET", "/apps", "", "Accept-Encoding", c.accept)
			if packed := got.header["Content-Encoding"] != nil; packed != (c.packed && !off) ||
				!strings.Contains(got.body, `"instanceId":"a"`) {
				t.Errorf("off %t, %s: packed %t, %s", off, c.accept, packed, got.body)
			}
		}
		f.does(406, "GET", "/apps", "", "Accept", "application/xml")
		f.does(200, "GET", "/apps", "", "Accept", "application/xml, application/*;q=0.5")
	}
}

func FuzzReadInstance(f *testing.F) {
	f.Add([]byte(body("a", "")))
	f.Add([]byte(body("a", `"metadata":{"@class":"x","n":5},"leaseInfo":{"durationInSecs":"5"},`)))
	f.Add([]byte(body("a", `"lastDirtyTimestamp":"7","overriddenstatus":"DOWN",`)))
	f.Add([]byte(`{"instance":[{"hostName":"h","status":"up","port":{"$":"1","@enabled":true}}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		in, err := readInstance(b)
		if err != nil {
			return
		}
		again, err := readInstance(encode(map[string]any{"instance": in.wire(Lease{}, false)}))
		if err != nil {
			t.Fatalf("%q was read, and what is written of it is not: %v", b, err)
		}
		again.LastUpdated = in.LastUpdated
		if x, y := fmt.Sprintf("%+v", in), fmt.Sprintf("%+v", again); x != y {
			t.Errorf("%s\nis read back as\n%s", x, y)
		}
	})
}
