package roster

import (
	"context"

	"auburngap/kv"
)

// RenewInEra renews a lease of an era. It returns kv.ErrNotFound if the service is in a later
// one, where the ID may be that of another lease, and kv.ErrUnavailable if the service
// answers from an earlier one.
func RenewInEra(ctx context.Context, client kv.Client, era kv.Era, lease kv.LeaseID) error {
	if client.Era() > era {
		return kv.ErrNotFound.New("lease %d of era %d", lease, era)
	}
	if err := client.Renew(ctx, lease); err != nil {
		return err
	}
	switch now := client.Era(); {
	case now > era:
		return kv.ErrNotFound.New("lease %d of era %d", lease, era)
	case now < era:
		return kv.ErrUnavailable.New("the service is in era %d, before %d", now, era)
	}
	return nil
}
