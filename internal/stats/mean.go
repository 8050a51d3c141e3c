package stats

// Mean is a running mean. Up to a limit of n values it is their plain mean; from then on each new value has
// the weight 1/n. The zero value is empty, with a value of 0.
type Mean struct {
	Value float64
	Count float64 // number of values seen, up to the limit given to Add
}

// Add adds a value and counts it up to the limit, which is at least 1.
func (m *Mean) Add(value, limit float64) {
	m.Count = min(m.Count+1, limit)
	m.Value += (value - m.Value) / m.Count
}
