package node

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"otterstep/internal/wire"
)

// tenantSettings returns settings with many tenants, each with a name and a quota.
func tenantSettings(tenants int) []byte {
	text := bytes.NewBufferString(`{"Balancers": 5300, "Accounts": [`)
	for i := range tenants {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(text, `{"Name":"t-%08x","QuotaPerS":8.75}`, i)
	}
	text.WriteString(`], "Classes": [{"Name": "read", "DeadlineMs": 3000, "Effect": "pure"}], "Zones": ["a"]}`)
	return text.Bytes()
}

// BenchmarkScaleNodeTenants measures the start of a node with many tenants: parsing the settings, and
// building the Balancer and the front's index of names. It also reports the memory that these keep.
func BenchmarkScaleNodeTenants(b *testing.B) {
	for _, tenants := range []int{1000, 10_000, 40_000, 160_000} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			text := tenantSettings(tenants)
			start := func() *front {
				settings, err := wire.ParseNodeSettings(text)
				if err != nil {
					b.Fatal(err)
				}
				l, err := newLoop(settings.Policy, 1, newClock(),
					newUpstream(settings.ConnIdleTimeout, settings.ConnectTimeout, 0), newCallQueue())
				if err != nil {
					b.Fatal(err)
				}
				return newFront(l, settings, nil, func() bool { return true })
			}
			before := heapBytes()
			f := start()
			held := heapBytes() - before
			runtime.KeepAlive(f)
			b.ReportAllocs()
			for b.Loop() {
				start()
			}
			b.ReportMetric(float64(len(text))/float64(tenants), "settings-B/tenant")
			b.ReportMetric(held/float64(tenants), "heap-B/tenant")
		})
	}
}
