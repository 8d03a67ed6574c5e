package ledger

// Memory that parts of the state take in addition to their texts and bodies, in bytes.
const (
	stepBytes   = 1 << 10
	sampleBytes = 256
	fieldBytes  = 64
	resultBytes = 256
)

// Size returns the memory that the step takes in the state, in bytes.
func (s *Step) Size() int64 {
	size := int64(stepBytes + len(s.ID) + len(s.Host) + len(s.Model) + len(s.Tenant))
	for i := range s.Samples {
		size += s.Samples[i].size()
	}
	return size
}

func (s *Sample) size() int64 {
	size := int64(sampleBytes + len(s.ID) + len(s.Path) + len(s.Group) + len(s.Body))
	for _, field := range s.Header {
		size += int64(fieldBytes + len(field.Name) + len(field.Value))
	}
	if s.Reward != nil {
		size += int64(sampleBytes + len(s.Reward.ID) + len(s.Reward.Host) + len(s.Reward.Path) + len(s.Reward.Body))
	}
	return size
}

func (r *Result) size() int64 { return int64(resultBytes + len(r.Sample) + len(r.Text) + len(r.Score)) }

// size returns the memory that the step and its results take.
func (e *Entry) size() int64 {
	size := e.Step.Size()
	for i := range e.Results {
		size += e.Results[i].size()
	}
	return size
}

// Size returns the memory that the steps and their results take, in bytes. Texts of runs that have not ended are not
// included.
func (m *Machine) Size() int64 { return m.size }
