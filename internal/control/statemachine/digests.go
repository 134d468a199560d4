package statemachine

import "yardflow/scheduling/job"

// OpenJobDigests returns the digest of the open jobs of each session that owns one.
func (f *FSM) OpenJobDigests() map[SessionID]job.Digest {
	digests := map[SessionID]job.Digest{}
	for id, j := range f.Jobs {
		if j.State.Terminal() || j.Owner == 0 {
			continue
		}
		digest := digests[j.Owner]
		digest.Add(id, j.Progress())
		digests[j.Owner] = digest
	}
	return digests
}
