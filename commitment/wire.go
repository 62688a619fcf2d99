package commitment

import (
	"time"

	"auburngap/peer/peerpb"
)

func permissionToProto(p Permission) *peerpb.Permission {
	return &peerpb.Permission{
		AvailabilityZone:  p.ShardID.Zone,
		Shard:             uint32(p.ShardID.Shard),
		Epoch:             p.Epoch,
		IdempotencyKey:    p.Key[:],
		Attempt:           p.Attempt,
		ExpiresUnixMicros: unixMicros(p.Expires),
	}
}

// PermissionFromProto reads a permission from a peer's message, or returns
// ErrBadKey.
func PermissionFromProto(m *peerpb.Permission) (Permission, error) {
	key, err := KeyFromBytes(m.GetIdempotencyKey())
	if err != nil {
		return Permission{}, err
	}
	return Permission{
		ShardID: ShardID{Zone: m.GetAvailabilityZone(), Shard: int(m.GetShard())},
		Epoch:   m.GetEpoch(),
		Key:     key,
		Attempt: m.GetAttempt(),
		Expires: timeFromUnixMicros(m.GetExpiresUnixMicros()),
	}, nil
}

// ToProto returns the permission as it is sent between nodes.
func (p Permission) ToProto() *peerpb.Permission {
	return permissionToProto(p)
}

func requestToProto(r Request, ownerShard ShardID, layout Layout) *peerpb.Begin {
	return &peerpb.Begin{
		AvailabilityZone: ownerShard.Zone,
		Shard:            uint32(ownerShard.Shard),
		IdempotencyKey:   r.Key[:],
		Workspace:        r.Workspace,
		Fingerprint:      []byte(r.Fingerprint),
		Layout:           layout.hash,
		RequestId:        r.ID[:],
	}
}

func requestFromProto(m *peerpb.Begin) (Request, error) {
	key, err := KeyFromBytes(m.GetIdempotencyKey())
	if err != nil {
		return Request{}, err
	}
	r := Request{Key: key, Workspace: m.GetWorkspace(), Fingerprint: string(m.GetFingerprint())}
	copy(r.ID[:], m.GetRequestId())
	return r, nil
}

func decisionToProto(r Decision) *peerpb.BeginAnswer {
	answer := &peerpb.BeginAnswer{
		Verdict:          peerpb.CommitmentVerdict(r.Verdict),
		Answer:           r.Answer,
		AnswerDropped:    r.AnswerDropped,
		RetryAfterMicros: r.RetryAfter.Microseconds(),
		Journaled:        r.Journaled,
	}
	if r.Verdict == Run {
		answer.Permission = permissionToProto(r.Permission)
	}
	return answer
}

// decisionFromProto returns Unavailable for an invalid message.
func decisionFromProto(m *peerpb.BeginAnswer) Decision {
	r := Decision{
		Verdict:       Verdict(m.GetVerdict()),
		Answer:        m.GetAnswer(),
		AnswerDropped: m.GetAnswerDropped(),
		RetryAfter:    time.Duration(m.GetRetryAfterMicros()) * time.Microsecond,
		Journaled:     m.GetJournaled(),
	}
	if r.Verdict > NotRun {
		return Decision{Verdict: Unavailable}
	}
	if r.Verdict != Run {
		return r
	}
	permission, err := PermissionFromProto(m.GetPermission())
	if err != nil {
		return Decision{Verdict: Unavailable}
	}
	r.Permission = permission
	return r
}
