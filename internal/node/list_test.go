package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"otterstep/policy"
)

var testZones = []string{"a", "b"}

// listText returns a whole list of the given number of servers, as discovery writes it.
func listText(servers int) []byte {
	var text bytes.Buffer
	text.WriteString(`{"rev":41,"all":true,"targets":[`)
	for i := range servers {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, "\n"+`  {"uid":"s-%08x","endpoint":"127.%d.%d.%d:8000","az":"a","model":"m2","pod_group":3,`+
			`"state":"in_service","capacity_hint":1.0,"boot_ms":0}`, i, i>>16, i>>8&0xff, i&0xff)
	}
	text.WriteString("]}")
	return text.Bytes()
}

// messages has all forms of message that discovery may use, and many that it may not.
var messages = []string{
	string(listText(3)),
	`{"targets":[{"uid":"s1","endpoint":"127.0.0.1:1","az":"b","boot_ms":99999999999999}],"all":true,"rev":7}`,
	"\ufeff{}", "", " ", "null", " null ", "nul", "5", `"x"`, "true", "[]", "{}", "{} ", "{}\n\t\r {", "{}x", "{},",
	`{"rev":1}`, `{"rev":1.0}`, `{"rev":1e2}`, `{"rev":"1"}`, `{"rev":null}`, `{"rev":-3}`, `{"rev":99999999999999999999}`,
	`{"rev":1,"rev":2}`, `{"rev":1,"rev":null}`, `{"rev":}`, `{"rev"}`, `{"rev" 1}`, `{rev:1}`, `{1:1}`, `{"rev":1,}`, `{,}`,
	`{"rev":1 "all":true}`, `{"rev":01}`, `{"rev":+1}`,
	`{"all":true}`, `{"all":null}`, `{"all":1}`, `{"ALL":true,"Rev":3,"tarGets":[{"UID":"x"}]}`, `{"\u0061ll":true}`,
	`{"targetſ":[{"uid":"x"}],"ta\u0000":1}`,
	`{"targets":null}`, `{"targets":{}}`, `{"targets":"x"}`, `{"targets":5}`, `{"targets":[]}`, `{"targets":[ ]}`, `{"targets":[}`,
	`{"targets":[{}]}`, `{"targets":[{},]}`, `{"targets":[,{}]}`, `{"targets":[{} {}]}`, `{"targets":[null]}`, `{"targets":[5]}`,
	`{"targets":[[]]}`, `{"targets":[{"uid":5}]}`, `{"targets":[{"uid":"a"},{"uid":"b"}]]}`, `{"targets":[{"uid":"a"}],"targets":null}`,
	`{"targets":[{"uid":"a","endpoint":"e"}],"targets":[{"uid":"b","endpoint":"f","az":"","pod_group":0,"state":"","capacity_hint":0,"boot_ms":0}]}`,
	`{"targets":[{"uid":"a","uid":"b","Uid":null,"more":{"x":[1,{"y":2}]}}]}`, `{"targets":[{"capacity_hint":-1}]}`,
	`{"targets":[{"capacity_hint":1e999}]}`, `{"targets":[{"boot_ms":1.5}]}`, `{"targets":[{"uid":"\ud800\u12"}]}`,
	`{"more":{"x":[1,{"y":[]}],"z":{}},"rev":4}`, `{"more":[1,2,[3]],"rev":4}`, `{"more":[1,]}`, `{"more":{"x":1,}}`, `{"more":[}`,
	`{"more":{"x"}}`, `{"more":{]}`, `{"more":1e999}`, `{"more":[1e999],"rev":2}`, `{"more":tru}`,
	`{"more":"a` + "\n" + `b"}`, `{"more":"\x"}`,
	`{"more":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
	`{"more":` + strings.Repeat("[", 10001) + strings.Repeat("]", 10001) + `}`,
}

// unmarshalList decodes a message with json.Unmarshal.
func unmarshalList(text []byte, c clock) (list serverList, err error) {
	var whole listMessage
	if err := json.Unmarshal(text, &whole); err != nil {
		return list, err
	}
	list.version, list.isWhole = whole.Version, whole.IsWhole
	for _, entry := range whole.Entries {
		list.add(entry, testZones, c)
	}
	return list, nil
}

// requireSameAsUnmarshal checks that readList accepts exactly what json.Unmarshal accepts, however the text arrives.
func requireSameAsUnmarshal(t *testing.T, text []byte) {
	t.Helper()
	c := newClock()
	want, wantErr := unmarshalList(text, c)
	for name, body := range map[string]io.Reader{
		"whole": bytes.NewReader(text), "in bytes": iotest.OneByteReader(bytes.NewReader(text)),
		"with its end": iotest.DataErrReader(bytes.NewReader(text)),
	} {
		got, err := readList(body, testZones, c)
		if (err == nil) != (wantErr == nil) {
			t.Errorf("%s: %.80q: error %v, json.Unmarshal returns %v", name, text, err, wantErr)
		} else if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %.80q: read as %+v, want %+v", name, text, got, want)
		}
	}
}

// Guards against a message that readList decodes differently from json.Unmarshal.
func TestListIsReadAsJSONUnmarshalReadsIt(t *testing.T) {
	for _, text := range messages {
		requireSameAsUnmarshal(t, []byte(text))
		var indented bytes.Buffer
		if len(text) < 4096 && json.Indent(&indented, []byte(text), " ", "\t") == nil {
			requireSameAsUnmarshal(t, indented.Bytes())
		}
	}
}

// Guards against a truncated message that is used as a list: wherever it is cut, it gives an error and nothing else.
func TestListThatIsCutGivesNothing(t *testing.T) {
	text := listText(3)
	for n := range text {
		got, err := readList(bytes.NewReader(text[:n]), testZones, newClock())
		if err == nil || !reflect.DeepEqual(got, serverList{}) {
			t.Fatalf("cut after %d bytes: %d servers, error %v", n, len(got.entries), err)
		}
		broken := errors.New("the connection broke")
		body := io.MultiReader(bytes.NewReader(text[:n]), iotest.ErrReader(broken))
		if _, err := readList(body, testZones, newClock()); !errors.Is(err, broken) {
			t.Fatalf("broken off after %d bytes: error %v, want %v", n, err, broken)
		}
	}
	if _, err := readList(io.MultiReader(bytes.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), testZones, newClock()); err == nil {
		t.Error("a message whose body breaks off after the last brace is accepted")
	}
}

// FuzzListIsReadAsJSONUnmarshalReadsIt compares readList with json.Unmarshal for random texts.
func FuzzListIsReadAsJSONUnmarshalReadsIt(f *testing.F) {
	for _, text := range messages {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if bytes.Count(bytes.ToLower(text), []byte("targets")) < 2 { // json.Unmarshal merges the entries of two such fields
			requireSameAsUnmarshal(t, text)
		}
	})
}

// repeatingReader reads a text that repeats without end.
type repeatingReader struct {
	text   string
	offset int
}

func (r *repeatingReader) Read(p []byte) (n int, err error) {
	for n < len(p) {
		k := copy(p[n:], r.text[r.offset:])
		n, r.offset = n+k, (r.offset+k)%len(r.text)
	}
	return n, nil
}

// Guards against a message that uses up the memory of a node: each bound ends an endless text with its own error.
func TestListIsBounded(t *testing.T) {
	after := func(start, repeated string) io.Reader {
		return io.MultiReader(strings.NewReader(start), &repeatingReader{text: repeated})
	}
	for name, c := range map[string]struct {
		body io.Reader
		want listTooLargeError
	}{
		"servers":      {after(`{"targets":[{}`, ",{}"), listTooLargeError{maxListServers, "servers"}},
		"a long value": {after(`{"targets":[{"uid":"`, "x"), listTooLargeError{maxListValueBytes, "bytes in one value"}},
		"a long gap":   {after(`{"targets":[`, " "), listTooLargeError{maxListValueBytes, "bytes in one value"}},
		"a long end":   {after(`{}`, "\n"), listTooLargeError{maxListValueBytes, "bytes in one value"}},
		"nesting":      {after(`{"more":`, "["), listTooLargeError{maxListDepth, "levels of nesting"}},
	} {
		list, err := readList(c.body, testZones, newClock())
		var over *listTooLargeError
		if !errors.As(err, &over) || *over != c.want || len(list.entries) > 0 {
			t.Errorf("%s: error %v with %d servers, want %v", name, err, len(list.entries), &c.want)
		}
	}
	text := boundedReader{source: &repeatingReader{text: "x"}, totalBytes: maxListBytes - 100}
	if n, err := text.Read(make([]byte, 100)); n != 100 || err != nil {
		t.Errorf("the last bytes within the bound: read %d, %v", n, err)
	}
	_, err := text.Read(make([]byte, 1))
	if want := fmt.Sprintf("over %d bytes", maxListBytes); err == nil || err.Error() != want {
		t.Errorf("over the bound: error %v, want %q", err, want)
	}
}

// Guards against bounds that are too low: a list of the size in use is read and is less than half of each bound.
func TestListOfAllServersIsRead(t *testing.T) {
	const servers = 55_000
	text := listText(servers)
	list, err := readList(bytes.NewReader(text), testZones, newClock())
	if err != nil || len(list.entries) != servers || len(list.endpoints) != servers || !list.isWhole || list.version != 41 {
		t.Fatalf("read %d entries and %d endpoints, error %v; want all of version 41", len(list.entries), len(list.endpoints), err)
	}
	if last := servers - 1; list.entries[last].Server != serverID(fmt.Sprintf("s-%08x", last)) ||
		list.endpoints[last] != "127.0.214.215:8000" {
		t.Errorf("the last server is %+v at %s", list.entries[last], list.endpoints[last])
	}
	if len(list.firstEntries) != maxLoggedServers {
		t.Errorf("%d entries kept for the log, want %d", len(list.firstEntries), maxLoggedServers)
	}
	if 2*len(text) > maxListBytes || 2*servers > maxListServers || math.MaxInt32 < maxListBytes {
		t.Errorf("%d servers in %d bytes are too close to the bounds", servers, len(text))
	}
	if list.entries[0] != (policy.Entry{Server: serverID("s-00000000"), Cell: 3, State: policy.StateInService, Weight: 1}) {
		t.Errorf("the first server is %+v", list.entries[0])
	}
}

// Guards against a log with one line for each server when very many servers change at once.
func TestChangesOfManyServersAreLoggedInFewLines(t *testing.T) {
	for servers, want := range map[int]int{1: 1, maxLoggedServers: maxLoggedServers, 5000: maxLoggedServers + 1} {
		var text bytes.Buffer
		client := newDiscoveryClient("", parseTestNodeSettings(t, testSettings), newClock(), slog.New(slog.NewTextHandler(&text, nil)))
		published := 0
		client.onList = func(update listUpdate) { published += len(update.entries) }
		list, err := readList(bytes.NewReader(bytes.Replace(listText(servers), []byte("true"), []byte("false"), 1)), testZones, newClock())
		if err != nil {
			t.Fatal(err)
		}
		client.accept(list)
		if lines := bytes.Count(text.Bytes(), []byte("\n")); lines != want || published != servers {
			t.Errorf("%d changes: %d log lines, %d changes passed on; want %d lines and all changes", servers, lines, published, want)
		}
		if servers > maxLoggedServers && !strings.Contains(text.String(), fmt.Sprint("count=", servers-maxLoggedServers)) {
			t.Errorf("the log does not say how many more servers changed: %s", &text)
		}
	}
}
